package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"swiftreel/internal/operator"
	"swiftreel/internal/supervisor"
)

// Paths that supervisors serve.
const (
	statusPath     = "/v1/status"
	enginesQuery   = "?engines=1"
	orderPath      = "/v1/order"
	assignmentPath = "/v1/word"
)

// Limits of what is read of a reply, in bytes.
const (
	maxReplyBytes = 16 << 20
	maxErrorBytes = 500
)

// fetchStatus requests the status of a member's supervisor.
func (c *FleetClient) fetchStatus(ctx context.Context, member operator.Member) (supervisor.Status, error) {
	url := "http://" + member.Address() + statusPath
	if c.IncludeEngines {
		url += enginesQuery
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return supervisor.Status{}, err
	}
	text, err := c.do(request, http.StatusOK)
	if err != nil {
		return supervisor.Status{}, err
	}
	status, err := supervisor.ReadStatus(text)
	if err != nil {
		return supervisor.Status{}, err
	}
	if status.Name != member.Name {
		return status, fmt.Errorf("%s answers as %q", member.Address(), status.Name)
	}
	return status, nil
}

// post sends a message to a member's supervisor.
func (c *FleetClient) post(ctx context.Context, member operator.Member, path string, message any) error {
	text, err := json.Marshal(message)
	if err != nil {
		return err
	}
	url := "http://" + member.Address() + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return err
	}
	_, err = c.do(request, http.StatusNoContent)
	return err
}

// do sends a request and reads the reply. An unexpected status code is returned as an error with the reply's text.
func (c *FleetClient) do(request *http.Request, expected int) ([]byte, error) {
	reply, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer reply.Body.Close()
	text, err := io.ReadAll(io.LimitReader(reply.Body, maxReplyBytes))
	if err != nil {
		return text, err
	}
	if reply.StatusCode != expected {
		return text, fmt.Errorf("%s: %s", reply.Status, bytes.TrimSpace(text[:min(len(text), maxErrorBytes)]))
	}
	return text, nil
}

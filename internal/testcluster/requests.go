package testcluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"swiftreel/internal/change"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/leader"
	"swiftreel/internal/operator"
	"swiftreel/internal/supervisor"
)

// ErrRefused is returned if a supervisor answers a request with a status other than 2xx.
var ErrRefused = errors.New("refused")

// directClient returns a client of one supervisor that bypasses its link.
func (c *Cluster) directClient(m *Member) *coordinator.FleetClient {
	member := operator.Member{Name: m.Name, Listen: m.SupervisorAddress}
	return coordinator.NewFleetClient([]operator.Member{member}, fleetRequestTimeout, fleetRequestTimeout)
}

// Status requests a supervisor's status, bypassing its link.
func (c *Cluster) Status(m *Member) (supervisor.Status, error) {
	answer := c.directClient(m).Poll(context.Background())[0]
	return answer.Status, answer.Err
}

// OrderProgram orders a member to run another program, without a coordinator. It leaves the rest of the spec unchanged.
func (c *Cluster) OrderProgram(m *Member, fence change.Fence, path string) error {
	status, err := c.Status(m)
	if err != nil {
		return err
	}
	spec := status.Spec
	spec.Program.Path = path
	if spec.Program.Digest, err = change.FileDigest(path); err != nil {
		return err
	}
	order := change.Order{Format: change.Format, Fence: fence, CoordinatorID: "x", Member: m.Name, Spec: spec}
	for _, err := range c.directClient(m).SendOrders(context.Background(), map[int]change.Order{0: order}) {
		return fmt.Errorf("%s: send order %v: %w", m.Name, fence, err)
	}
	return nil
}

// GetJSON requests a path of a supervisor, bypassing its link, and decodes the answer.
func (c *Cluster) GetJSON(m *Member, path string, into any) error {
	response, err := c.request(m, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s: %s", m.Name, path, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// request sends a request to a supervisor, bypassing its link. The error wraps ErrRefused if the response status is not
// 2xx. The caller must close the body of the response.
func (c *Cluster) request(m *Member, method, path string, body io.Reader) (*http.Response, error) {
	url := "http://" + m.SupervisorAddress + path
	request, err := http.NewRequestWithContext(context.Background(), method, url, body) // the client has a timeout
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode/100 != 2 {
		_ = response.Body.Close() // the body is not used
		return nil, fmt.Errorf("%s: %s: %s: %w", m.Name, path, response.Status, ErrRefused)
	}
	return response, nil
}

// Leader waits until one of the candidates leads with a valid lease, and returns that member.
func (c *Cluster) Leader(candidates []*Member) (elected *Member, err error) {
	err = c.WaitUntil(settleTimeout, func() bool {
		for _, m := range candidates {
			var status leader.Status
			if c.GetJSON(m, "/v1/owner", &status) == nil && status.Active {
				elected = m
				return true
			}
		}
		return false
	})
	if err != nil {
		return nil, fmt.Errorf("no leader: %w", err)
	}
	return elected, nil
}

// StepDown requests a member, bypassing its link, to hand over its leadership. The error wraps ErrRefused if the member
// does not lead, or if there is no voter to hand over to yet.
func (c *Cluster) StepDown(m *Member) error {
	response, err := c.request(m, http.MethodPost, "/v1/owner/step-down", strings.NewReader("{}"))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

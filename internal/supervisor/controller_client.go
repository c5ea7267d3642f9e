package supervisor

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"swiftreel/internal/assignment"
	"swiftreel/internal/handover"
	"swiftreel/internal/jobstats"
	"swiftreel/internal/quota"
)

// maxReportBytes limits the size of a controller's report.
const maxReportBytes = 16 << 20

// errNoAddress is returned for a controller that has not logged the address of its report yet.
var errNoAddress = errors.New("the controller has not said yet where it serves its report")

// assignmentID identifies an assignment of the leader.
type assignmentID struct {
	term     int64
	sequence int64
}

func idOf(assigned assignment.Accepted) assignmentID {
	return assignmentID{term: assigned.Term, sequence: assigned.Sequence}
}

// url returns the URL of a path on the controller's HTTP server.
func (c *controller) url(path string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.address == "" {
		return "", errNoAddress
	}
	return "http://" + c.address + path, nil
}

// fetchReport requests the controller's report.
func (c *controller) fetchReport(ctx context.Context, client *http.Client) (jobstats.Report, error) {
	url, err := c.url("/tally")
	if err != nil {
		return jobstats.Report{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return jobstats.Report{}, err
	}
	response, err := client.Do(request)
	if err != nil {
		return jobstats.Report{}, err
	}
	defer func() { _ = response.Body.Close() }() // the response was only read
	var report jobstats.Report
	err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report)
	return report, err
}

// shareOf converts the shares of an assignment to the form that controllers read.
func shareOf(assigned assignment.Accepted) jobstats.Share {
	share := jobstats.Share{
		PerMillion:   assigned.Shares[quota.FleetThreads],
		TenantQuotas: map[string]int64{},
		ExpiryNS:     assigned.SharesUntil,
	}
	for resource, perMillion := range assigned.Shares {
		if tenant, isTenant := resource.Tenant(); isTenant {
			share.TenantQuotas[tenant] = perMillion
		}
	}
	return share
}

// postShare sends a share to the controller. It returns nil if the controller has accepted it.
func (c *controller) postShare(ctx context.Context, client *http.Client, share jobstats.Share) error {
	return c.post(ctx, client, "/part", share)
}

// postNotice tells the controller whether a successor runs that does not link to it.
func (c *controller) postNotice(ctx context.Context, client *http.Client, notice handover.Notice) error {
	return c.post(ctx, client, handover.NoticePath, notice)
}

// post sends a value as JSON. It returns nil if the controller has accepted it.
func (c *controller) post(ctx context.Context, client *http.Client, path string, value any) error {
	url, err := c.url(path)
	if err != nil {
		return err
	}
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	if err := response.Body.Close(); err != nil {
		return err
	}
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%s refused: %s", path, response.Status)
	}
	return nil
}

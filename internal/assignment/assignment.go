// Package assignment defines what the leader assigns to a member's supervisor: quota shares and a plan, each valid
// until an expiry by the receiver's own clock. Receivers fence assignments by the leader's term and a sequence
// number.
//
// The package is free of I/O and clock: callers pass the time in nanoseconds. Its types are plain values.
package assignment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"swiftreel/internal/change"
	"swiftreel/internal/quota"
)

// Assignment is the complete set of shares and the plan that the leader assigns to a member. Each assignment replaces
// the previous one as a whole, so losing or repeating one is harmless. Expiries are times of the receiving machine's
// clock, based on the time that it last reported, so a delayed assignment does not expire any later.
type Assignment struct {
	Format      int             `json:"format"`
	Term        int64           `json:"reign"` // the leader's fencing token
	Sequence    int64           `json:"count"` // increases with each assignment in a term
	Leader      string          `json:"owner"`
	Member      string          `json:"member"`
	Incarnation string          `json:"life"` // of the supervisor's process; a new process starts without an assignment
	Shares      quota.Shares    `json:"part,omitempty"`
	SharesUntil int64           `json:"part_until_boot_ns,omitempty"` // expiry of Shares, in ns
	Plan        change.Digest   `json:"plan,omitempty"`               // to be followed; empty means none
	PlanUntil   int64           `json:"plan_until_boot_ns,omitempty"` // expiry of Plan, in ns
	PlanText    json.RawMessage `json:"plan_text,omitempty"`          // sent until the member reports that it has the plan
}

// Limits of an assignment.
const (
	maxBytes       = 8 << 20
	maxExpiryAhead = 3600 * nsPerSecond // how far an expiry may lie in the future, in ns
	maxResources   = 4096
	nsPerSecond    = int64(1e9)
)

// Read decodes and validates an assignment. Unknown fields are rejected. Errors begin with the path of the invalid
// field.
func Read(from io.Reader) (Assignment, error) {
	text, err := io.ReadAll(io.LimitReader(from, maxBytes+1))
	if err != nil {
		return Assignment{}, err
	}
	if len(text) > maxBytes {
		return Assignment{}, fmt.Errorf("/: over %d bytes", maxBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var assignment Assignment
	if err := decoder.Decode(&assignment); err != nil {
		return Assignment{}, fmt.Errorf("/: %w", err)
	}
	if err := assignment.validate(); err != nil {
		return Assignment{}, err
	}
	return assignment, nil
}

func (a Assignment) validate() error {
	if err := a.validateHeader(); err != nil {
		return err
	}
	if len(a.PlanText) > 0 && change.JSONDigest(a.PlanText) != a.Plan {
		return errors.New("/plan_text: its digest is not that of /plan")
	}
	return validateShares(a.Shares)
}

func (a Assignment) validateHeader() error {
	switch {
	case a.Format != change.Format:
		return fmt.Errorf("/format: %d, known is %d", a.Format, change.Format)
	case a.Term < 1 || a.Sequence < 1:
		return fmt.Errorf("/reign, /count: %d, %d: under 1", a.Term, a.Sequence)
	case a.Leader == "" || a.Member == "" || a.Incarnation == "":
		return errors.New("/owner, /member, /life: missing")
	}
	return nil
}

func validateShares(shares quota.Shares) error {
	if len(shares) > maxResources {
		return fmt.Errorf("/part: over %d resources", maxResources)
	}
	for resource, share := range shares {
		_, isQuota := resource.Tenant()
		if !isQuota && resource != quota.FleetThreads {
			return fmt.Errorf("/part/%s: unknown resource", resource)
		}
		if share < 1 || share > quota.FullShare {
			return fmt.Errorf("/part/%s: %d, not from 1 to %d", resource, share, quota.FullShare)
		}
	}
	return nil
}

// Package assignment is what the fleet's owner hands out to controllers' keepers: parts and plans, each until an end by the
// receiver's own clock. Free of I/O and clock.
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

// Word is all that the owner wants a member to go by. It carries the whole of it, so that one lost or repeated does no harm;
// its ends stand in the time of the machine that it is for, as that has told it: one that is late ends no later.
type Assignment struct {
	Format      int             `json:"format"`
	Term        int64           `json:"reign"`
	Sequence    int64           `json:"count"` // rises with each of the reign
	Leader      string          `json:"owner"`
	Member      string          `json:"member"`
	Incarnation string          `json:"life"` // of the keeper's process that it is for: another has taken nothing
	Shares      quota.Shares    `json:"part,omitempty"`
	SharesUntil int64           `json:"part_until_boot_ns,omitempty"`
	Plan        change.Digest   `json:"plan,omitempty"` // to be followed; none: none
	PlanUntil   int64           `json:"plan_until_boot_ns,omitempty"`
	PlanText    json.RawMessage `json:"plan_text,omitempty"` // of the plan, where the member does not have it
}

// Bounds of a word.
const (
	maxBytes  = 8 << 20
	maxAhead  = 3600 * int64(1e9) // an end is no further than this
	maxShares = 4096
)

// ReadWord reads a word whole; a field that it does not know is an error.
func Read(from io.Reader) (w Assignment, err error) {
	text, err := io.ReadAll(io.LimitReader(from, maxBytes+1))
	if err != nil {
		return w, err
	}
	if len(text) > maxBytes {
		return w, fmt.Errorf("/: over %d bytes", maxBytes)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&w); err != nil {
		return Assignment{}, fmt.Errorf("/: %w", err)
	}
	switch {
	case w.Format != change.Format:
		return Assignment{}, fmt.Errorf("/format: %d, known is %d", w.Format, change.Format)
	case w.Term < 1 || w.Sequence < 1:
		return Assignment{}, fmt.Errorf("/reign, /count: %d, %d: under 1", w.Term, w.Sequence)
	case w.Leader == "" || w.Member == "" || w.Incarnation == "":
		return Assignment{}, errors.New("/owner, /member, /life: missing")
	case len(w.Shares) > maxShares:
		return Assignment{}, fmt.Errorf("/part: over %d", maxShares)
	case len(w.PlanText) > 0 && change.JSONDigest(w.PlanText) != w.Plan:
		return Assignment{}, errors.New("/plan_text: it is not that plan")
	}
	for of, n := range w.Shares {
		if _, isTenant := of.Tenant(); !isTenant && of != quota.Fleet || n < 1 || n > quota.FullShare {
			return Assignment{}, fmt.Errorf("/part/%s: %d, or nothing that is parted", of, n)
		}
	}
	return w, nil
}

// Held is what a keeper holds of the words that it has taken. It does not outlive its process: the next has a life of its own.
type Accepted struct {
	Term        int64         `json:"reign"`
	Sequence    int64         `json:"count"`
	Leader      string        `json:"owner"`
	Shares      quota.Shares  `json:"part,omitempty"`
	SharesUntil int64         `json:"part_until_boot_ns,omitempty"`
	Plan        change.Digest `json:"plan,omitempty"`
	PlanUntil   int64         `json:"plan_until_boot_ns,omitempty"`

	PlanText json.RawMessage `json:"-"`
}

// Take decides on a word: what is held afterwards, or why it is refused. now is the machine's time.
func (h Accepted) Accept(w Assignment, member, life string, now int64) (Accepted, error) {
	switch {
	case w.Member != member:
		return h, fmt.Errorf("a word for %s has come to %s", w.Member, member)
	case w.Incarnation != life:
		return h, errors.New("a word for a process that was here before")
	case w.Term < h.Term:
		return h, fmt.Errorf("reign %d comes after %d was heard", w.Term, h.Term)
	case w.Term == h.Term && w.Leader != h.Leader:
		return h, fmt.Errorf("reign %d is of %s, not %s", h.Term, h.Leader, w.Leader)
	case w.Term == h.Term && w.Sequence <= h.Sequence:
		return h, fmt.Errorf("word %d of reign %d comes after %d", w.Sequence, w.Term, h.Sequence)
	case max(w.SharesUntil, w.PlanUntil) > now+maxAhead:
		return h, fmt.Errorf("it ends over %d s ahead", maxAhead/1e9)
	}
	next := Accepted{Term: w.Term, Sequence: w.Sequence, Leader: w.Leader, Shares: w.Shares, SharesUntil: w.SharesUntil}
	switch {
	case w.Plan == "":
	case len(w.PlanText) > 0:
		next.Plan, next.PlanUntil, next.PlanText = w.Plan, w.PlanUntil, w.PlanText
	case w.Plan == h.Plan:
		next.Plan, next.PlanUntil, next.PlanText = h.Plan, w.PlanUntil, h.PlanText
	default: // it does not have that yet: what it follows goes on to its own end
		next.Plan, next.PlanUntil, next.PlanText = h.Plan, h.PlanUntil, h.PlanText
	}
	return next.ValidAt(now), nil
}

// At is what still holds at a time.
func (h Accepted) ValidAt(now int64) Accepted {
	if now >= h.SharesUntil {
		h.Shares, h.SharesUntil = nil, 0
	}
	if now >= h.PlanUntil {
		h.Plan, h.PlanUntil, h.PlanText = "", 0, nil
	}
	return h
}

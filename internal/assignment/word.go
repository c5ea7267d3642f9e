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
type Word struct {
	Format    int             `json:"format"`
	Reign     int64           `json:"reign"`
	Count     int64           `json:"count"` // rises with each of the reign
	Owner     string          `json:"owner"`
	Member    string          `json:"member"`
	Life      string          `json:"life"` // of the keeper's process that it is for: another has taken nothing
	Part      quota.Share     `json:"part,omitempty"`
	PartUntil int64           `json:"part_until_boot_ns,omitempty"`
	Plan      change.Digest   `json:"plan,omitempty"` // to be followed; none: none
	PlanUntil int64           `json:"plan_until_boot_ns,omitempty"`
	Text      json.RawMessage `json:"plan_text,omitempty"` // of the plan, where the member does not have it
}

// Bounds of a word.
const (
	mostWord  = 8 << 20
	mostAhead = 3600 * int64(1e9) // an end is no further than this
	mostParts = 4096
)

// ReadWord reads a word whole; a field that it does not know is an error.
func ReadWord(from io.Reader) (w Word, err error) {
	text, err := io.ReadAll(io.LimitReader(from, mostWord+1))
	if err != nil {
		return w, err
	}
	if len(text) > mostWord {
		return w, fmt.Errorf("/: over %d bytes", mostWord)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&w); err != nil {
		return Word{}, fmt.Errorf("/: %w", err)
	}
	switch {
	case w.Format != change.Format:
		return Word{}, fmt.Errorf("/format: %d, known is %d", w.Format, change.Format)
	case w.Reign < 1 || w.Count < 1:
		return Word{}, fmt.Errorf("/reign, /count: %d, %d: under 1", w.Reign, w.Count)
	case w.Owner == "" || w.Member == "" || w.Life == "":
		return Word{}, errors.New("/owner, /member, /life: missing")
	case len(w.Part) > mostParts:
		return Word{}, fmt.Errorf("/part: over %d", mostParts)
	case len(w.Text) > 0 && change.OfJSON(w.Text) != w.Plan:
		return Word{}, errors.New("/plan_text: it is not that plan")
	}
	for of, n := range w.Part {
		if _, isTenant := of.Tenant(); !isTenant && of != quota.Fleet || n < 1 || n > quota.Whole {
			return Word{}, fmt.Errorf("/part/%s: %d, or nothing that is parted", of, n)
		}
	}
	return w, nil
}

// Held is what a keeper holds of the words that it has taken. It does not outlive its process: the next has a life of its own.
type Held struct {
	Reign     int64         `json:"reign"`
	Count     int64         `json:"count"`
	Owner     string        `json:"owner"`
	Part      quota.Share   `json:"part,omitempty"`
	PartUntil int64         `json:"part_until_boot_ns,omitempty"`
	Plan      change.Digest `json:"plan,omitempty"`
	PlanUntil int64         `json:"plan_until_boot_ns,omitempty"`

	Text json.RawMessage `json:"-"`
}

// Take decides on a word: what is held afterwards, or why it is refused. now is the machine's time.
func (h Held) Take(w Word, member, life string, now int64) (Held, error) {
	switch {
	case w.Member != member:
		return h, fmt.Errorf("a word for %s has come to %s", w.Member, member)
	case w.Life != life:
		return h, errors.New("a word for a process that was here before")
	case w.Reign < h.Reign:
		return h, fmt.Errorf("reign %d comes after %d was heard", w.Reign, h.Reign)
	case w.Reign == h.Reign && w.Owner != h.Owner:
		return h, fmt.Errorf("reign %d is of %s, not %s", h.Reign, h.Owner, w.Owner)
	case w.Reign == h.Reign && w.Count <= h.Count:
		return h, fmt.Errorf("word %d of reign %d comes after %d", w.Count, w.Reign, h.Count)
	case max(w.PartUntil, w.PlanUntil) > now+mostAhead:
		return h, fmt.Errorf("it ends over %d s ahead", mostAhead/1e9)
	}
	next := Held{Reign: w.Reign, Count: w.Count, Owner: w.Owner, Part: w.Part, PartUntil: w.PartUntil}
	switch {
	case w.Plan == "":
	case len(w.Text) > 0:
		next.Plan, next.PlanUntil, next.Text = w.Plan, w.PlanUntil, w.Text
	case w.Plan == h.Plan:
		next.Plan, next.PlanUntil, next.Text = h.Plan, w.PlanUntil, h.Text
	default: // it does not have that yet: what it follows goes on to its own end
		next.Plan, next.PlanUntil, next.Text = h.Plan, h.PlanUntil, h.Text
	}
	return next.At(now), nil
}

// At is what still holds at a time.
func (h Held) At(now int64) Held {
	if now >= h.PartUntil {
		h.Part, h.PartUntil = nil, 0
	}
	if now >= h.PlanUntil {
		h.Plan, h.PlanUntil, h.Text = "", 0, nil
	}
	return h
}

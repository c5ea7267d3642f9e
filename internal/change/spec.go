// Package change is a change of a fleet of controllers: what it leads to, in which stages, and what it is held against.
package change

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
)

// Digest names a text or a file by its contents: SHA-256, the first 16 bytes in hex.
type Digest string

func digest(b []byte) Digest {
	sum := sha256.Sum256(b)
	return Digest(hex.EncodeToString(sum[:16]))
}

// OfFile is the digest of a file's contents.
func FileDigest(path string) (Digest, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer f.Close()
	sum := sha256.New()
	if _, err := io.Copy(sum, f); err != nil {
		return "", err
	}
	return Digest(hex.EncodeToString(sum.Sum(nil)[:16])), nil
}

// OfJSON is the digest of a JSON value: the same for texts that differ in blanks and the order of names only.
func JSONDigest(v any) Digest {
	text, _ := json.Marshal(v) // what JSON gave, JSON takes; names come in order
	return digest(text)
}

// Program is a program's file as every controller's keeper finds it, and what it must contain.
type Program struct {
	Path   string `json:"path"`
	Digest Digest `json:"digest"`
}

// Spec is all that a controller runs with and that a change may change. Each order carries the whole of it, so that
// one lost or repeated does no harm.
type Spec struct {
	Program  Program         `json:"program"`
	Topology json.RawMessage `json:"shape,omitempty"` // the operator's part of that name
	Plan     json.RawMessage `json:"plan,omitempty"`  // as swiftreel solve writes it
}

// Digest names a spec. Where the program stands is no part of it: only what it contains.
func (s Spec) Digest() Digest {
	var parts [2]any
	for i, text := range [...]json.RawMessage{s.Topology, s.Plan} {
		if len(text) > 0 {
			json.Unmarshal(text, &parts[i])
		}
	}
	return JSONDigest([]any{s.Program.Digest, parts[0], parts[1]})
}

// Fence puts orders in order. A controller's keeper holds the highest that it has taken and refuses what is lower, so an
// order that comes late, twice or out of turn changes nothing.
type Fence struct {
	Number   int64 `json:"number"` // of the change
	Term     int64 `json:"term"`   // rises with each conductor of it
	Revision int64 `json:"turn"`   // rises whenever the conductor wants something else
}

// Compare is under 0 where a comes before b.
func (a Fence) Compare(b Fence) int {
	for _, d := range [...]int64{a.Number - b.Number, a.Term - b.Term, a.Revision - b.Revision} {
		if d != 0 {
			return int(d / max(d, -d))
		}
	}
	return 0
}

func (a Fence) String() string { return fmt.Sprintf("%d.%d.%d", a.Number, a.Term, a.Revision) }

// FormatTo is the form in which to write to one that says which form it writes: the older of both. One that has not been
// heard of yet (0) is written to in the oldest that anyone reads.
func FormatFor(theirs int) int { return min(Format, max(theirs, Format-1, 1)) }

// Formats are those that this program reads.
func Formats() (list []int) {
	for f := max(1, Format-1); f <= Format; f++ {
		list = append(list, f)
	}
	return list
}

// Order is what a conductor wants of one controller.
type Order struct {
	Format int    `json:"format"`
	Fence  Fence  `json:"fence"`
	By     string `json:"by"`     // the conductor's record: two that conduct under one number and term are told apart
	Member string `json:"member"` // as one reached by mistake finds out
	Spec   Spec   `json:"want"`
	Drain  bool   `json:"drain,omitempty"` // stop serving once nothing is owed: it cannot be brought where it should be
	Reason string `json:"why,omitempty"`   // from format 2 on: for the log of who takes it
}

// In is the order as one of that format reads it.
func (o Order) ForFormat(format int) Order {
	o.Format, o.Reason = format, strings.ToValidUTF8(o.Reason[:min(len(o.Reason), mostWhy)], "")
	if format < 2 {
		o.Reason = ""
	}
	return o
}

// mostWhy bounds an order's why, in bytes.
const mostWhy = 1000

// mostOrder bounds an order's text.
const mostOrder = 4 << 20

// ReadOrder reads an order whole. A field that it does not know is an error: an order half understood is none.
func ReadOrder(from io.Reader) (o Order, err error) {
	text, err := io.ReadAll(io.LimitReader(from, mostOrder+1))
	if err != nil {
		return o, err
	}
	if len(text) > mostOrder {
		return o, fmt.Errorf("/: over %d bytes", mostOrder)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&o); err != nil {
		return Order{}, fmt.Errorf("/: %w", err)
	}
	switch {
	case o.Format < max(1, Format-1) || o.Format > Format:
		return Order{}, fmt.Errorf("/format: %d, known are %d and the one before", o.Format, Format)
	case o.Format < 2 && o.Reason != "":
		return Order{}, errors.New("/why: not of format 1")
	case len(o.Reason) > mostWhy:
		return Order{}, fmt.Errorf("/why: over %d bytes", mostWhy)
	case o.Fence.Number < 1 || o.Fence.Term < 1 || o.Fence.Revision < 1:
		return Order{}, fmt.Errorf("/fence: %v has a part under 1", o.Fence)
	case o.By == "" || o.Member == "":
		return Order{}, fmt.Errorf("/by, /member: missing")
	case o.Spec.Program.Path == "" || o.Spec.Program.Digest == "":
		return Order{}, fmt.Errorf("/want/program: missing")
	}
	return o, nil
}

// Held is what a keeper holds of the orders it has taken.
type AcceptedOrder struct {
	Fence Fence  `json:"fence"`
	By    string `json:"by"`
	Spec  Spec   `json:"want"`
	Drain bool   `json:"drain"`
}

// Take decides on an order: what is held afterwards, whether it is new, or why it is refused.
func (h AcceptedOrder) Accept(o Order) (next AcceptedOrder, is bool, refused error) {
	switch c := o.Fence.Compare(h.Fence); {
	case c < 0:
		return h, false, fmt.Errorf("order %v comes after %v was taken", o.Fence, h.Fence)
	case o.Fence.Number == h.Fence.Number && o.Fence.Term == h.Fence.Term && o.By != h.By:
		return h, false, fmt.Errorf("order %v is by %s, and %s conducts under that term", o.Fence, o.By, h.By)
	case c == 0 && (o.Spec.Digest() != h.Spec.Digest() || o.Drain != h.Drain):
		return h, false, fmt.Errorf("order %v wants what an order of that name did not", o.Fence)
	case c == 0:
		return h, false, nil
	}
	return AcceptedOrder{o.Fence, o.By, o.Spec, o.Drain}, true, nil
}

package change

import "encoding/json"

// Program is a program's file, at the same path for every supervisor, and what it must contain.
type Program struct {
	Path   string `json:"path"`
	Digest Digest `json:"digest"`
}

// Spec is everything that a controller runs with and that a change may replace. Each order carries a complete spec, so
// that an order that is lost or repeated does no harm.
type Spec struct {
	Program  Program         `json:"program"`
	Topology json.RawMessage `json:"shape,omitempty"` // the operator's settings of that key
	Plan     json.RawMessage `json:"plan,omitempty"`  // as swiftreel solve writes it
}

// Digest identifies a spec by its contents. The path of the program is not part of it.
func (s Spec) Digest() Digest {
	return JSONDigest([]any{s.Program.Digest, decoded(s.Topology), decoded(s.Plan)})
}

// decoded returns a JSON text as a value, so that white space and the order of keys are not part of its digest. It is
// nil for a text that is missing or is no JSON.
func decoded(text json.RawMessage) any {
	if len(text) == 0 {
		return nil
	}
	var value any
	if err := json.Unmarshal(text, &value); err != nil {
		return nil
	}
	return value
}

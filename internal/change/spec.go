package change

import "encoding/json"

// Program is a program file, at the same path on every supervisor, with the digest of its contents.
type Program struct {
	Path   string `json:"path"`
	Digest Digest `json:"digest"`
}

// Spec is everything that a controller runs with and that a change may replace. Each order contains a complete spec, so
// that lost and repeated orders do no harm.
type Spec struct {
	Program  Program         `json:"program"`
	Topology json.RawMessage `json:"shape,omitempty"` // the operator's settings under this key
	Plan     json.RawMessage `json:"plan,omitempty"`  // as swiftreel solve writes it
}

// Digest identifies a spec by its contents. The path of the program is not part of it.
func (s Spec) Digest() Digest {
	return JSONDigest([]any{s.Program.Digest, decoded(s.Topology), decoded(s.Plan)})
}

// decoded returns the value of a JSON text, so that white space and the order of keys do not affect its digest. It
// returns nil for a text that is missing or invalid.
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

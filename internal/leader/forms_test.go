package leader

import (
	"bytes"
	"encoding/json"
	"testing"

	"swiftreel/internal/golden"
	"swiftreel/internal/solve"
)

// The encodings of log entries, snapshots and replicated items match the recorded ones byte for byte, and decoding them
// loses nothing.
func TestStoredEncodingStaysCompatible(t *testing.T) {
	var got bytes.Buffer
	put := func(written, read any) {
		t.Helper()
		text, err := json.Marshal(written)
		if err != nil {
			t.Fatal(err)
		}
		got.Write(append(text, '\n'))
		if err := json.Unmarshal(text, read); err != nil {
			t.Fatal(err)
		}
		again, err := json.Marshal(read)
		if err != nil || !bytes.Equal(again, text) {
			t.Errorf("%s is decoded as %s, %v", text, again, err)
		}
	}
	put(Command{ID: 3, Proposer: 7, Term: 5, Candidate: "v1"}, &Command{})
	put(Command{ID: 4, Proposer: 7, Term: 5, Item: "parts.json", Value: []byte("{}")}, &Command{})
	put(State{}, &State{})
	put(State{
		Term:     5,
		Leader:   "v1",
		Items:    map[string][]byte{"x": []byte("1")},
		Versions: map[string]uint64{"x": 2},
		Members:  map[uint64]string{7: "v1"},
	}, &State{})
	put(Status{
		Name: "v1", ID: 7, Term: 5, Leader: "v1", Active: true, RaftLeader: "v1", RaftTerm: 6,
		Voters: []string{"v1"}, Halted: "no space",
	}, &Status{})
	put(bootstrapRequest{
		ID: 7, Members: map[uint64]string{7: "v1"}, Recover: true, State: State{Term: 5}, RaftTerm: 6,
	}, &bootstrapRequest{})
	put(planRecord{
		Term: 5, Sequence: 2, Digest: "ab", Reason: "the first", Answer: solve.Answer{Method: "m", Status: "optimal"},
	}, &planRecord{})
	golden.Check(t, "stored.txt", got.Bytes())
}

package leader

import (
	"encoding/json"
	"fmt"
)

// Term is a fencing token: it only rises, and each term has one leader.
type Term int64

// State is the replicated state. It is equal on all members that have applied the same prefix of the log.
type State struct {
	Term     Term              `json:"reign"`
	Leader   string            `json:"owner"` // of Term
	Items    map[string][]byte `json:"items"` // by name, bounded by maxItems and maxItemBytes
	Versions map[string]uint64 `json:"seq"`   // of items: how often each was written
	Members  map[uint64]string `json:"names"` // names by raft member ID
}

// Bounds of the state: a new member receives all of it in one snapshot.
const (
	maxItems     = 8
	maxItemBytes = 4 << 20
)

// Command is an entry of the log: it claims a term for a candidate, or writes an item under the current term. A
// command of any other term has no effect, whoever proposes it.
type Command struct {
	ID        uint64 `json:"id"`    // chosen by the proposer, to match the result; 0: no result is wanted
	Proposer  uint64 `json:"from"`  // raft member ID
	Term      Term   `json:"reign"` // the current one, or the one claimed
	Candidate string `json:"claim,omitempty"`
	Item      string `json:"name,omitempty"`
	Value     []byte `json:"value,omitempty"`
}

// apply executes a command. An error means that it had no effect; it is the same on all members.
func (s *State) apply(command Command) error {
	if command.Candidate != "" {
		return s.claim(command)
	}
	if command.Term != s.Term {
		return &StaleTermError{Term: command.Term, Current: s.Term, Leader: s.Leader}
	}
	if len(command.Value) > maxItemBytes {
		return fmt.Errorf("%s: over %d bytes: %w", command.Item, maxItemBytes, ErrItemTooLarge)
	}
	if s.Items[command.Item] == nil && len(s.Items) >= maxItems {
		return fmt.Errorf("%s: there are %d items: %w", command.Item, maxItems, ErrTooManyItems)
	}
	if s.Items == nil {
		s.Items = map[string][]byte{}
		s.Versions = map[string]uint64{}
	}
	s.Items[command.Item] = command.Value
	s.Versions[command.Item]++
	return nil
}

func (s *State) claim(command Command) error {
	if command.Term <= s.Term {
		return &StaleTermError{Term: command.Term, Current: s.Term, Leader: s.Leader}
	}
	s.Term = command.Term
	s.Leader = command.Candidate
	return nil
}

// encode returns the state as JSON, as snapshots hold it.
func (s *State) encode() []byte {
	text, _ := json.Marshal(s) // maps of strings, numbers and bytes always marshal
	return text
}

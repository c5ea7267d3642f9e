package leader

import (
	"encoding/json"
	"fmt"
)

// Term is a fencing token. It never decreases, and each term has one leader.
type Term int64

// State is the replicated state. It is equal on all members that have applied the same prefix of the log.
type State struct {
	Term     Term              `json:"reign"`
	Leader   string            `json:"owner"` // of Term
	Items    map[string][]byte `json:"items"` // by name; limited by maxItems and maxItemBytes
	Versions map[string]uint64 `json:"seq"`   // number of writes of each item
	Members  map[uint64]string `json:"names"` // names by raft member ID
}

// Limits of the state. A new member receives the whole state in one snapshot.
const (
	maxItems     = 8
	maxItemBytes = 4 << 20
)

// Command is an entry of the log. It claims a new term for a candidate, or writes an item under the current term. A
// write under any other term has no effect.
type Command struct {
	ID        uint64 `json:"id"`    // chosen by the proposer to match the result; 0 if no result is needed
	Proposer  uint64 `json:"from"`  // raft member ID
	Term      Term   `json:"reign"` // the current term, or the term to claim
	Candidate string `json:"claim,omitempty"`
	Item      string `json:"name,omitempty"`
	Value     []byte `json:"value,omitempty"`
}

// apply executes a command. An error means that the command had no effect. The outcome is the same on all members.
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

// encode returns the JSON encoding of the state, as used in snapshots.
func (s *State) encode() []byte {
	text, _ := json.Marshal(s) // maps of strings, numbers and bytes can always be marshalled
	return text
}

// Package leader has work that is done once for the whole fleet be done by one process at a time: the owner, which a majority
// of the named voters has agreed on, under a reign that only rises. The consensus is etcd's raft; what is ours is the lease
// within which an owner may act, the fence of what is agreed, and the members that lost their memory.
package leader

import (
	"encoding/json"
	"fmt"
)

// Reign numbers owners: it only rises, and each has one owner.
type Term int64

// Agreed is what the voters have agreed on, the same for all that have come so far in the log.
type State struct {
	Term     Term              `json:"reign"`
	Leader   string            `json:"owner"` // of that reign
	Items    map[string][]byte `json:"items"` // by name; bounded, see mostItems and mostItem
	Versions map[string]uint64 `json:"seq"`   // of items: how often each was written
	Members  map[uint64]string `json:"names"` // of members of the log, by their numbers
}

// Bounds of what is agreed: it goes to new members whole.
const (
	maxItems     = 8
	maxItemBytes = 4 << 20
)

// Command is an entry of the log. One of another reign than the agreed one changes nothing, whoever proposes it.
type Command struct {
	ID        uint64 `json:"id"`    // the proposer's, to know its own again
	Proposer  uint64 `json:"from"`  // the proposer's number
	Term      Term   `json:"reign"` // under which it is proposed; a claim: the one claimed
	Candidate string `json:"claim,omitempty"`
	Item      string `json:"name,omitempty"`
	Value     []byte `json:"value,omitempty"`
}

// apply takes an entry in; the error says why it changes nothing, alike on all members.
func (a *State) apply(c Command) error {
	switch {
	case c.Candidate != "" && c.Term <= a.Term:
		return fmt.Errorf("reign %d is claimed after %d", c.Term, a.Term)
	case c.Candidate != "":
		a.Term, a.Leader = c.Term, c.Candidate
		return nil
	case c.Term != a.Term:
		return fmt.Errorf("reign %d is over: %s owns %d", c.Term, a.Leader, a.Term)
	case len(c.Value) > maxItemBytes:
		return fmt.Errorf("%s: over %d bytes", c.Item, maxItemBytes)
	case a.Items[c.Item] == nil && len(a.Items) >= maxItems:
		return fmt.Errorf("%s: there are %d items already", c.Item, maxItems)
	}
	if a.Items == nil {
		a.Items, a.Versions = map[string][]byte{}, map[string]uint64{}
	}
	a.Items[c.Item] = c.Value
	a.Versions[c.Item]++
	return nil
}

func (a *State) encode() []byte {
	text, _ := json.Marshal(a) // maps of names, numbers and bytes
	return text
}

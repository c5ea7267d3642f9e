// Package leader has work that is done once for the whole fleet be done by one process at a time: the owner, which a majority
// of the named voters has agreed on, under a reign that only rises. The consensus is etcd's raft; what is ours is the lease
// within which an owner may act, the fence of what is agreed, and the members that lost their memory.
package leader

import (
	"encoding/json"
	"fmt"
)

// Reign numbers owners: it only rises, and each has one owner.
type Reign int64

// Agreed is what the voters have agreed on, the same for all that have come so far in the log.
type Agreed struct {
	Reign Reign             `json:"reign"`
	Owner string            `json:"owner"` // of that reign
	Items map[string][]byte `json:"items"` // by name; bounded, see mostItems and mostItem
	Seq   map[string]uint64 `json:"seq"`   // of items: how often each was written
	Names map[uint64]string `json:"names"` // of members of the log, by their numbers
}

// Bounds of what is agreed: it goes to new members whole.
const (
	mostItems = 8
	mostItem  = 4 << 20
)

// Command is an entry of the log. One of another reign than the agreed one changes nothing, whoever proposes it.
type Command struct {
	ID    uint64 `json:"id"`    // the proposer's, to know its own again
	From  uint64 `json:"from"`  // the proposer's number
	Reign Reign  `json:"reign"` // under which it is proposed; a claim: the one claimed
	Claim string `json:"claim,omitempty"`
	Name  string `json:"name,omitempty"`
	Value []byte `json:"value,omitempty"`
}

// apply takes an entry in; the error says why it changes nothing, alike on all members.
func (a *Agreed) apply(c Command) error {
	switch {
	case c.Claim != "" && c.Reign <= a.Reign:
		return fmt.Errorf("reign %d is claimed after %d", c.Reign, a.Reign)
	case c.Claim != "":
		a.Reign, a.Owner = c.Reign, c.Claim
		return nil
	case c.Reign != a.Reign:
		return fmt.Errorf("reign %d is over: %s owns %d", c.Reign, a.Owner, a.Reign)
	case len(c.Value) > mostItem:
		return fmt.Errorf("%s: over %d bytes", c.Name, mostItem)
	case a.Items[c.Name] == nil && len(a.Items) >= mostItems:
		return fmt.Errorf("%s: there are %d items already", c.Name, mostItems)
	}
	if a.Items == nil {
		a.Items, a.Seq = map[string][]byte{}, map[string]uint64{}
	}
	a.Items[c.Name] = c.Value
	a.Seq[c.Name]++
	return nil
}

func (a *Agreed) text() []byte {
	text, _ := json.Marshal(a) // maps of names, numbers and bytes
	return text
}

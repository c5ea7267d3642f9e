package leader

import (
	"errors"
	"fmt"
)

// Errors with which a member rejects a request.
var (
	// ErrNotLeader means that the request must go to the leader, and this member is not it or is handing over.
	ErrNotLeader = errors.New("this member is not the leader: swiftreel fleet leader shows which one is")
	// ErrNotMember means that the process has not joined a fleet yet, or that its store has failed.
	ErrNotMember = errors.New("this process is not an active member of a fleet")
	// ErrAlreadyMember means that the process is a member already; it can be bootstrapped again only to recover the fleet.
	ErrAlreadyMember = errors.New("already a member")
	// ErrUnknownMember means that no member has the given name.
	ErrUnknownMember = errors.New("unknown member")
	// ErrItemTooLarge means that the value of an item exceeds maxItemBytes.
	ErrItemTooLarge = errors.New("item too large")
	// ErrTooManyItems means that the state already contains maxItems items.
	ErrTooManyItems = errors.New("too many items")
	// ErrProposalTimeout means that the outcome of a proposal is unknown: it may still be committed later.
	ErrProposalTimeout = errors.New("proposal not committed in time, it may still be")
	// ErrClosed means that the node was closed during the request.
	ErrClosed = errors.New("node closed")
	// ErrNoSuccessor means that this member does not lead or that no other voter can take over the leadership.
	ErrNoSuccessor = errors.New("this member is not the leader, or no other voter can take over")
)

// StaleTermError rejects a command that does not carry the current term, or a claim of a term that is not newer.
type StaleTermError struct {
	Term    Term   // of the command
	Current Term   // committed
	Leader  string // of the current term
}

// Error returns a description with both terms.
func (e *StaleTermError) Error() string {
	return fmt.Sprintf("term %d is not valid: %q leads term %d", e.Term, e.Leader, e.Current)
}

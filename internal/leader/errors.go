package leader

import (
	"errors"
	"fmt"
)

// Reasons for which a request to a member is refused.
var (
	// ErrNotLeader: the request needs the leader, and this member is not, or is handing over.
	ErrNotLeader = errors.New("this member is not the leader: swiftreel fleet leader shows which one is")
	// ErrNotMember: the process belongs to no fleet yet, or its store has failed.
	ErrNotMember = errors.New("this process is not an active member of a fleet")
	// ErrAlreadyMember: a member cannot be bootstrapped again, except to recover the fleet.
	ErrAlreadyMember = errors.New("already a member")
	// ErrUnknownMember: no member has the given name.
	ErrUnknownMember = errors.New("unknown member")
	// ErrItemTooLarge: the value of an item exceeds maxItemBytes.
	ErrItemTooLarge = errors.New("item too large")
	// ErrTooManyItems: the state holds maxItems items already.
	ErrTooManyItems = errors.New("too many items")
	// ErrProposalTimeout: the outcome of a proposal is unknown; it may still be committed later.
	ErrProposalTimeout = errors.New("proposal not committed in time, it may still be")
	// ErrClosed: the node was closed while the request was under way.
	ErrClosed = errors.New("node closed")
	// ErrNoSuccessor: no other voter can take over the leadership.
	ErrNoSuccessor = errors.New("this member is not the leader, or no other voter can take over")
)

// StaleTermError refuses a command whose term is not the one that is due.
type StaleTermError struct {
	Term    Term   // of the command
	Current Term   // committed
	Leader  string // of the current term
}

// Error describes both terms.
func (e *StaleTermError) Error() string {
	return fmt.Sprintf("term %d is not valid: %q leads term %d", e.Term, e.Leader, e.Current)
}

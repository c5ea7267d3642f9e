package change

import (
	"cmp"
	"fmt"
)

// Fence is the fencing token of an order; tokens are totally ordered. A supervisor stores the highest token that it has
// accepted and refuses lower ones, so that an order that arrives late, twice or out of sequence has no effect.
type Fence struct {
	Number   int64 `json:"number"` // of the change
	Term     int64 `json:"term"`   // increases with each coordinator of the change
	Revision int64 `json:"turn"`   // increases whenever the coordinator's state changes
}

// Compare returns a negative number, zero or a positive number if f is below, equal to or above other.
func (f Fence) Compare(other Fence) int {
	return cmp.Or(
		cmp.Compare(f.Number, other.Number),
		cmp.Compare(f.Term, other.Term),
		cmp.Compare(f.Revision, other.Revision),
	)
}

// String returns the number, term and revision, separated by dots.
func (f Fence) String() string { return fmt.Sprintf("%d.%d.%d", f.Number, f.Term, f.Revision) }

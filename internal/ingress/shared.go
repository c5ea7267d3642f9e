package ingress

import (
	"time"

	"swiftreel/internal/limits"
)

// Shared is what the front ends of a process share.
type Shared struct {
	Stalls *StallDetector // has to be run
	Conns  *Table
}

// NewShared returns the shared state of front ends that stay within a budget.
func NewShared(budget *limits.Budget) *Shared {
	return &Shared{Stalls: NewStallDetector(time.Now()), Conns: NewTable(budget)}
}

// Package invariant checks conditions that a correct program always meets. A violation is counted under its name
// (package counters); builds with the tag debug panic.
package invariant

import "swiftreel/internal/counters"

// Check counts a violation under name unless the condition holds; builds with the tag debug panic.
func Check(holds bool, name string) {
	if !holds {
		counters.Increment(name)
		violated(name)
	}
}

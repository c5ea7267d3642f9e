// Package invariant checks conditions that always hold in a correct program. Violations are counted (package counters);
// builds with the tag debug panic.
package invariant

import "swiftreel/internal/counters"

// Check increments the counter name if the condition does not hold. Builds with the tag debug also panic.
func Check(holds bool, name string) {
	if !holds {
		counters.Increment(name)
		violated(name)
	}
}

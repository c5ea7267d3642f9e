// Package draw makes up fleets and what is asked of them, as problems for the solver, from a source of random numbers.
//
// The same seed draws the same problem for good: tests and proofs name a problem by its seed, so the order in which
// random numbers are taken may not change.
package draw

import (
	"math/rand/v2"
)

// oneIn reports true once in n draws on average.
func oneIn(n int, random *rand.Rand) bool { return random.IntN(n) == 0 }

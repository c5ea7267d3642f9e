package ilp

import (
	"math"
	"math/bits"
)

// MaxMagnitude is the largest absolute value of a coefficient, a bound or a sum of products. Whatever exceeds it is
// reported as overflow.
const MaxMagnitude = 1 << 62

// checkedSum accumulates products and records whether a product or a partial sum exceeded MaxMagnitude.
type checkedSum struct {
	total       int64
	hasOverflow bool
}

func (s *checkedSum) add(a, b int64) {
	product, isExact := multiply(a, b)
	total := s.total + product
	s.hasOverflow = s.hasOverflow || !isExact || total > MaxMagnitude || total < -MaxMagnitude
	s.total = total
}

// result returns the sum, and false if it overflowed.
func (s *checkedSum) result() (int64, bool) { return s.total, !s.hasOverflow }

// multiply returns a*b, and false if the product exceeds MaxMagnitude.
func multiply(a, b int64) (int64, bool) {
	high, low := bits.Mul64(magnitude(a), magnitude(b))
	if high != 0 || low > MaxMagnitude {
		return 0, false
	}
	if (a < 0) != (b < 0) {
		return -int64(low), true
	}
	return int64(low), true
}

func magnitude(a int64) uint64 {
	if a < 0 {
		return uint64(-(a + 1)) + 1
	}
	return uint64(a)
}

// roundDown returns the largest multiple of divisor that is at most value; math.MaxInt64 is returned unchanged.
func roundDown(value, divisor int64) int64 {
	if value == math.MaxInt64 {
		return value
	}
	remainder := value % divisor
	if remainder < 0 {
		return value - remainder - divisor
	}
	return value - remainder
}

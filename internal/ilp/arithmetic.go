package ilp

import (
	"math"
	"math/bits"
)

// MaxMagnitude bounds the figures of a program and the sums of their products; what exceeds it is refused.
const MaxMagnitude = 1 << 62

// sum adds products, and remembers whether it ever exceeded MaxMagnitude.
type sum struct {
	total       int64
	hasOverflow bool
}

func (s *sum) add(a, b int64) {
	product, isExact := multiply(a, b)
	total := s.total + product
	s.hasOverflow = s.hasOverflow || !isExact || total > MaxMagnitude || total < -MaxMagnitude
	s.total = total
}

// result returns the sum; false: it exceeded MaxMagnitude.
func (s *sum) result() (int64, bool) { return s.total, !s.hasOverflow }

// multiply returns the product; false: it exceeds MaxMagnitude.
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

// roundDown rounds to the next lower multiple of divisor; math.MaxInt64 stays as it is.
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

package canary

import (
	"math"
	"testing"
)

// expectation sums the odds over all outcomes of two arms.
func expectation(na, nb int, ra, rb, shift, guessA, guessB, spread float64) (sum float64) {
	binomial := func(n int, p float64) []float64 {
		list := make([]float64, n+1)
		for k := range list {
			a, _ := math.Lgamma(float64(n + 1))
			b, _ := math.Lgamma(float64(k + 1))
			c, _ := math.Lgamma(float64(n - k + 1))
			list[k] = math.Exp(a - b - c + float64(k)*math.Log(p) + float64(n-k)*math.Log(1-p))
		}
		return list
	}
	as, bs := binomial(na, ra), binomial(nb, rb)
	for i, p := range as {
		for k, q := range bs {
			sum += p * q * math.Exp(factor(arm{float64(i), float64(na)}, arm{float64(k), float64(nb)}.shifted(shift), guessA, guessB, spread))
		}
	}
	return sum
}

func TestOddsPayNobodyWhereTheNewIsNotWorse(t *testing.T) {
	paid := false
	for _, n := range [][2]int{{1, 1}, {1, 9}, {7, 3}, {12, 12}} {
		for _, rate := range []float64{0.001, 0.03, 0.2, 0.5, 0.9} {
			for _, shift := range []float64{0, 0.01, 0.2} {
				for _, guess := range []float64{0.01, 0.3, 0.7} {
					for _, harm := range harms {
						a, b := guess+(1-guess)*harm, guess
						most := rate + shift*(1-rate)
						for _, part := range []float64{1, 0.5} {
							for _, spread := range []float64{1, 2.5} {
								if e := expectation(n[0], n[1], most*part, rate, shift, a, b, spread); e > 1+1e-9 {
									t.Fatalf("%v jobs, rates %v and %v, margin %v, guesses %v and %v: %v", n, most*part, rate, shift, a, b, e)
								}
							}
						}
						paid = paid || expectation(n[0], n[1], min(0.99, most+0.3), rate, shift, a, b, 1) > 1.5
					}
				}
			}
		}
	}
	if !paid {
		t.Error("they pay nobody at all")
	}
	// The bound is that of the closest not-worse rate: a test against b's guess alone would pay for nothing.
	naive := 0.0
	for i := range 2 {
		naive += []float64{0.5, 0.5}[i] * []float64{0.9 / 0.99, 0.1 / 0.01}[i]
	}
	if naive <= 1 {
		t.Error("the broken variant is not found")
	}
}

func TestSpreadIsThatOfClumps(t *testing.T) {
	var even, clumped spread
	for i := range 200 {
		even.look([]arm{{5, 50}, {5 + float64(i%3) - 1, 50}})
		clumped.look([]arm{{0, 50}, {10, 50}})
	}
	if even.value() != 1 || clumped.value() < 5 {
		t.Errorf("%v, %v", even.value(), clumped.value())
	}
}

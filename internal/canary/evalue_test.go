package canary

import (
	"math"
	"testing"
)

// trial is a sample of two arms, with their true and expected rates of bad jobs.
type trial struct {
	candidateJobs, referenceJobs         int
	candidateTrueRate, referenceTrueRate float64
	margin                               float64 // by which the candidate may be worse
	candidateRate, referenceRate         float64 // expected before the sample
	dispersion                           float64
}

// expectedEValue returns the expectation of the e-value over all outcomes of both arms.
func (c trial) expectedEValue() float64 {
	candidates := binomial(c.candidateJobs, c.candidateTrueRate)
	references := binomial(c.referenceJobs, c.referenceTrueRate)
	sum := 0.0
	for i, p := range candidates {
		candidate := proportion{bad: float64(i), total: float64(c.candidateJobs)}
		for k, q := range references {
			reference := proportion{bad: float64(k), total: float64(c.referenceJobs)}.worsenedBy(c.margin)
			logE := logEValue(candidate, reference, c.candidateRate, c.referenceRate, c.dispersion)
			sum += p * q * math.Exp(logE)
		}
	}
	return sum
}

// binomial returns the probability of each number of bad jobs out of n.
func binomial(n int, rate float64) []float64 {
	logFactorial := func(n int) float64 {
		value, _ := math.Lgamma(float64(n + 1))
		return value
	}
	probabilities := make([]float64, n+1)
	for k := range probabilities {
		logChoices := logFactorial(n) - logFactorial(k) - logFactorial(n-k)
		logOutcome := float64(k)*math.Log(rate) + float64(n-k)*math.Log(1-rate)
		probabilities[k] = math.Exp(logChoices + logOutcome)
	}
	return probabilities
}

// forEachTrial calls visit with trials in which the candidate's true rate is worse by exactly the margin.
func forEachTrial(visit func(trial)) {
	for _, jobs := range [][2]int{{1, 1}, {1, 9}, {7, 3}, {12, 12}} {
		for _, rate := range []float64{0.001, 0.03, 0.2, 0.5, 0.9} {
			for _, margin := range []float64{0, 0.01, 0.2} {
				for _, expected := range []float64{0.01, 0.3, 0.7} {
					for _, effect := range effectSizes {
						visit(trial{
							candidateJobs:     jobs[0],
							referenceJobs:     jobs[1],
							candidateTrueRate: rate + margin*(1-rate),
							referenceTrueRate: rate,
							margin:            margin,
							candidateRate:     expected + (1-expected)*effect,
							referenceRate:     expected,
							dispersion:        1,
						})
					}
				}
			}
		}
	}
}

func TestEValueIsExpectedAtMostOneUnlessTheCandidateIsWorse(t *testing.T) {
	hasPower := false
	forEachTrial(func(c trial) {
		worse := c
		worse.candidateTrueRate = min(0.99, c.candidateTrueRate+0.3)
		hasPower = hasPower || worse.expectedEValue() > 1.5
		for _, part := range []float64{1, 0.5} {
			for _, dispersion := range []float64{1, 2.5} {
				notWorse := c
				notWorse.candidateTrueRate *= part
				notWorse.dispersion = dispersion
				if e := notWorse.expectedEValue(); e > 1+1e-9 {
					t.Fatalf("%+v: %v", notWorse, e)
				}
			}
		}
	})
	if !hasPower {
		t.Error("no trial gives evidence of a worse candidate")
	}
}

// A likelihood ratio against the reference's expected rate alone is not an e-value: its expectation exceeds 1 where
// both true rates are equal but differ from the expected rate.
func TestLikelihoodRatioAgainstTheExpectedRateIsNoEValue(t *testing.T) {
	const trueRate, alternative, expected = 0.5, 0.1, 0.01
	naive := trueRate*alternative/expected + (1-trueRate)*(1-alternative)/(1-expected)
	if naive <= 1 {
		t.Error("the expectation of the likelihood ratio does not exceed 1")
	}
}

func TestDispersionIsThatOfClusters(t *testing.T) {
	var even, clustered dispersion
	for i := range 200 {
		even.observe([]proportion{{5, 50}, {5 + float64(i%3) - 1, 50}})
		clustered.observe([]proportion{{0, 50}, {10, 50}})
	}
	if even.value() != 1 || clustered.value() < 5 {
		t.Errorf("%v, %v", even.value(), clustered.value())
	}
}

package canary

import "math"

// logEValue returns the logarithm of the evidence, from one sample, that the candidate's rate of bad jobs is greater
// than the reference's. candidateRate and referenceRate are the rates expected before the sample; unless candidateRate
// is the greater one, there is no evidence.
//
// It is the e-variable for two by two tables of R. Turner, A. Ly and P. Grünwald, "Generic E-variables for exact
// sequential k-sample tests that allow for optional stopping" (2021). Its exponential has an expectation of at most 1
// whenever the candidate's true rate is at most the reference's, for any rates: with n_c and n_r jobs, m the mean of
// the expected rates weighted by jobs and v = m(1-m), the expectation at one common true rate t is
//
//	(1 + (t-m)(candidateRate-m)/v)^n_c * (1 + (t-m)(referenceRate-m)/v)^n_r
//
// which is at most 1, as the weighted arithmetic mean of the factors is 1; a lower true rate of the candidate lowers
// it. The product over samples is a supermartingale: the probability that it ever exceeds 1/alpha is at most alpha
// (Ville's inequality), so it may be evaluated after every sample.
//
// Jobs fail in clusters, so the logarithm is divided by the dispersion, which is at least 1; a root of an e-value is
// again an e-value.
func logEValue(candidate, reference proportion, candidateRate, referenceRate, dispersion float64) float64 {
	if candidate.total == 0 || reference.total == 0 || candidateRate <= referenceRate {
		return 0
	}
	jobs := candidate.total + reference.total
	meanRate := (candidate.total*candidateRate + reference.total*referenceRate) / jobs
	candidateEvidence := logLikelihoodRatio(candidate, candidateRate, meanRate)
	referenceEvidence := logLikelihoodRatio(reference, referenceRate, meanRate)
	return (candidateEvidence + referenceEvidence) / math.Max(1, dispersion)
}

// logLikelihoodRatio returns the logarithm of the likelihood ratio of the counts at two rates.
func logLikelihoodRatio(counts proportion, rate, otherRate float64) float64 {
	good := counts.total - counts.bad
	return counts.bad*math.Log(rate/otherRate) + good*math.Log((1-rate)/(1-otherRate))
}

// effectSizes are the alternatives of the test: the fraction of the reference's good jobs that are bad in the
// candidate. The evidence is the mean of the e-values of all alternatives, a mixture with equal weights.
var effectSizes = [...]float64{0.01, 0.03, 0.1, 0.3, 0.8}

const (
	// referenceRetention is the factor by which earlier samples' counts decay with each sample, so that the expected
	// rate follows changes of the traffic.
	referenceRetention = 0.97
	// initialReferenceJobs is the weight of the baseline's rate before the first sample, in jobs.
	initialReferenceJobs = 100
)

// eProcess accumulates the evidence over all samples that a candidate is worse than a reference.
type eProcess struct {
	logEValues [len(effectSizes)]float64 // by effect size
	reference  proportion                // of earlier samples, with decaying weight; gives the expected rate
}

// newEProcess returns a process that initially expects the rate of the baseline. Without a baseline there is no
// evidence until the second sample.
func newEProcess(baseline proportion) eProcess {
	if baseline.total == 0 {
		return eProcess{}
	}
	rate := initialReferenceJobs * baseline.bad / baseline.total
	return eProcess{reference: proportion{bad: rate, total: initialReferenceJobs}}
}

func (e *eProcess) observe(candidate, reference proportion, dispersion float64) {
	if e.reference.total > 0 {
		expected := smoothedRate(e.reference)
		for i, effect := range effectSizes {
			alternative := expected + (1-expected)*effect
			e.logEValues[i] += logEValue(candidate, reference, alternative, expected, dispersion)
		}
	}
	e.reference = proportion{
		bad:   e.reference.bad*referenceRetention + reference.bad,
		total: e.reference.total*referenceRetention + reference.total,
	}
}

// logValue returns the logarithm of the mean of the alternatives' e-values, which is again an e-value.
func (e *eProcess) logValue() float64 {
	return logMean(e.logEValues[:])
}

// smoothedRate returns the rate of bad jobs with half a bad and half a good job added, so that it is never 0 or 1.
func smoothedRate(p proportion) float64 {
	return (p.bad + 0.5) / (p.total + 1)
}

// logMean returns the logarithm of the mean of numbers given by their logarithms, or -Inf without any.
func logMean(logs []float64) float64 {
	greatest := math.Inf(-1)
	for _, l := range logs {
		greatest = math.Max(greatest, l)
	}
	if math.IsInf(greatest, -1) {
		return greatest
	}
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - greatest)
	}
	return greatest + math.Log(sum/float64(len(logs)))
}

package canary

import "math"

// arm is what one side did in one look: so many of so many were bad. Parts of a job may stand in it (see shifted).
type arm struct{ bad, all float64 }

// shifted is the arm with a part more of its good ones counted as bad: what it would be if it were worse by that. An odds
// is an exponential of a linear form of the counts, so the mean shift never raises its expectation over drawn ones
// (Jensen), and the bound of factor holds for "worse by more than part" as it does for "worse".
func (a arm) shifted(part float64) arm { return arm{a.bad + part*(a.all-a.bad), a.all} }

// factor is the logarithm of the evidence in one look that a's rate of bad ones is over b's, for rates guessed before the
// look: guessA over guessB. Its exponential has expectation of at most 1 whenever a's rate is at most b's, whatever the
// rates are:
//
//	with m the mean of the guesses by jobs and v = m(1-m), the expectation at one common rate t is
//	(1 + (t-m)(guessA-m)/v)^na (1 + (t-m)(guessB-m)/v)^nb, which is at most 1, as its weighted arithmetic mean is 1;
//	a lower rate of a lowers it.
//
// So the product over looks may be looked at whenever one likes, and passes 1/alpha with a chance of alpha at most (Ville).
// This is the test for two by two tables of Turner, Ly and Gruenwald (Statistical Inference under optional stopping, 2021).
// Jobs come in clumps: spread, the dispersion of counts, at least 1, takes the factor to its root, which keeps the bound.
func factor(a, b arm, guessA, guessB, spread float64) float64 {
	n := a.all + b.all
	if a.all == 0 || b.all == 0 || guessA <= guessB {
		return 0
	}
	m := (a.all*guessA + b.all*guessB) / n
	part := func(x arm, guess float64) float64 {
		return x.bad*math.Log(guess/m) + (x.all-x.bad)*math.Log((1-guess)/(1-m))
	}
	return (part(a, guessA) + part(b, guessB)) / math.Max(1, spread)
}

// harms are how much worse a might be, as parts of b's good ones: an odds bets a fifth on each.
var harms = [...]float64{0.01, 0.03, 0.1, 0.3, 0.8}

// odds grow while a is worse than b.
type odds struct {
	logs [len(harms)]float64
	b    arm // of earlier looks, fading: what the next guess rests on
}

// guessFade is how much of the earlier looks' counts stays with each look: the guess follows a day that changes.
const guessFade = 0.97

// look takes one look's counts in.
func (o *odds) look(a, b arm, spread float64) {
	guess := (o.b.bad + 0.5) / (o.b.all + 1)
	if o.b.all > 0 { // without a guess nothing is bet
		for i, h := range harms {
			o.logs[i] += factor(a, b, guess+(1-guess)*h, guess, spread)
		}
	}
	o.b = arm{o.b.bad*guessFade + b.bad, o.b.all*guessFade + b.all}
}

// value is the logarithm of the mean over the harms: a mean of such odds is one too.
func (o *odds) value() float64 { return logMean(o.logs[:]) }

// logMean is the logarithm of the mean of what these are the logarithms of.
func logMean(logs []float64) float64 {
	top := math.Inf(-1)
	for _, l := range logs {
		top = math.Max(top, l)
	}
	if len(logs) == 0 || math.IsInf(top, -1) {
		return math.Inf(-1)
	}
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - top)
	}
	return top + math.Log(sum/float64(len(logs)))
}

// spread is how much wider counts are scattered between controllers at the same time than drawing each job by itself
// would scatter them (Pearson).
type spread struct {
	Sum     float64 `json:"Sum"`
	Freedom float64 `json:"Freedom"`
}

const spreadFirst, spreadWeight = 1.2, 8 // counts as so much of scatter, seen so often

// look takes in the counts of the controllers of one version in one look.
func (s *spread) look(arms []arm) {
	var all arm
	for _, a := range arms {
		all.bad, all.all = all.bad+a.bad, all.all+a.all
	}
	p := all.bad / all.all
	if !(p > 0 && p < 1) {
		return
	}
	n := 0.0
	for _, a := range arms {
		if a.all > 0 {
			d := a.bad - a.all*p
			s.Sum += d * d / (a.all * p * (1 - p))
			n++
		}
	}
	s.Freedom += math.Max(0, n-1)
}

func (s *spread) value() float64 {
	return math.Max(1, (s.Sum+spreadFirst*spreadWeight)/(s.Freedom+spreadWeight))
}

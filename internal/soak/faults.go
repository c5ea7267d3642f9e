package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a fault that is injected at a time of a run into an engine, or into a controller, its clients or its feed.
type Fault struct {
	Kind   string
	At     time.Duration
	Length time.Duration
	Target int
	Pair   string // name of the pair of kinds it was drawn with; empty: it was drawn alone

	Placement int // number of the pair in the run, the same for both faults
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs %-16s target=%d for %v %s", f.At.Seconds(), f.Kind, f.Target, f.Length, f.Pair)
}

// The kinds of faults.
const (
	faultTerm       = "controller_term"           // SIGTERM, then a new process
	faultTermStart  = "controller_term_at_start"  // SIGTERM, a new process, SIGTERM before it is ready, a third process
	faultTermPause  = "controller_term_and_pause" // SIGSTOP during a shutdown
	faultKill       = "controller_kill"           // SIGKILL, then a new process
	faultPause      = "controller_pause"          // SIGSTOP, SIGCONT
	faultMove       = "feed_moves"                // a configuration with another feed server, and several SIGHUPs
	faultFeedDown   = "feed_down"
	faultFeedSilent = "feed_silent"
	faultFeedSlow   = "feed_in_pieces"
	faultDrain      = "engine_drains" // the engine drains and is replaced later
	faultRestart    = "engine_restarts"
	faultVanish     = "engine_vanishes" // nothing is forwarded to or from the engine
	faultHang       = "engine_hangs"    // SIGSTOP, SIGCONT
	faultLongHang   = "engine_hangs_long"
	faultReset      = "engine_resets"
	faultSlow       = "engine_slow_answers"
	faultBadClient  = "bad_clients"
	faultIdleFlood  = "idle_client_flood" // idle clients that use up the descriptors

	// Only for builds with the tag fault, if Config.InjectErrors is set.
	faultDialFails   = "dials_fail"   // dial calls fail with a local error
	faultAcceptFails = "accepts_fail" // accept calls fail with a local error
	faultClockStep   = "clock_steps"
)

var (
	controllerFaults = []string{
		faultTerm, faultTermStart, faultTermPause, faultKill, faultPause, faultMove, faultFeedDown, faultFeedSilent,
		faultFeedSlow,
	}
	clientFaults   = []string{faultBadClient, faultIdleFlood} // at a controller
	engineFaults   = []string{faultDrain, faultRestart, faultVanish, faultHang, faultLongHang, faultReset, faultSlow}
	injectedFaults = []string{faultDialFails, faultAcceptFails, faultClockStep} // at a controller
)

const (
	meanFaultInterval = 600 * time.Millisecond // mean time between faults
	faultsPerGroup    = 3                      // faults that begin close together: a pair and single ones
	longHangFactor    = 3                      // lengthens a hang, so that it lasts for a whole shutdown
	settleTime        = 2 * time.Second        // before the first fault, and after the start of the last
	maxPairDelay      = time.Second            // maximum time between the starts of the two faults of a pair
	minFaultLength    = 300 * time.Millisecond
	maxFaultLength    = 2500 * time.Millisecond
)

// faultPair is a pair of kinds of faults that are injected together.
type faultPair struct{ first, second string }

// name returns the name of the pair, which is the same for both orders of the kinds.
func (p faultPair) name() string {
	return min(p.first, p.second) + "+" + max(p.first, p.second)
}

// faultPairs returns all pairs of kinds of faults, in both orders. If injects is true, they include the kinds that need
// a build with the tag fault.
func faultPairs(injects bool) (pairs []faultPair) {
	kinds := slices.Concat(controllerFaults, clientFaults, engineFaults)
	if injects {
		kinds = append(kinds, injectedFaults...)
	}
	for _, first := range kinds {
		for _, second := range kinds {
			if first != second {
				pairs = append(pairs, faultPair{first, second})
			}
		}
	}
	return pairs
}

// faultGenerator draws the faults of a run at random.
type faultGenerator struct {
	random               *rand.Rand
	controllers, engines int
	injects              bool
	pairs                []faultPair
	placements           int // pairs drawn so far
}

// DrawFaults draws the faults of a run from a seed. Faults come in groups that begin close together, so that two or
// three overlap. Each group has a pair: two kinds at the same controller, at the same engine or at one of each, the
// second at most maxPairDelay after the first. If injects is true, the kinds that need a build with the tag fault are
// drawn too.
func DrawFaults(seed uint64, length time.Duration, controllers, engines int, injects bool) []Fault {
	d := faultGenerator{random: rand.New(rand.NewPCG(seed, 0x50a4)), controllers: controllers, engines: engines,
		injects: injects, pairs: faultPairs(injects)}
	var faults []Fault
	for at := settleTime; at < length-settleTime; {
		faults = append(faults, d.placedPair(at)...)
		for range faultsPerGroup - 2 {
			at += time.Duration(d.random.Int64N(int64(200 * time.Millisecond)))
			faults = append(faults, d.single(at))
		}
		at += time.Duration(d.random.ExpFloat64() * float64(faultsPerGroup*meanFaultInterval))
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// placedPair draws a pair of faults. They have the same target if both affect controllers or both affect engines.
func (d *faultGenerator) placedPair(at time.Duration) []Fault {
	pair := d.pairs[d.random.IntN(len(d.pairs))]
	controller, engine := d.random.IntN(d.controllers), d.random.IntN(d.engines)
	d.placements++
	faults := []Fault{
		d.fault(pair.first, at, controller, engine),
		d.fault(pair.second, at+time.Duration(d.random.Int64N(int64(maxPairDelay))), controller, engine),
	}
	for i := range faults {
		faults[i].Pair = pair.name()
		faults[i].Placement = d.placements
	}
	return faults
}

// single draws a single fault.
func (d *faultGenerator) single(at time.Duration) Fault {
	var kinds []string
	switch draw := d.random.IntN(20); {
	case d.injects && draw < 6:
		kinds = injectedFaults
	case draw == 0:
		kinds = clientFaults
	case draw < 9:
		kinds = controllerFaults
	default:
		kinds = engineFaults
	}
	kind := kinds[d.random.IntN(len(kinds))]
	return d.fault(kind, at, d.random.IntN(d.controllers), d.random.IntN(d.engines))
}

// fault returns a fault of a kind with a randomly drawn length.
func (d *faultGenerator) fault(kind string, at time.Duration, controller, engine int) Fault {
	length := minFaultLength + time.Duration(d.random.Int64N(int64(maxFaultLength-minFaultLength)))
	if kind == faultLongHang {
		length *= longHangFactor
	}
	target := controller
	if slices.Contains(engineFaults, kind) {
		target = engine
	}
	return Fault{Kind: kind, At: at, Length: length, Target: target}
}

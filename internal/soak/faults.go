package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is one that begins at a time of a run, at one engine, controller or the feed.
type Fault struct {
	Kind   string
	At     time.Duration
	Length time.Duration
	Target int
	Pair   string // of the two kinds that were placed together; empty: it was drawn alone

	Placement int // the same for both faults of a pair
}

// String returns the fault as one line.
func (t Fault) String() string {
	return fmt.Sprintf("%6.2fs %-16s target=%d for %v %s", t.At.Seconds(), t.Kind, t.Target, t.Length, t.Pair)
}

// The kinds of fault.
const (
	faultTerm       = "controller_term"           // SIGTERM and a new process
	faultTermStart  = "controller_term_at_start"  // SIGTERM, a new process, SIGTERM before it is ready, another one
	faultTermPause  = "controller_term_and_pause" // SIGSTOP amid a shutdown
	faultKill       = "controller_kill"           // SIGKILL and a new process
	faultPause      = "controller_pause"          // SIGSTOP, SIGCONT
	faultMove       = "feed_moves"                // SIGHUP, several in a row
	faultFeedDown   = "feed_down"
	faultFeedSilent = "feed_silent"
	faultFeedSlow   = "feed_in_pieces"
	faultDrain      = "engine_drains" // and is removed later
	faultRestart    = "engine_restarts"
	faultVanish     = "engine_vanishes" // nothing passes
	faultHang       = "engine_hangs"    // SIGSTOP, SIGCONT
	faultLongHang   = "engine_hangs_long"
	faultReset      = "engine_resets"
	faultSlow       = "engine_slow_answers"
	faultBadClient  = "bad_clients"
	faultIdleFlood  = "idle_client_flood" // idle clients that fill the descriptors

	// For builds with the tag fault, which Config.InjectErrors says.
	faultDialFails   = "dials_fail"   // with an error of the machine's own
	faultAcceptFails = "accepts_fail" // likewise
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
	faultEvery     = 600 * time.Millisecond // mean, from one to the next
	overlap        = 3                      // begin close to one another
	longHangFactor = 3                      // through the whole of a shutdown
	settleTime     = 2 * time.Second        // before the first, and after the last begins
	pairWithin     = time.Second            // the second of a placed pair begins so long into the first, at most
	minLength      = 300 * time.Millisecond // of a fault
	maxLength      = 2500 * time.Millisecond
)

// faultPair is two kinds of fault that are placed together.
type faultPair struct{ first, second string }

// name is the same for both orders of the kinds.
func (p faultPair) name() string {
	return min(p.first, p.second) + "+" + max(p.first, p.second)
}

// faultPairs are all two kinds of fault, in both orders. injects says that those are among them that need a build
// with the tag fault.
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

// faultDraw draws the faults of a run.
type faultDraw struct {
	random               *rand.Rand
	controllers, engines int
	injects              bool
	pairs                []faultPair
	placements           int // so far
}

// DrawFaults draws the faults of a run from a seed: groups of some that begin within a moment, so that two or three
// overlap. Each group has a placed pair: two kinds at one controller, at one engine or at one of each, the second
// within a second of the first. injects says that those are drawn too that need a build with the tag fault.
func DrawFaults(seed uint64, length time.Duration, controllers, engines int, injects bool) []Fault {
	d := faultDraw{random: rand.New(rand.NewPCG(seed, 0x50a4)), controllers: controllers, engines: engines,
		injects: injects, pairs: faultPairs(injects)}
	var faults []Fault
	for at := settleTime; at < length-settleTime; {
		faults = append(faults, d.placedPair(at)...)
		for range overlap - 2 {
			at += time.Duration(d.random.Int64N(int64(200 * time.Millisecond)))
			faults = append(faults, d.single(at))
		}
		at += time.Duration(d.random.ExpFloat64() * float64(overlap*faultEvery))
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// placedPair draws two faults whose targets are the same where they are of one sort.
func (d *faultDraw) placedPair(at time.Duration) []Fault {
	pair := d.pairs[d.random.IntN(len(d.pairs))]
	controller, engine := d.random.IntN(d.controllers), d.random.IntN(d.engines)
	d.placements++
	faults := []Fault{
		d.fault(pair.first, at, controller, engine),
		d.fault(pair.second, at+time.Duration(d.random.Int64N(int64(pairWithin))), controller, engine),
	}
	for i := range faults {
		faults[i].Pair = pair.name()
		faults[i].Placement = d.placements
	}
	return faults
}

// single draws one fault.
func (d *faultDraw) single(at time.Duration) Fault {
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

// fault makes a fault of a kind, with a drawn length.
func (d *faultDraw) fault(kind string, at time.Duration, controller, engine int) Fault {
	length := minLength + time.Duration(d.random.Int64N(int64(maxLength-minLength)))
	if kind == faultLongHang {
		length *= longHangFactor
	}
	target := controller
	if slices.Contains(engineFaults, kind) {
		target = engine
	}
	return Fault{Kind: kind, At: at, Length: length, Target: target}
}

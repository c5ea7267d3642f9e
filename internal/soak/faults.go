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
}

// String returns the fault as one line.
func (t Fault) String() string {
	return fmt.Sprintf("%6.2fs %-16s target=%d for %v", t.At.Seconds(), t.Kind, t.Target, t.Length)
}

// The kinds of fault.
const (
	faultTerm       = "controller_term"           // SIGTERM and a new process
	faultTermPause  = "controller_term_and_pause" // SIGSTOP amid a shutdown
	faultKill       = "controller_kill"           // SIGKILL and a new process
	faultPause      = "controller_pause"          // SIGSTOP, SIGCONT
	faultMove       = "feed_moves"                // SIGHUP, twice in a row
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

	// For builds with the tag fault, which Config.InjectErrors says.
	faultDialFails   = "dials_fail"   // with an error of the machine's own
	faultAcceptFails = "accepts_fail" // likewise
	faultClockStep   = "clock_steps"
)

var (
	controllerFaults = []string{
		faultTerm, faultTermPause, faultKill, faultPause, faultMove, faultFeedDown, faultFeedSilent, faultFeedSlow,
	}
	engineFaults = []string{faultDrain, faultRestart, faultVanish, faultHang, faultLongHang, faultReset, faultSlow}
)

const (
	faultEvery     = 600 * time.Millisecond // mean, from one to the next
	overlap        = 3                      // begin close to one another
	longHangFactor = 3                      // through the whole of a shutdown
	settleTime     = 2 * time.Second        // before the first, and after the last begins
)

var injectedFaults = []string{faultDialFails, faultAcceptFails, faultClockStep}

// DrawFaults draws the faults of a run from a seed: groups of some that begin within a moment, so that two or three
// overlap. injects says that those are drawn too that need a build with the tag fault.
func DrawFaults(seed uint64, length time.Duration, controllers, engines int, injects bool) []Fault {
	random := rand.New(rand.NewPCG(seed, 0x50a4))
	var faults []Fault
	for at := settleTime; at < length-settleTime; {
		for range overlap {
			faults = append(faults, drawFault(random, at, controllers, engines, injects))
			at += time.Duration(random.Int64N(int64(200 * time.Millisecond)))
		}
		at += time.Duration(random.ExpFloat64() * float64(overlap*faultEvery))
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

func drawFault(random *rand.Rand, at time.Duration, controllers, engines int, injects bool) Fault {
	t := Fault{At: at, Length: time.Duration(300+random.IntN(2200)) * time.Millisecond}
	switch draw := random.IntN(20); {
	case injects && draw < 6:
		t.Kind = injectedFaults[random.IntN(len(injectedFaults))]
		t.Target = random.IntN(controllers)
	case draw == 0:
		t.Kind = faultBadClient
		t.Target = random.IntN(controllers)
	case draw < 9:
		t.Kind = controllerFaults[random.IntN(len(controllerFaults))]
		t.Target = random.IntN(controllers)
	default:
		t.Kind = engineFaults[random.IntN(len(engineFaults))]
		t.Target = random.IntN(engines)
		if t.Kind == faultLongHang {
			t.Length *= longHangFactor
		}
	}
	return t
}

package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Trouble is one that begins at a time of a run, at one engine, controller or the feed.
type Trouble struct {
	Kind   string
	At     time.Duration
	Length time.Duration
	Target int
}

// String returns the trouble as one line.
func (t Trouble) String() string {
	return fmt.Sprintf("%6.2fs %-16s target=%d for %v", t.At.Seconds(), t.Kind, t.Target, t.Length)
}

// The kinds of trouble.
const (
	troubleTerm       = "controller_term"  // SIGTERM and a new process
	troubleKill       = "controller_kill"  // SIGKILL and a new process
	troublePause      = "controller_pause" // SIGSTOP, SIGCONT
	troubleMove       = "feed_moves"       // SIGHUP, twice in a row
	troubleFeedDown   = "feed_down"
	troubleFeedSilent = "feed_silent"
	troubleFeedSlow   = "feed_in_pieces"
	troubleDrain      = "engine_drains" // and is removed later
	troubleRestart    = "engine_restarts"
	troubleVanish     = "engine_vanishes" // nothing passes
	troubleHang       = "engine_hangs"    // SIGSTOP, SIGCONT
	troubleReset      = "engine_resets"
	troubleSlow       = "engine_slow_answers"
	troubleBadClient  = "bad_clients"

	// For builds with the tag fault, which Config.Faults says.
	troubleDialFails   = "dials_fail"   // with an error of the machine's own
	troubleAcceptFails = "accepts_fail" // likewise
	troubleClockStep   = "clock_steps"
)

var (
	controllerTroubles = []string{troubleTerm, troubleKill, troublePause, troubleMove, troubleFeedDown, troubleFeedSilent,
		troubleFeedSlow}
	engineTroubles = []string{troubleDrain, troubleRestart, troubleVanish, troubleHang, troubleReset, troubleSlow}
)

const (
	troubleEvery = 600 * time.Millisecond // mean, from one to the next
	overlap      = 3                      // begin close to one another
	settleTime   = 2 * time.Second        // before the first, and after the last begins
)

var faultTroubles = []string{troubleDialFails, troubleAcceptFails, troubleClockStep}

// DrawTroubles draws the troubles of a run from a seed: groups of some that begin within a moment, so that two or three
// overlap. faults says that those are drawn too that need a build with the tag fault.
func DrawTroubles(seed uint64, length time.Duration, controllers, engines int, faults bool) []Trouble {
	random := rand.New(rand.NewPCG(seed, 0x50a4))
	var troubles []Trouble
	for at := settleTime; at < length-settleTime; {
		for range overlap {
			troubles = append(troubles, drawTrouble(random, at, controllers, engines, faults))
			at += time.Duration(random.Int64N(int64(200 * time.Millisecond)))
		}
		at += time.Duration(random.ExpFloat64() * float64(overlap*troubleEvery))
	}
	slices.SortStableFunc(troubles, func(a, b Trouble) int { return int(a.At - b.At) })
	return troubles
}

func drawTrouble(random *rand.Rand, at time.Duration, controllers, engines int, faults bool) Trouble {
	t := Trouble{At: at, Length: time.Duration(300+random.IntN(2200)) * time.Millisecond}
	switch draw := random.IntN(20); {
	case faults && draw < 6:
		t.Kind = faultTroubles[random.IntN(len(faultTroubles))]
		t.Target = random.IntN(controllers)
	case draw == 0:
		t.Kind = troubleBadClient
		t.Target = random.IntN(controllers)
	case draw < 9:
		t.Kind = controllerTroubles[random.IntN(len(controllerTroubles))]
		t.Target = random.IntN(controllers)
	default:
		t.Kind = engineTroubles[random.IntN(len(engineTroubles))]
		t.Target = random.IntN(engines)
	}
	return t
}

package store_test

import (
	"errors"
	"flag"
	"math/rand/v2"
	"testing"

	"swiftreel/internal/faultdisk"
	"swiftreel/internal/store"
)

var seeds = flag.Int("seeds", 6, "of work that is cut at each of its calls")

func TestACrashAtAnyCallLosesNothingThatWasAcknowledged(t *testing.T) {
	crashes := 0
	for seed := range uint64(*seeds) {
		for at := 1; ; at++ {
			r := rand.New(rand.NewPCG(seed, uint64(at)))
			work := rand.New(rand.NewPCG(seed, 1)) // the same work, cut at each of its calls
			d, h := faultdisk.New(), &history{}
			d.CrashAfterCalls = at
			log, err := h.open(d)
			if err == nil {
				err = h.write(log, work, 25)
			}
			if err == nil {
				break // it lived to its end
			}
			crashes++
			if !errors.Is(err, faultdisk.ErrCrashed) {
				t.Fatalf("seed %d, call %d: %v", seed, at, err)
			}
			d = d.Crash(r)
			if r.IntN(2) == 0 { // a second one while it recovers
				d.CrashAfterCalls = 1 + r.IntN(8)
				if _, err = h.open(d); err != nil && !errors.Is(err, faultdisk.ErrCrashed) {
					t.Fatalf("seed %d, call %d, recovering: %v", seed, at, err)
				}
				d = d.Crash(r)
			}
			if log, err = h.open(d); err != nil {
				t.Fatalf("seed %d, call %d: %v", seed, at, err)
			}
			if err := h.write(log, r, 3); err != nil {
				t.Fatalf("seed %d, call %d, afterwards: %v", seed, at, err)
			}
			if _, err := h.open(d.Crash(r)); err != nil {
				t.Fatalf("seed %d, call %d, at the end: %v", seed, at, err)
			}
		}
	}
	if crashes < 300 {
		t.Errorf("only %d crashes", crashes)
	}
	t.Logf("%d crashes", crashes)
}

// Calls that fail: the log ends at once, and is opened again from what the disk holds.
func TestADiskThatFailsIsNotTrustedAgain(t *testing.T) {
	fails := 0
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 7))
		d, h := faultdisk.New(), &history{}
		log, err := h.open(d)
		if err != nil {
			t.Fatal(err)
		}
		at := d.Calls + 1 + r.IntN(60)
		d.Fail = func(call int, op faultdisk.Operation) error {
			if call == at {
				return []error{faultdisk.ErrDiskFull, errors.New("input/output error")}[r.IntN(2)]
			}
			return nil
		}
		err = h.write(log, r, 40)
		if err == nil {
			continue
		}
		fails++
		if _, again := log.Append([]store.Record{{Kind: 1}}); again == nil {
			t.Fatalf("seed %d: it goes on after %v", seed, err)
		}
		d.Fail = nil
		if r.IntN(2) == 0 {
			d = d.Crash(r)
		}
		if log, err = h.open(d); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if err := h.write(log, r, 5); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if _, err := h.open(d.Crash(r)); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	if fails < 150 {
		t.Errorf("only %d failures", fails)
	}
}

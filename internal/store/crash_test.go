package store_test

import (
	"errors"
	"flag"
	"math/rand/v2"
	"testing"

	"swiftreel/internal/faultdisk"
	"swiftreel/internal/store"
)

var seeds = flag.Int("seeds", 6, "number of workloads, each of which is crashed at every disk call")

func TestACrashAtAnyCallLosesNothingThatWasAcknowledged(t *testing.T) {
	crashes := 0
	for seed := range uint64(*seeds) {
		for crashCall := 1; ; crashCall++ {
			r := rand.New(rand.NewPCG(seed, uint64(crashCall)))
			workload := rand.New(rand.NewPCG(seed, 1)) // the same for each crash point
			d, h := faultdisk.New(), &history{}
			d.CrashAfterCalls = crashCall
			log, err := h.open(d)
			if err == nil {
				err = h.write(log, workload, 25)
			}
			if err == nil {
				break // completed without a crash
			}
			crashes++
			if !errors.Is(err, faultdisk.ErrCrashed) {
				t.Fatalf("seed %d, call %d: %v", seed, crashCall, err)
			}
			d = d.Crash(r)
			if r.IntN(2) == 0 { // crash again during recovery
				d.CrashAfterCalls = 1 + r.IntN(8)
				if _, err = h.open(d); err != nil && !errors.Is(err, faultdisk.ErrCrashed) {
					t.Fatalf("seed %d, call %d, during recovery: %v", seed, crashCall, err)
				}
				d = d.Crash(r)
			}
			if log, err = h.open(d); err != nil {
				t.Fatalf("seed %d, call %d: %v", seed, crashCall, err)
			}
			if err := h.write(log, r, 3); err != nil {
				t.Fatalf("seed %d, call %d, writing after recovery: %v", seed, crashCall, err)
			}
			if _, err := h.open(d.Crash(r)); err != nil {
				t.Fatalf("seed %d, call %d, after the last crash: %v", seed, crashCall, err)
			}
		}
	}
	if crashes < 300 {
		t.Errorf("only %d crashes", crashes)
	}
	t.Logf("%d crashes", crashes)
}

// A failed disk call may have lost data, so the log must accept nothing after it. Reopened from what the disk holds, it
// must replay all acknowledged entries.
func TestLogRefusesCallsAfterADiskError(t *testing.T) {
	failures := 0
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 7))
		d, h := faultdisk.New(), &history{}
		log, err := h.open(d)
		if err != nil {
			t.Fatal(err)
		}
		failingCall := d.Calls + 1 + r.IntN(60)
		d.Fail = func(call int, op faultdisk.Operation) error {
			if call == failingCall {
				return []error{faultdisk.ErrDiskFull, errors.New("input/output error")}[r.IntN(2)]
			}
			return nil
		}
		err = h.write(log, r, 40)
		if err == nil {
			continue
		}
		failures++
		if _, again := log.Append([]store.Record{{Kind: 1}}); again == nil {
			t.Fatalf("seed %d: Append succeeds after %v", seed, err)
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
	if failures < 150 {
		t.Errorf("only %d workloads failed", failures)
	}
}

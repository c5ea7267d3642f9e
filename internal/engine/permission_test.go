package engine_test

import (
	"sync/atomic"
	"testing"
	"time"

	"swiftreel/internal/backend"
)

// stallingGate gives permissions that have expired by the time the first byte would go out, so many times.
type stallingGate struct{ stalls *atomic.Int64 }

func (g stallingGate) Permit() backend.Permission {
	granted := backend.Permission{Granted: true, TimeoutMS: 1000, ExpiresAt: time.Now().Add(time.Minute)}
	if g.stalls.Add(-1) >= 0 {
		granted.ExpiresAt = time.Now().Add(-time.Millisecond)
	}
	return granted
}
func (stallingGate) Withdraw() {}
func (stallingGate) Await()    {}

// The process is stopped between the permission and the first byte: what was permitted before the stall is not sent, it
// is asked for anew. The soak showed a call that reached an engine 818 ms after it was listed as draining, at a wake-up
// beside a load of 32 (drains placed in pauses, seed 8001), with the list read before each permission.
func TestAPermissionThatHasExpiredIsAskedForAgain(t *testing.T) {
	for name, c := range map[string]struct {
		stalls int64
		isSent bool
	}{
		"once":       {1, true},
		"twice":      {2, true},
		"time again": {100, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, nil)
			gate := stallingGate{stalls: new(atomic.Int64)}
			gate.stalls.Store(c.stalls)
			request := backend.Request{ID: []byte("a"), Type: []byte("report"), OrderedAt: time.Now(), Gate: gate}
			b.pool.Start(b.host, request, func(r backend.Reply) { b.replies <- r })
			if !c.isSent {
				b.expectOutcome(backend.Superseded)
				return
			}
			b.nextCommand("fetch").from.Answer("a", "full", "", "")
			b.expectOutcome(backend.Full)
			if left := gate.stalls.Load(); left != -1 {
				t.Errorf("%d permissions more than it takes were asked for", -1-left)
			}
		})
	}
}

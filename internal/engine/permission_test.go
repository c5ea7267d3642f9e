package engine_test

import (
	"sync/atomic"
	"testing"
	"time"

	"swiftreel/internal/backend"
)

// stallingGate grants permissions that expire before the first byte can be sent, as often as stalls says.
type stallingGate struct{ stalls *atomic.Int64 }

func (g stallingGate) Permit() backend.Permission {
	granted := backend.Permission{Granted: true, TimeoutMS: 1000, ExpiresAt: time.Now().Add(time.Minute)}
	if g.stalls.Add(-1) >= 0 {
		granted.ExpiresAt = time.Now().Add(-time.Millisecond)
	}
	return granted
}
func (stallingGate) Withdraw()          {}
func (stallingGate) AwaitPendingInput() {}

// The process is stopped between the permission and the first byte. The dispatch is not sent with the expired
// permission, but requests a new one. In a soak run with drains placed in pauses (seed 8001), a call reached an engine
// 818 ms after it was listed as draining, as the process resumed under a load of 32, although the list was read before
// each permission.
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
			request := backend.Request{ID: []byte("a"), Type: []byte("report"), DecidedAt: time.Now(), Gate: gate}
			b.pool.Start(b.host, request, func(r backend.Reply) { b.replies <- r })
			if !c.isSent {
				b.expectOutcome(backend.Superseded)
				return
			}
			b.nextCommand("fetch").from.Answer("a", "full", "", "")
			b.expectOutcome(backend.Full)
			if left := gate.stalls.Load(); left != -1 {
				t.Errorf("%d permissions more than needed were requested", -1-left)
			}
		})
	}
}

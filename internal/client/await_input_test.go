package client

import (
	"testing"
	"time"

	"swiftreel/internal/counters"
)

const longLimit = 20 * time.Second

// The reader is held up, as by a stall: a revocation lies unread. A send waits for it, no longer than its limit, and
// sees then that the client does not wait any more.
func TestARevocationThatLiesUnreadIsAwaited(t *testing.T) {
	s := newTestServer(t, 6)
	s.jobs.blocked = make(chan struct{})
	close(s.door.open)
	conn := s.dial()
	conn.Write(callOf(1, "SELECT 1 FROM a_1.b"))
	call := s.jobs.nextRequest(t).Client
	conn.Write(AppendRevoke(nil, 1))
	s.until("nothing lies unread", s.server.HasPendingInput)
	const limit = 50 * time.Millisecond
	startedAt := time.Now()
	call.AwaitInput(limit)
	if waited := time.Since(startedAt); waited < limit {
		t.Errorf("waited %v for what is not read", waited)
	}
	if !call.Connected() {
		t.Error("the revocation is read, it shows nothing")
	}
	close(s.jobs.blocked)
	call.AwaitInput(longLimit)
	if call.Connected() {
		t.Error("the client has revoked its call, and counts as waiting for it")
	}
}

// A client that takes long over its next message holds up nothing: half of it is read.
func TestHalfAMessageIsNotAwaited(t *testing.T) {
	s := newTestServer(t, 6)
	close(s.door.open)
	conn := s.dial()
	next := callOf(2, "SELECT 2")
	conn.Write(append(callOf(1, "SELECT 1 FROM a_1.b"), next[:len(next)/2]...))
	call := s.jobs.nextRequest(t).Client
	startedAt := time.Now()
	call.AwaitInput(longLimit)
	if waited := time.Since(startedAt); waited > longLimit/2 {
		t.Errorf("waited %v for a client that sends nothing", waited)
	}
	conn.Write(next[len(next)/2:])
	s.jobs.nextRequest(t)
}

// What a client sends behind a message that cannot be used holds up nothing either, whether it is read or not.
func TestWhatIsNoMessageIsNotAwaited(t *testing.T) {
	for name, input := range map[string][]byte{
		"messages can be told apart": {codeFixArray | 1, typeAnswer},
		"they cannot":                append([]byte{0xc1}, make([]byte, 4*firstBufferSize)...),
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, 6)
			close(s.door.open)
			conn := s.dial()
			conn.Write(callOf(1, "SELECT 1 FROM a_1.b"))
			call := s.jobs.nextRequest(t).Client
			before := unreadableInputs()
			conn.Write(input)
			s.until("the input is not found unreadable", func() bool { return unreadableInputs() > before })
			startedAt := time.Now()
			call.AwaitInput(longLimit)
			if waited := time.Since(startedAt); waited > longLimit/2 {
				t.Errorf("waited %v", waited)
			}
		})
	}
}

// A client that does not look does not hold up the end of the process: its connection is half-closed, and closed once
// the time for that is over.
func TestTheEndDoesNotWaitForClientsThatDoNotLook(t *testing.T) {
	s := newTestServer(t, 6)
	close(s.door.open)
	conn := s.dial()
	conn.Write(AppendHeartbeat(nil, 1))
	s.until("the heartbeat is not read", func() bool { return s.server.idleNow() == 1 })
	before := counters.Value("client_conns_closed_lingering")
	s.server.CloseWithin(lingerTime / 6)
	if counters.Value("client_conns_closed_lingering") == before {
		t.Error("it was waited for the client")
	}
	s.server.done = make(chan struct{}) // it is closed once more with the test
}

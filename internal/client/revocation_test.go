package client

import (
	"testing"

	"swiftreel/internal/counters"
)

// What cannot be read takes nothing from the calls before it, neither their answers nor their revocations: a client
// that gives up a call behind it has gone, and nothing may be sent for it any more.
func TestACallIsRevokedBehindWhatCannotBeRead(t *testing.T) {
	for name, input := range map[string][]byte{
		"half a message, and then nothing": callOf(2, "SELECT 2")[:9],
		"an id that is still open":         callOf(1, "SELECT 2"),
		"another kind of message":          {codeFixArray | 1, typeAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, 6)
			close(s.door.open)
			conn := s.dial()
			conn.Write(callOf(1, "SELECT 1 FROM a_1.b"))
			open := s.jobs.nextRequest(t)
			left := make(chan struct{})
			open.Client.OnDisconnect(func() { close(left) })
			before := unreadableInputs()
			conn.Write(input)
			s.until("the input is not found unreadable", func() bool { return unreadableInputs() > before })
			if len(input) == 9 {
				conn.Write(callOf(2, "SELECT 2")[9:])
			}
			conn.Write(AppendRevoke(nil, 1))
			s.until("the revocation is not read", func() bool {
				select {
				case <-left:
					return true
				default:
					return false
				}
			})
		})
	}
}

// unreadableInputs counts messages that could not be read, and those that took too long.
func unreadableInputs() uint64 {
	return counters.Value("client_errors") + counters.Value("partial_messages_awaited")
}

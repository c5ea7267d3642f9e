package client

import (
	"testing"

	"swiftreel/internal/counters"
)

// Input that cannot be read must affect neither the answers nor the revocations of earlier calls. A client that revokes
// a call afterwards no longer waits for it, and nothing more may be sent to an engine for it.
func TestACallIsRevokedBehindWhatCannotBeRead(t *testing.T) {
	for name, input := range map[string][]byte{
		"partial message":          encodeCall(2, "SELECT 2")[:9],
		"an id that is still open": encodeCall(1, "SELECT 2"),
		"another kind of message":  {codeFixArray | 1, typeAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, 6)
			close(s.listener.open)
			conn := s.dial()
			conn.Write(encodeCall(1, "SELECT 1 FROM a_1.b"))
			open := s.jobs.nextRequest(t)
			left := make(chan struct{})
			open.Client.OnDisconnect(func() { close(left) })
			before := unreadableInputs()
			conn.Write(input)
			s.waitUntil("the input is not detected as unreadable", func() bool { return unreadableInputs() > before })
			if len(input) == 9 {
				conn.Write(encodeCall(2, "SELECT 2")[9:])
			}
			conn.Write(AppendRevoke(nil, 1))
			s.waitUntil("the revocation is not read", func() bool {
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

// unreadableInputs counts the messages that could not be read and those that were not completed in time.
func unreadableInputs() uint64 {
	return counters.Value("client_errors") + counters.Value("partial_messages_awaited")
}

package client

import (
	"errors"
	"io"
	"testing"
	"time"

	"swiftreel/internal/counters"
)

// Whatever ends the reading of a connection, the calls that were taken on it before are owed their answers: they are
// given, and only then does the connection end.
func TestOpenCallsAreAnsweredAfterInputEnds(t *testing.T) {
	for name, input := range map[string][]byte{
		"half a message, and then nothing": callOf(2, "SELECT 2")[:9],
		"bytes of another protocol":        {0xc1},
		"an id that is still open":         callOf(1, "SELECT 2"),
		"no memory left for a message":     callOf(2, string(make([]byte, 2*firstBufferSize))), // the server has none
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, 6)
			close(s.door.open)
			conn := s.dial()
			conn.Write(callOf(1, "SELECT 1 FROM a_1.b"))
			open := s.jobs.nextRequest(t)
			ended := counters.Value("client_errors")
			conn.Write(input)
			s.until("the reading does not end", func() bool { return counters.Value("client_errors") > ended })
			if !open.Client.Connected() {
				t.Error("its client counts as gone")
			}
			open.Client.Done([][]byte{[]byte("a\tb\tc\n")})
			answers := readAnswersUntilEnd(t, conn)
			if answer, answered := answers[1]; !answered || answer.Error != "" || string(answer.Body) != "a\tb\tc\n" {
				t.Errorf("the open call is answered %+v, answered: %v", answer, answered)
			}
			s.until("answers stay owed", func() bool { return s.server.OwedAnswers() == 0 })
		})
	}
}

// readAnswersUntilEnd reads answers, by id, until the server has closed its side of the connection in order.
func readAnswersUntilEnd(t *testing.T, conn io.Reader) map[uint32]Answer {
	t.Helper()
	if deadlined, ok := conn.(interface{ SetReadDeadline(time.Time) error }); ok {
		_ = deadlined.SetReadDeadline(time.Now().Add(20 * time.Second)) // an error shows at the read
	}
	text, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("the connection does not end in order: %v", err)
	}
	answers := map[uint32]Answer{}
	for len(text) > 0 {
		answer, size, err := ParseAnswer(text)
		if errors.Is(err, ErrIncomplete) {
			t.Fatalf("a cut answer: %q", text)
		}
		if err != nil {
			t.Fatal(err)
		}
		if _, twice := answers[answer.ID]; twice {
			t.Errorf("id %d is answered twice", answer.ID)
		}
		answers[answer.ID] = answer
		text = text[size:]
	}
	return answers
}

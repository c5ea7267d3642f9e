package client

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/gateway"
)

// Whatever ends the reading of a connection, the calls that were taken on it before are owed their answers: they are
// given, and only then does the connection end.
func TestOpenCallsAreAnsweredAfterInputEnds(t *testing.T) {
	for name, input := range map[string][]byte{
		"half a message, and then nothing": callOf(2, "SELECT 2")[:9],
		"bytes of another protocol":        {0xc1},
		"an id that is still open":         callOf(1, "SELECT 2"),
		"no memory left for a message":     callWithLongFields(2), // the server has none
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, 6)
			close(s.door.open)
			conn := s.dial()
			conn.Write(callOf(1, "SELECT 1 FROM a_1.b"))
			open := s.jobs.nextRequest(t)
			before := unreadableInputs()
			conn.Write(input)
			s.until("the input is not found unreadable", func() bool { return unreadableInputs() > before })
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

// A request has the id of a call that is open as it is read, and that is answered before the connection gets to say so:
// the id has one answer.
func TestAnIDThatWasUsedTwiceHasOneAnswer(t *testing.T) {
	s := newTestServer(t, 6)
	c := &conn{server: s.server, open: map[uint32]*call{}}
	opened := &call{conn: c, id: 1}
	if c.openCall(opened) != callOpened {
		t.Fatal("not opened")
	}
	c.buffer = callOf(1, "SELECT 2")
	c.end = len(c.buffer)
	reason := c.handleMessages(time.Now())
	if reason == nil || !c.settle(opened, 0) {
		t.Fatalf("%v", reason)
	}
	s.server.owedAnswers.Add(-1)
	c.answerUnreadable(reason)
	if len(c.replies) > 0 || c.isWritingReplies {
		t.Errorf("a second answer: %q", c.replies)
	}
}

// callWithLongFields is a call of which a first buffer does not tell where it ends.
func callWithLongFields(id uint32) []byte {
	fields := []string{"call", fmt.Sprintf("%016x", id), "ttl", "20000"}
	for i := range 60 {
		fields = append(fields, fmt.Sprint("unknown", i), strings.Repeat("x", 200))
	}
	return AppendCall(nil, id, "lookup", fields, []byte("SELECT 1 FROM a_1.b"))
}

// A call and behind it, in one write, a message for which no memory is left and of which it is not known where it ends:
// the call was read, so it is taken.
func TestACallBeforeAMessageWithoutMemoryIsTaken(t *testing.T) {
	s := newTestServer(t, 6)
	close(s.door.open)
	conn := s.dial()
	conn.Write(append(callOf(1, "SELECT 1 FROM a_1.b"), callWithLongFields(2)...))
	s.jobs.nextRequest(t).Client.Done([][]byte{[]byte("a\tb\tc\n")})
	answers := readAnswersUntilEnd(t, conn)
	if string(answers[1].Body) != "a\tb\tc\n" || answers[2].Error == "" {
		t.Errorf("answered %+v", answers)
	}
}

// Other clients have used the memory for long messages. A call before such a message and one behind it, in one write,
// are taken as ever, and the message itself is refused.
func TestCallsAroundAMessageWithoutMemoryAreTaken(t *testing.T) {
	s := newTestServer(t, 6)
	close(s.door.open)
	conn := s.dial()
	text := callOf(1, "SELECT 1 FROM a_1.b")
	text = append(text, callOf(2, string(make([]byte, 9*firstBufferSize)))...)
	text = append(text, callOf(3, "SELECT 3 FROM a_1.b")...)
	conn.Write(text)
	first := s.jobs.nextRequest(t)
	if answer := readAnswer(t, conn); answer.ID != 2 || answer.Error != errorThrottled {
		t.Errorf("the long one is answered %+v", answer)
	}
	third := s.jobs.nextRequest(t)
	if string(first.ID) != fmt.Sprintf("%016x", 1) || string(third.ID) != fmt.Sprintf("%016x", 3) {
		t.Errorf("taken: %s, %s", first.ID, third.ID)
	}
	for id, request := range map[uint32]gateway.Request{1: first, 3: third} {
		request.Client.Done([][]byte{[]byte("a\tb\tc\n")})
		if answer := readAnswer(t, conn); answer.ID != id || answer.Error != "" {
			t.Errorf("%d is answered %+v", id, answer)
		}
	}
	if !answersHeartbeat(conn) {
		t.Error("the connection does not go on")
	}
}

// The end of a message without memory comes in pieces, and its client leaves out the last: the connection ends.
func TestAMessageWithoutMemoryThatNeverEnds(t *testing.T) {
	s := newTestServer(t, 6)
	close(s.door.open)
	conn := s.dial()
	long := callOf(2, string(make([]byte, 3*firstBufferSize)))
	conn.Write(long[:len(long)-1])
	answers := readAnswersUntilEnd(t, conn)
	if len(answers) != 1 || answers[2].Error != errorThrottled {
		t.Errorf("answered %+v", answers)
	}
}

// A request behind a message that cannot be used is answered, while calls from before are open.
func TestARequestBehindAnUnusableMessageIsAnswered(t *testing.T) {
	s := newTestServer(t, 6)
	close(s.door.open)
	conn := s.dial()
	conn.Write(callOf(1, "SELECT 1 FROM a_1.b"))
	open := s.jobs.nextRequest(t)
	conn.Write(append([]byte{codeFixArray | 1, typeAnswer}, callOf(2, "SELECT 2 FROM a_1.b")...))
	if answer := readAnswer(t, conn); answer.ID != 2 || answer.Error != errorFailed {
		t.Errorf("answered %+v", answer)
	}
	open.Client.Done([][]byte{[]byte("a\tb\tc\n")})
	if answers := readAnswersUntilEnd(t, conn); string(answers[1].Body) != "a\tb\tc\n" {
		t.Errorf("answered %+v", answers)
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

// A client writes its first message in pieces while newcomers need room: idle connections make way, and its call is
// taken once the rest has come.
func TestAHalfReadMessageIsNotEvicted(t *testing.T) {
	const maxConns = 20 // one silent connection is no flood among so many
	s := newTestServer(t, maxConns)
	close(s.door.open)
	slow := s.dial()
	call := callOf(1, "SELECT 1 FROM a_1.b")
	slow.Write(call[:9])
	s.until("the first piece is not read", func() bool { return s.server.midMessageCount() == 1 })
	for range 2 * maxConns { // over a time in which a silent connection would have had its moment
		if newcomer := s.dial(); !answersHeartbeat(newcomer) {
			t.Fatal("a newcomer does not get in")
		}
		time.Sleep(minSilentAge / maxConns)
	}
	slow.Write(call[9:])
	open := s.jobs.nextRequest(t)
	open.Client.Throttled(0)
	if answer := readAnswer(t, slow); answer.ID != 1 || answer.Error != errorThrottled {
		t.Errorf("answered %+v", answer)
	}
}

// Clients that never end their first message fill the place: they make way once they took long over it.
func TestMessagesThatNeverEndDoNotFillThePlace(t *testing.T) {
	s := newTestServer(t, 3)
	close(s.door.open)
	for range 3 {
		s.dial().Write(callOf(1, "SELECT 1")[:9])
	}
	s.until("the pieces are not read", func() bool { return s.server.midMessageCount() == 3 })
	if !answersHeartbeat(s.dial()) {
		t.Error("a newcomer does not get in")
	}
	if counters.Value("partial_messages_evicted") == 0 {
		t.Error("none was evicted")
	}
}

// A call is taken between the last look of whoever shuts down and the close, and its answer takes a moment: it arrives.
func TestACallTakenJustBeforeTheCloseIsAnswered(t *testing.T) {
	s := newTestServer(t, 6)
	close(s.door.open)
	conn := s.dial()
	conn.Write(callOf(1, "SELECT 1 FROM a_1.b"))
	open := s.jobs.nextRequest(t)
	closed := make(chan struct{})
	go func() {
		s.server.Close()
		close(closed)
	}()
	s.until("not closing", func() bool {
		s.server.mu.Lock()
		defer s.server.mu.Unlock()
		return s.server.isClosed
	})
	open.Client.Done([][]byte{[]byte("a\tb\tc\n")})
	if answers := readAnswersUntilEnd(t, conn); string(answers[1].Body) != "a\tb\tc\n" {
		t.Errorf("answered %+v", answers)
	}
	<-closed
	s.server = NewServer(s.jobs, s.server.limits) // for the clean-up to close
}

// A connection that the listener has handed out waits for room: it counts as input that is pending, or a shutdown
// would close it unread.
func TestAConnectionThatWaitsForRoomIsPending(t *testing.T) {
	s := newTestServer(t, 1)
	close(s.door.open)
	busy := s.dial()
	busy.Write(callOf(1, "SELECT 1 FROM a_1.b"))
	open := s.jobs.nextRequest(t)
	waiting := s.dial()
	waiting.Write(callOf(2, "SELECT 2 FROM a_1.b"))
	s.until("it is not accepted", s.server.isAdmitting.Load)
	if !s.server.HasPendingInput() {
		t.Error("it does not count as pending")
	}
	s.server.RefuseCalls() // the shutdown goes on, and there is still no room
	if answer := readAnswer(t, waiting); answer.ID != 2 || answer.Error != errorThrottled {
		t.Errorf("its call is answered %+v", answer)
	}
	open.Client.Throttled(0)
}

// midMessageCount counts the connections of which part of a message was read.
func (f *Server) midMessageCount() (count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.isMidMessage.Load() {
			count++
		}
	}
	return count
}

// readAnswer reads one answer.
func readAnswer(t *testing.T, conn net.Conn) Answer {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second)) // an error shows at the read
	var text []byte
	for {
		answer, _, err := ParseAnswer(text)
		if err == nil {
			return answer
		}
		more := make([]byte, 1000)
		n, err := conn.Read(more)
		if err != nil {
			t.Fatal(err)
		}
		text = append(text, more[:n]...)
	}
}

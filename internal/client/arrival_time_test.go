package client

import (
	"net"
	"syscall"
	"testing"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/gateway"
	"swiftreel/internal/limits"
)

// serveListener serves a listener that is open since a time, until the end of the test.
func serveListener(t *testing.T, listener net.Listener, since time.Time) (*Server, *recordingSubmitter) {
	t.Helper()
	budget := new(limits.Budget)
	budget.ClientConns.Store(6)
	budget.MessageBytes.SetCapacity(1 << 20)
	jobs := &recordingSubmitter{requests: make(chan gateway.Request, 10)}
	server := NewServer(jobs, budget)
	t.Cleanup(func() {
		listener.Close()
		server.Close()
	})
	go func() { _ = server.Serve(listener, since) }() // an error shows as a call that is not taken
	return server, jobs
}

// failingListener fails to accept until it is released, as a machine without descriptors does.
type failingListener struct {
	*net.TCPListener
	released chan struct{}
}

func (l failingListener) Accept() (net.Conn, error) {
	select {
	case <-l.released:
		return l.TCPListener.Accept()
	default:
		return nil, &net.OpError{Op: "accept", Err: syscall.ENFILE}
	}
}

// Accepts fail for a while, and a call lies unread in the queue of connections: its client counts the timeout from when
// it was sent. One that is sent later over the same connection counts from then.
func TestACallThatLayInTheQueueCountsFromItsSending(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := failingListener{listener.(*net.TCPListener), make(chan struct{})}
	server, jobs := serveListener(t, failing, time.Now())
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Write(callOf(1, "SELECT 1 FROM a_1.b"))
	sentAt := time.Now()
	failed := counters.Value("accepts_failed")
	s := testServer{t: t}
	s.until("no accept fails", func() bool { return counters.Value("accepts_failed") >= failed+5 })
	close(failing.released)
	if first := jobs.nextRequest(t); first.ArrivedAt.After(sentAt) {
		t.Errorf("it counts from %v after its sending", first.ArrivedAt.Sub(sentAt))
	}
	secondAt := time.Now()
	conn.Write(callOf(2, "SELECT 2 FROM a_1.b"))
	if second := jobs.nextRequest(t); second.ArrivedAt.Before(secondAt) {
		t.Errorf("the next one counts from %v before its sending", secondAt.Sub(second.ArrivedAt))
	}
	conn.Write(AppendRevoke(nil, 1))
	conn.Write(AppendRevoke(nil, 2))
	s.until("answers stay owed", func() bool { return server.OwedAnswers() == 0 })
}

// A call comes while the program still starts, after its address is open: it counts from its sending.
func TestACallSentBeforeTheStartIsOverCountsFromItsSending(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	openSince := time.Now()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Write(callOf(1, "SELECT 1 FROM a_1.b"))
	sentAt := time.Now()
	time.Sleep(time.Millisecond) // the clock goes on past that moment, however coarse it is
	_, jobs := serveListener(t, listener, openSince)
	call := jobs.nextRequest(t)
	if call.ArrivedAt.After(sentAt) {
		t.Errorf("it counts from %v after its sending", call.ArrivedAt.Sub(sentAt))
	}
	call.Client.Throttled(0)
}

// A client that sends too much is read more slowly: what lies unread meanwhile counts from the time before, what comes
// later does not.
func TestACallThatIsReadSlowlyCountsFromItsSending(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	sending, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer sending.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	for _, isUnread := range []bool{true, false} {
		c := &conn{socket: accepted.(*net.TCPConn)}
		c.rate.updatedAt = time.Now()
		c.rate.spent.Store(10 * maxMessageRate)
		if isUnread {
			sending.Write(callOf(1, "SELECT 1 FROM a_1.b"))
			(&testServer{t: t}).until("it has not come", c.hasBufferedInput)
		}
		before := time.Now()
		if !c.slowDown() {
			t.Fatal("it is not slowed")
		}
		isDatedBefore := !c.bufferedSince.Before(before) && time.Since(c.bufferedSince) >= maxReadDelay
		if isDatedBefore != isUnread || c.bufferedSince.IsZero() == isUnread {
			t.Errorf("unread: %v, it counts from %v, slowed at %v", isUnread, c.bufferedSince, before)
		}
		if isUnread {
			if _, err := accepted.Read(make([]byte, firstBufferSize)); err != nil {
				t.Fatal(err)
			}
		}
	}
}

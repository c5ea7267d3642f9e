package client

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"swiftreel/internal/gateway"
	"swiftreel/internal/limits"
)

// discardingSubmitter takes calls and answers none.
type discardingSubmitter struct{}

func (discardingSubmitter) Ready() bool            { return true }
func (discardingSubmitter) Submit(gateway.Request) {}

func startServer(t *testing.T, maxConns int64) (dial func() net.Conn) {
	t.Helper()
	_, dial = serve(t, maxConns)
	return dial
}

func serve(t *testing.T, maxConns int64) (server *Server, dial func() net.Conn) {
	t.Helper()
	parts := new(limits.Budget)
	parts.ClientConns.Store(maxConns)
	parts.MessageBytes.SetCapacity(1 << 20)
	f := NewServer(discardingSubmitter{}, parts)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = f.Serve(l, time.Now()) }() // an error shows as a client that is not served
	t.Cleanup(func() {
		l.Close()
		f.Close()
	})
	return f, func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
}

// answersHeartbeat asks for the heartbeat and tells whether an answer came.
func answersHeartbeat(c net.Conn) bool {
	c.Write(AppendHeartbeat(nil, 1))
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	b := make([]byte, 100)
	n, _ := c.Read(b)
	a, _, err := ParseAnswer(b[:n])
	return err == nil && a.Ready
}

func TestAFloodOfSilentClientsEvictsItsOwn(t *testing.T) {
	dial := startServer(t, 6)
	regularClients := []net.Conn{dial(), dial()}
	for _, c := range regularClients {
		if !answersHeartbeat(c) {
			t.Fatal("no answer")
		}
	}
	var silent []net.Conn
	for range 20 {
		silent = append(silent, dial())
	}
	if !answersHeartbeat(dial()) {
		t.Error("a new client does not get in")
	}
	silent[0].SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := silent[0].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the first that said nothing: %v", err)
	}
	for _, c := range regularClients {
		if !answersHeartbeat(c) {
			t.Error("a usual client was pushed out")
		}
	}
}

// restingConns counts the connections that have spoken, and on which nothing is open, being read or being written.
func (s *Server) restingConns() (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if activity := c.activity(); activity.hasSpoken && activity.isIdle && !c.hasPendingInput() {
			count++
		}
	}
	return count
}

// awaitResting waits until so many connections rest. That an answer has come does not show it: the goroutines that have
// read the question and written the answer may not have run since, and meanwhile the connection counts as in use.
func awaitResting(t *testing.T, server *Server, count int) {
	t.Helper()
	for stop := time.Now().Add(20 * time.Second); server.restingConns() != count; time.Sleep(time.Millisecond) {
		if time.Now().After(stop) {
			t.Fatalf("%d connections rest, not %d", server.restingConns(), count)
		}
	}
}

func TestTheLongestIdleConnectionIsEvictedIfNoneIsSilent(t *testing.T) {
	server, dial := serve(t, 3)
	var conns []net.Conn
	for range 3 {
		conns = append(conns, dial())
		conns[len(conns)-1].Write(AppendRevoke(nil, 1)) // nothing is open: it stays idle
		if !answersHeartbeat(conns[len(conns)-1]) {     // the answer shows that the revoke was read, before the next dials
			t.Fatal("no answer")
		}
		awaitResting(t, server, len(conns))
	}
	call := AppendCall(nil, 2, "lookup", []string{"call", "00000000000000aa", "ttl", "20000"}, nil)
	conns[0].Write(call) // the oldest has a call open
	if !answersHeartbeat(conns[0]) {
		t.Fatal("no answer")
	}
	awaitResting(t, server, 2)
	if !answersHeartbeat(dial()) {
		t.Error("a new client does not get in")
	}
	conns[1].SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := conns[1].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the one idle longest: %v", err)
	}
	if !answersHeartbeat(conns[0]) || !answersHeartbeat(conns[2]) {
		t.Error("another was pushed out")
	}
}

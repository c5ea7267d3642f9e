package client

import (
	"fmt"
	"net"
	"testing"
	"time"

	"swiftreel/internal/gateway"
	"swiftreel/internal/limits"
)

// Pairs of events that can cross, each held in its bad order by a gate: never by how long something takes.

// recordingSubmitter passes on what is submitted. While blocked is set, Submit does not return until it is closed,
// which holds up the reader.
type recordingSubmitter struct {
	requests chan gateway.Request
	blocked  chan struct{}
}

func (k *recordingSubmitter) Ready() bool { return true }

func (k *recordingSubmitter) Submit(a gateway.Request) {
	k.requests <- a
	if k.blocked != nil {
		<-k.blocked
	}
}

func (k *recordingSubmitter) nextRequest(t *testing.T) gateway.Request {
	t.Helper()
	select {
	case a := <-k.requests:
		return a
	case <-time.After(20 * time.Second):
		t.Fatal("nothing is taken")
	}
	return gateway.Request{}
}

// gatedListener accepts a connection once it is opened, and has it made with small buffers.
type gatedListener struct {
	*net.TCPListener
	open chan struct{}
}

func (d gatedListener) Accept() (net.Conn, error) {
	nc, err := d.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	nc.(*net.TCPConn).SetWriteBuffer(64 << 10)
	<-d.open
	return nc, nil
}

type testServer struct {
	t      *testing.T
	server *Server
	jobs   *recordingSubmitter
	door   gatedListener
}

func newTestServer(t *testing.T, maxConns int64) *testServer {
	t.Helper()
	parts := new(limits.Budget)
	parts.ClientConns.Store(maxConns)
	parts.MessageBytes.SetCapacity(1 << 20)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{
		t:    t,
		jobs: &recordingSubmitter{requests: make(chan gateway.Request, 1000)},
		door: gatedListener{l.(*net.TCPListener), make(chan struct{})},
	}
	s.server = NewServer(s.jobs, parts)
	t.Cleanup(func() {
		l.Close()
		s.server.Close()
	})
	go func() { _ = s.server.Serve(s.door, time.Now()) }() // an error shows as a client that is not served
	return s
}

func (s *testServer) dial() *net.TCPConn {
	nc, err := net.Dial("tcp", s.door.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { nc.Close() })
	return nc.(*net.TCPConn)
}

func (s *testServer) until(what string, is func() bool) {
	s.t.Helper()
	for stop := time.Now().Add(20 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(stop) {
			s.t.Fatal(what)
		}
	}
}

func callOf(id uint32, body string) []byte {
	return AppendCall(nil, id, "lookup", []string{"call", fmt.Sprintf("%016x", id), "ttl", "20000"}, []byte(body))
}

// writing tells whether some result is being written.
func (f *Server) writing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.mu.Lock(); c.resultsInFlight > 0 {
			c.mu.Unlock()
			return true
		}
		c.mu.Unlock()
	}
	return false
}

// unwritten is the most that waits to be written to one client.
func (f *Server) unwritten() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.mu.Lock()
		n = max(n, len(c.replies))
		c.mu.Unlock()
	}
	return n
}

// idleNow counts the connections that asked and have been answered.
func (f *Server) idleNow() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if activity := c.activity(); activity.hasSpoken && activity.isIdle {
			n++
		}
	}
	return n
}

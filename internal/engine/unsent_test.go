package engine

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/limits"
)

// largeStatement exceeds what an engine that reads nothing can receive: its end stays in this machine's send buffer.
var largeStatement = []byte(strings.Repeat("x", 128<<10))

// stalledEngine accepts one connection and reads nothing from it until the test does.
type stalledEngine struct {
	net.Listener
	conns chan *net.TCPConn
}

func newStalledEngine(t *testing.T) stalledEngine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := stalledEngine{l, make(chan *net.TCPConn, 1)}
	t.Cleanup(func() { l.Close() })
	go func() {
		socket, err := l.Accept()
		if err != nil {
			return
		}
		conn := socket.(*net.TCPConn)
		conn.SetReadBuffer(4 << 10)
		e.conns <- conn
	}()
	return e
}

// An engine reads nothing while a dispatch to it is cancelled, and its connection is closed for that. What is still in
// this machine's buffers must not reach the engine later: it would start a job that nobody waits for.
func TestUnsentDataIsDiscardedOnClose(t *testing.T) {
	peer := newStalledEngine(t)
	bounds := backend.Limits{DialTimeout: 50 * time.Millisecond, IdleTimeout: time.Minute, StreamsPerConn: 1,
		Conns: new(limits.Limit), ResultBytes: new(limits.Bytes)}
	bounds.Conns.Store(10)
	pool := NewPool(bounds)
	t.Cleanup(pool.Close)
	pool.dialTimeout = func(network, address string, limit time.Duration) (net.Conn, error) {
		socket, err := net.DialTimeout(network, address, limit)
		if err == nil {
			err = socket.(*net.TCPConn).SetWriteBuffer(2 * len(largeStatement))
		}
		return socket, err
	}
	request := backend.Request{ID: []byte("given-up"), Type: []byte("report"), Statement: largeStatement, Priority: 1,
		DecidedAt: time.Now(), Gate: deadlineGate{}, Lane: backend.Restartable}
	dispatch := pool.Start(backend.Host{Name: "e1", Address: peer.Addr().String()}, request, func(backend.Reply) {})
	conn := <-peer.conns
	waitUntil(t, "the dispatch was not written", func() bool { return pool.isWritten("e1") })
	cancelled := make(chan struct{})
	if !dispatch.Cancel(func() { close(cancelled) }) {
		t.Fatal("the dispatch had already ended")
	}
	<-cancelled
	waitUntil(t, "the connection was not closed", func() bool { return pool.ConnCount() == 0 })
	received, err := io.ReadAll(bufio.NewReader(conn))
	if err == nil || len(received) >= len(largeStatement) {
		t.Errorf("the engine received %d bytes after the close, error: %v", len(received), err)
	}
}

// isWritten reports whether all dispatches to an engine were written.
func (p *Pool) isWritten(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, c := range p.conns[name] {
		for _, d := range c.open {
			if d.state != stateDispatched {
				return false
			}
			count++
		}
	}
	return count > 0
}

func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for stop := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(stop) {
			t.Fatal(what)
		}
	}
}

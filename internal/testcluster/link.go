package testcluster

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// LinkMode is what becomes of what passes a link.
type LinkMode uint8

// The modes of a link.
const (
	LinkUp      LinkMode = iota
	LinkReset            // connections are reset, new ones too
	LinkSilent           // connections are accepted, and nothing passes
	LinkOneWay           // requests arrive, responses do not
	LinkDelayed          // as LinkUp; the delay of SetMode counts in every mode
)

// maxRecorded bounds what a link records of a request, in bytes.
const maxRecorded = 1 << 20

// linkTimeout bounds a dial, and a replay.
const linkTimeout = time.Second

// Link forwards TCP connections to an address, and fails on request. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	target   string
	done     chan struct{}

	mu        sync.Mutex
	mode      LinkMode
	delay     time.Duration
	conns     map[net.Conn]struct{} // until closed
	lastOrder []byte                // the last POST request of any connection
	closed    bool
}

// NewLink listens at an address and forwards to a target.
func NewLink(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, done: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go l.accept()
	return l, nil
}

// Address is where it listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetMode sets what becomes of later connections. Those that are open are closed, so that none goes on in the mode
// before. Each write waits for the delay, both ways.
func (l *Link) SetMode(mode LinkMode, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	l.delay = delay
	l.closeConns()
}

// closeConns closes all connections. The lock is held.
func (l *Link) closeConns() {
	for conn := range l.conns {
		_ = conn.Close() // its goroutine may have closed it
	}
}

// ReplayLastOrder sends the last POST request once more: late, and out of order.
func (l *Link) ReplayLastOrder() {
	l.mu.Lock()
	request := l.lastOrder
	l.mu.Unlock()
	if len(request) == 0 {
		return
	}
	conn, err := l.dialTarget()
	if err != nil {
		return // nobody is there to receive it
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(linkTimeout)) != nil {
		return
	}
	if _, err := conn.Write(request); err == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, 4096)) // whatever the answer is
	}
}

func (l *Link) dialTarget() (net.Conn, error) {
	dialer := net.Dialer{Timeout: linkTimeout}
	return dialer.DialContext(context.Background(), "tcp4", l.target)
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

// register adds a connection, and returns the mode in which it is to be served; ok is false where the link is closed.
func (l *Link) register(conn net.Conn) (mode LinkMode, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return LinkReset, false
	}
	l.conns[conn] = struct{}{}
	return l.mode, true
}

func (l *Link) unregister(conn net.Conn) {
	_ = conn.Close() // SetMode may have closed it
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// serve forwards one connection until either end closes it.
func (l *Link) serve(client net.Conn) {
	defer l.unregister(client)
	mode, ok := l.register(client)
	if !ok || mode == LinkReset {
		return
	}
	if mode == LinkSilent {
		_, _ = io.Copy(io.Discard, client) // until the client gives up
		return
	}
	server, err := l.dialTarget()
	if err != nil {
		return
	}
	defer l.unregister(server)
	if _, ok := l.register(server); !ok {
		return
	}
	go func() {
		defer server.Close()
		l.forwardRequests(server, client)
	}()
	if mode == LinkOneWay {
		_, _ = io.Copy(io.Discard, server) // until the server has answered
		return
	}
	l.forward(client, server, func([]byte) {})
}

// forwardRequests forwards, and records the last POST request. Requests of a connection come one after the other, so
// that each begins with a read of its own.
func (l *Link) forwardRequests(server, client net.Conn) {
	var request []byte
	l.forward(server, client, func(text []byte) {
		switch {
		case bytes.HasPrefix(text, []byte("POST ")):
			request = bytes.Clone(text)
		case bytes.HasPrefix(text, []byte("GET ")):
			request = nil
		case len(request) > 0 && len(request)+len(text) <= maxRecorded:
			request = append(request, text...)
		}
		if len(request) > 0 {
			l.mu.Lock()
			l.lastOrder = request
			l.mu.Unlock()
		}
	})
}

// forward copies until either connection ends, with the link's delay before each write. Each text read goes to
// observe first.
func (l *Link) forward(to, from net.Conn, observe func([]byte)) {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	buffer := make([]byte, 32<<10)
	for {
		n, readErr := from.Read(buffer)
		if n > 0 {
			observe(buffer[:n])
			if !l.pause(delay) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if readErr != nil {
			return
		}
	}
}

// pause waits; it returns false where the link is closed meanwhile.
func (l *Link) pause(delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	select {
	case <-time.After(delay):
		return true
	case <-l.done:
		return false
	}
}

// Close ends it and resets its connections.
func (l *Link) Close() {
	_ = l.listener.Close() // no connection is lost by it
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		close(l.done)
	}
	l.closeConns()
}

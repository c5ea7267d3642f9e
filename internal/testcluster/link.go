package testcluster

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// LinkMode says how a link treats its connections.
type LinkMode uint8

// The modes of a link.
const (
	LinkUp      LinkMode = iota
	LinkReset            // connections are reset, new ones too
	LinkSilent           // connections are accepted, but nothing is forwarded
	LinkOneWay           // requests are forwarded, responses are not
	LinkDelayed          // as LinkUp; the delay of SetMode applies in every mode
)

// maxRecordedBytes bounds how much of a request a link records, in bytes.
const maxRecordedBytes = 1 << 20

// linkTimeout bounds a dial and a replay.
const linkTimeout = time.Second

// Link is a TCP proxy in front of an address that fails on request. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	target   string
	done     chan struct{}

	mu        sync.Mutex
	mode      LinkMode
	delay     time.Duration
	conns     map[net.Conn]struct{} // until closed
	lastOrder []byte                // last POST request of any connection
	closed    bool
}

// NewLink listens on an address and forwards to a target.
func NewLink(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, done: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go l.accept()
	return l, nil
}

// Address returns the listen address.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetMode sets the mode of later connections, and closes the open ones so that none continues in the previous mode.
// Each write is delayed, in both directions.
func (l *Link) SetMode(mode LinkMode, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	l.delay = delay
	l.closeConns()
}

// closeConns closes all connections. l.mu must be held.
func (l *Link) closeConns() {
	for conn := range l.conns {
		_ = conn.Close() // its goroutine may have closed it
	}
}

// ReplayLastOrder sends the last POST request again, so that it arrives late and out of order.
func (l *Link) ReplayLastOrder() {
	l.mu.Lock()
	request := l.lastOrder
	l.mu.Unlock()
	if len(request) == 0 {
		return
	}
	conn, err := l.dialTarget()
	if err != nil {
		return // the target is not listening
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(linkTimeout)) != nil {
		return
	}
	if _, err := conn.Write(request); err == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, 4096)) // the answer does not matter
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

// register adds a connection and returns the mode to serve it in. ok is false if the link is closed.
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
		_, _ = io.Copy(io.Discard, client) // until the client closes the connection
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
		_, _ = io.Copy(io.Discard, server) // until the server closes the connection
		return
	}
	l.forward(client, server, func([]byte) {})
}

// forwardRequests forwards requests and records the last POST request. Requests of a connection are sequential, so each
// begins with a new read.
func (l *Link) forwardRequests(server, client net.Conn) {
	var request []byte
	l.forward(server, client, func(text []byte) {
		switch {
		case bytes.HasPrefix(text, []byte("POST ")):
			request = bytes.Clone(text)
		case bytes.HasPrefix(text, []byte("GET ")):
			request = nil
		case len(request) > 0 && len(request)+len(text) <= maxRecordedBytes:
			request = append(request, text...)
		}
		if len(request) > 0 {
			l.mu.Lock()
			l.lastOrder = request
			l.mu.Unlock()
		}
	})
}

// forward copies until either connection closes, with the link's delay before each write. It passes the data of each
// read to observe first.
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

// pause waits for the delay. It returns false if the link is closed meanwhile.
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

// Close stops the link and closes its connections.
func (l *Link) Close() {
	_ = l.listener.Close() // an error does not affect open connections
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		close(l.done)
	}
	l.closeConns()
}

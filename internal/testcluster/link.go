package testcluster

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// Way is what becomes of what passes a link.
type LinkMode uint8

// The ways.
const (
	LinkUp      LinkMode = iota
	LinkReset            // connections are reset, new ones too
	LinkSilent           // taken in, and nothing passes
	LinkOneWay           // what is asked arrives, what is answered does not
	LinkDelayed          // both ways by the link's delay
)

// Link is a TCP link that can fail between who dials it and an address.
type Link struct {
	listener net.Listener
	to       string
	done     chan struct{}

	mu        sync.Mutex
	mode      LinkMode
	delay     time.Duration
	conns     map[net.Conn]struct{} // until closed
	lastOrder []byte                // what was sent last over one connection: for Repeat
	closed    bool
}

// mostKept bounds what a link keeps of a connection.
const maxRecorded = 1 << 20

// NewLink listens at an address.
func NewLink(address, to string) (*Link, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	k := &Link{listener: l, to: to, done: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go k.accept()
	return k, nil
}

// Set says how it goes on; connections that are up are reset, so that none is left in a way before.
func (k *Link) SetMode(w LinkMode, delay time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode, k.delay = w, delay
	for c := range k.conns {
		c.Close()
	}
}

// Repeat sends once more what the last connection with an order carried: late, and out of order.
func (k *Link) ReplayLastOrder() {
	k.mu.Lock()
	text := k.lastOrder
	k.mu.Unlock()
	if len(text) == 0 {
		return
	}
	if c, err := net.DialTimeout("tcp4", k.to, time.Second); err == nil {
		c.SetDeadline(time.Now().Add(time.Second))
		c.Write(text)
		io.Copy(io.Discard, io.LimitReader(c, 4096))
		c.Close()
	}
}

func (k *Link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

func (k *Link) register(c net.Conn) (LinkMode, time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return 0, 0, false
	}
	k.conns[c] = struct{}{}
	return k.mode, k.delay, true
}

func (k *Link) unregister(c net.Conn) {
	c.Close()
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
}

func (k *Link) serve(c net.Conn) {
	defer k.unregister(c)
	way, delay, is := k.register(c)
	if !is || way == LinkReset {
		return
	}
	if way == LinkSilent {
		io.Copy(io.Discard, c)
		return
	}
	out, err := net.DialTimeout("tcp4", k.to, time.Second)
	if err != nil {
		return
	}
	defer k.unregister(out)
	if _, _, is := k.register(out); !is {
		return
	}
	go func() {
		defer out.Close()
		k.pass(out, c, delay, true)
	}()
	if way == LinkOneWay {
		io.Copy(io.Discard, out)
		return
	}
	k.pass(c, out, delay, false)
}

// pass copies; what is asked is kept.
func (k *Link) pass(to, from net.Conn, delay time.Duration, asked bool) {
	b := make([]byte, 32<<10)
	var kept []byte
	for {
		n, err := from.Read(b)
		if n > 0 {
			if asked {
				switch text := b[:n]; {
				case bytes.HasPrefix(text, []byte("POST ")): // requests come one after the other: each begins a read
					kept = bytes.Clone(text)
				case bytes.HasPrefix(text, []byte("GET ")):
					kept = nil
				case len(kept) > 0 && len(kept)+n <= maxRecorded:
					kept = append(kept, text...)
				}
				if len(kept) > 0 {
					k.mu.Lock()
					k.lastOrder = kept
					k.mu.Unlock()
				}
			}
			if delay > 0 {
				select {
				case <-time.After(delay):
				case <-k.done:
					return
				}
			}
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Close ends it.
func (k *Link) Close() {
	k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.closed {
		k.closed = true
		close(k.done)
	}
	for c := range k.conns {
		c.Close()
	}
}

// Package fake has small stand-ins for what a controller speaks with: an engine, the control feed, a client. The
// example is built of them, and so are the tests that need a peer.
package fake

import (
	"bufio"
	"net"
	"sync"

	"swiftreel/internal/engine"
)

// Engine listens and hands each command to its handler, one connection's in order.
type Engine struct {
	handle   func(*Session, engine.Command)
	listener net.Listener

	mu       sync.Mutex
	sessions map[*Session]struct{} // until closed
	closed   bool
	running  sync.WaitGroup
}

// Session is one controller's connection.
type Session struct {
	conn    net.Conn
	mu      sync.Mutex
	aborted map[string]bool // until asked for a page of it
}

func (s *Session) abort(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aborted[id] = true
}

// takeBack tells whether an id was aborted, once.
func (s *Session) takeAborted(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.aborted[id]
	delete(s.aborted, id)
	return was
}

// StartEngine listens at an address.
func StartEngine(address string, handle func(*Session, engine.Command)) (*Engine, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &Engine{handle: handle, listener: l, sessions: map[*Session]struct{}{}}
	e.running.Add(1)
	go e.accept()
	return e, nil
}

// Address is where it listens.
func (e *Engine) Address() string { return e.listener.Addr().String() }

func (e *Engine) accept() {
	defer e.running.Done()
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		s := &Session{conn: conn, aborted: map[string]bool{}}
		e.mu.Lock()
		if e.closed {
			conn.Close()
		}
		e.sessions[s] = struct{}{}
		e.mu.Unlock()
		e.running.Add(1)
		go e.serve(s)
	}
}

func (e *Engine) serve(s *Session) {
	defer e.running.Done()
	r := bufio.NewReader(s.conn)
	for {
		c, err := engine.ReadCommand(r)
		if err != nil {
			break
		}
		e.handle(s, c)
	}
	s.conn.Close()
	e.mu.Lock()
	delete(e.sessions, s)
	e.mu.Unlock()
}

// Sessions counts the connections that are up.
func (e *Engine) Sessions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions)
}

// Close dies as a process does: connections are reset, new ones refused.
func (e *Engine) Close() {
	e.listener.Close()
	e.mu.Lock()
	e.closed = true
	for s := range e.sessions {
		s.Reset()
	}
	e.mu.Unlock()
	e.running.Wait()
}

// Answer writes an answer.
func (s *Session) Answer(id, word, fields string, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn.Write(engine.AppendAnswer(nil, id, word, fields, []byte(body)))
}

// Write writes bytes as they are.
func (s *Session) Write(b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn.Write(b)
}

// Reset breaks the connection.
func (s *Session) Reset() {
	if c, is := s.conn.(*net.TCPConn); is {
		c.SetLinger(0)
	}
	s.conn.Close()
}

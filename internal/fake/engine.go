// Package fake has fakes of what a controller speaks with: an engine, the discovery server, a client, a SPARQL
// endpoint. The example and the tests are built of them. Each fake that listens owns its listener, its connections
// and their goroutines, and Close ends all of them; all are safe for concurrent use unless they say otherwise. None
// keeps to more of a protocol than its handler does.
package fake

import (
	"bufio"
	"net"
	"sync"

	"swiftreel/internal/engine"
)

// Engine accepts connections of the line protocol and hands each command to its handler: those of one connection in
// order, those of several at once.
type Engine struct {
	handle   func(*Session, engine.Command)
	listener net.Listener
	serving  sync.WaitGroup

	mu       sync.Mutex
	sessions map[*Session]struct{} // until closed
	closed   bool
}

// StartEngine listens at an address.
func StartEngine(address string, handle func(*Session, engine.Command)) (*Engine, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &Engine{handle: handle, listener: listener, sessions: map[*Session]struct{}{}}
	e.serving.Go(e.accept)
	return e, nil
}

// Address is where it listens.
func (e *Engine) Address() string { return e.listener.Addr().String() }

func (e *Engine) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		session := &Session{conn: conn, aborted: map[string]bool{}}
		e.register(session)
		e.serving.Go(func() { e.serve(session) })
	}
}

// register adds a connection. One that comes after Close is closed at once.
func (e *Engine) register(session *Session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		_ = session.conn.Close() // its peer sees the end
	}
	e.sessions[session] = struct{}{}
}

// serve handles commands until the connection ends or sends what is no command.
func (e *Engine) serve(session *Session) {
	reader := bufio.NewReader(session.conn)
	for {
		command, err := engine.ReadCommand(reader)
		if err != nil {
			break
		}
		e.handle(session, command)
	}
	_ = session.conn.Close() // Close or Reset may have closed it
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sessions, session)
}

// Sessions counts the connections that are open.
func (e *Engine) Sessions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions)
}

// Close ends as a process does that dies: connections are reset, new ones refused.
func (e *Engine) Close() {
	_ = e.listener.Close() // connections that it has not accepted are reset
	e.mu.Lock()
	e.closed = true
	for session := range e.sessions {
		session.Reset()
	}
	e.mu.Unlock()
	e.serving.Wait()
}

// Session is a controller's connection to an Engine. What cannot be written is dropped: the controller has gone.
type Session struct {
	conn net.Conn

	mu      sync.Mutex
	aborted map[string]bool // ids, until a page of one is requested
}

func (s *Session) abort(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aborted[id] = true
}

// takeAborted reports whether an id was aborted, once.
func (s *Session) takeAborted(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	aborted := s.aborted[id]
	delete(s.aborted, id)
	return aborted
}

// Answer writes an answer of the line protocol.
func (s *Session) Answer(id, kind, fields, body string) {
	s.Write(engine.AppendAnswer(nil, id, kind, fields, []byte(body)))
}

// Write writes bytes as they are.
func (s *Session) Write(text []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.conn.Write(text) // see Session
}

// Reset resets the connection: what was written and not sent is lost.
func (s *Session) Reset() {
	if conn, ok := s.conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0) // it may be closed already
	}
	_ = s.conn.Close() // likewise
}

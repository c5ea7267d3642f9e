// Package fake provides fakes of the peers of a controller: an engine, the discovery server, a client and a SPARQL
// endpoint. The example and the tests use them. Each fake that listens owns its listener, its connections and their
// goroutines, and Close stops all of them. All are safe for concurrent use unless their documentation says otherwise.
// A fake enforces no more of its protocol than its handler does.
package fake

import (
	"bufio"
	"net"
	"sync"

	"swiftreel/internal/engine"
)

// Engine accepts line protocol connections and passes each command to its handler. Commands of one connection are
// handled in order, those of different connections concurrently.
type Engine struct {
	handle   func(*Session, engine.Command)
	listener net.Listener
	serving  sync.WaitGroup

	mu       sync.Mutex
	sessions map[*Session]struct{} // until closed
	closed   bool
}

// StartEngine listens on an address.
func StartEngine(address string, handle func(*Session, engine.Command)) (*Engine, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &Engine{handle: handle, listener: listener, sessions: map[*Session]struct{}{}}
	e.serving.Go(e.accept)
	return e, nil
}

// Address returns the listen address.
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

// register adds a connection. A connection accepted after Close is closed at once.
func (e *Engine) register(session *Session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		_ = session.conn.Close() // the peer sees the close
	}
	e.sessions[session] = struct{}{}
}

// serve handles commands until the connection closes or a command cannot be parsed.
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

// Sessions returns the number of open connections.
func (e *Engine) Sessions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions)
}

// StopListening makes the engine accept no more connections. Open ones stay in use, and another engine may listen on
// the address.
func (e *Engine) StopListening() {
	_ = e.listener.Close() // the kernel resets connections that were not yet accepted
}

// Close stops the engine as a crash does: open connections are reset, new ones refused.
func (e *Engine) Close() {
	_ = e.listener.Close() // the kernel resets connections that were not yet accepted
	e.mu.Lock()
	e.closed = true
	for session := range e.sessions {
		session.Reset()
	}
	e.mu.Unlock()
	e.serving.Wait()
}

// Session is a controller's connection to an Engine. Write errors are ignored: they mean that the controller has
// disconnected.
type Session struct {
	conn net.Conn

	mu      sync.Mutex
	aborted map[string]bool // IDs of aborted dispatches, until one of their pages is requested
}

func (s *Session) abort(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aborted[id] = true
}

// consumeAborted reports whether a dispatch was aborted, and forgets it.
func (s *Session) consumeAborted(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	aborted := s.aborted[id]
	delete(s.aborted, id)
	return aborted
}

// Answer writes a line protocol answer.
func (s *Session) Answer(id, kind, fields, body string) {
	s.Write(engine.AppendAnswer(nil, id, kind, fields, []byte(body)))
}

// Write writes raw bytes.
func (s *Session) Write(text []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.conn.Write(text) // see Session
}

// Reset resets the connection. Data written but not yet sent is lost.
func (s *Session) Reset() {
	if conn, ok := s.conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0) // it may be closed already
	}
	_ = s.conn.Close() // likewise
}

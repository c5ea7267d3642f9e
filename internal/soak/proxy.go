package soak

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"swiftreel/internal/engine"
)

// ProxyMode is what becomes of the connections to an engine.
type ProxyMode uint8

// The modes.
const (
	ProxyUp     ProxyMode = iota
	ProxySilent           // connections come up and stand, and nothing passes either way
	ProxyReset            // open connections are reset when the mode is set; new ones pass
	ProxySlow             // each answer comes in two pieces with a pause between
)

const (
	pieceDelay  = 30 * time.Millisecond
	proxyBuffer = 32 << 10

	queuedCommands = 1024 // on one connection, while nothing passes
	dialDeadline   = time.Second
)

// Proxy is the way to one engine. It records each fetch that comes by, forwards what passes, and fails on request. It
// is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	name     string
	records  *Records

	mu          sync.Mutex
	target      string // of the engine's process; empty: none runs
	incarnation int
	mode        ProxyMode
	change      chan struct{} // closed when the mode changes
	conns       map[net.Conn]struct{}
}

// newProxy listens at an address for an engine.
func newProxy(address, name string, records *Records) (*Proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, name: name, records: records, change: make(chan struct{}),
		conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *Proxy) address() string { return p.listener.Addr().String() }

// setTarget forwards later connections to a process; empty: connections are reset, as by a machine without a
// listener.
func (p *Proxy) setTarget(target string, incarnation int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
	p.incarnation = incarnation
}

// setMode sets what becomes of connections, those that are open too.
func (p *Proxy) setMode(mode ProxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.change)
	p.change = make(chan struct{})
	if mode == ProxyReset {
		p.resetAll()
	}
}

// resetAll resets all connections. The lock is held.
func (p *Proxy) resetAll() {
	for conn := range p.conns {
		reset(conn)
	}
}

// dial connects to an address.
func dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialDeadline}
	return dialer.DialContext(context.Background(), "tcp4", address)
}

// reset closes a connection such that its peer sees a reset.
func reset(conn net.Conn) {
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0) // it may be closed already
	}
	_ = conn.Close() // likewise
}

// pass waits until something may pass.
func (p *Proxy) pass() ProxyMode {
	for {
		p.mu.Lock()
		mode, change := p.mode, p.change
		p.mu.Unlock()
		if mode != ProxySilent {
			return mode
		}
		<-change
	}
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

// serve forwards one connection until either end closes it. What the controller sends is read at once, however long
// the connection to the engine's process takes.
func (p *Proxy) serve(controller net.Conn) {
	defer p.remove(controller)
	acceptedAt := time.Now()
	target, incarnation := p.add(controller)
	if target == "" {
		reset(controller)
		return
	}
	queue := make(chan []byte, queuedCommands)
	defer close(queue)
	go p.connect(target, controller, queue)
	p.readCommands(controller, queue, Fetch{Engine: p.name, Incarnation: incarnation, AcceptedAt: acceptedAt,
		ReadFrom: time.Now()})
}

// add notes a connection, and returns the engine's process that it is for; an empty target: none runs.
func (p *Proxy) add(conn net.Conn) (target string, incarnation int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = struct{}{}
	return p.target, p.incarnation
}

// connect connects to an engine's process, writes it what is queued until the queue is closed, and forwards its
// answers to the controller. If it cannot be reached, or closes its connection, the controller's is reset.
func (p *Proxy) connect(target string, controller net.Conn, queue <-chan []byte) {
	engineConn, err := dial(target)
	if err != nil {
		reset(controller)
		return
	}
	defer p.remove(engineConn)
	p.add(engineConn)
	go func() {
		p.forwardAnswers(controller, engineConn)
		reset(controller)
	}()
	p.writeCommands(engineConn, queue)
}

func (p *Proxy) remove(conn net.Conn) {
	_ = conn.Close() // it may be closed already
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// forwardAnswers copies what an engine answers.
func (p *Proxy) forwardAnswers(to, from net.Conn) {
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		text := buffer[:n]
		if p.pass() == ProxySlow {
			half := len(text) / 2
			if _, err := to.Write(text[:half]); err != nil {
				return
			}
			time.Sleep(pieceDelay)
			text = text[half:]
		}
		if _, err := to.Write(text); err != nil {
			return
		}
	}
}

// readCommands queues commands one by one, and records each fetch as it arrives, whether it may pass or not. What all
// fetches of the connection have in common is given.
func (p *Proxy) readCommands(from net.Conn, queue chan<- []byte, fetch Fetch) {
	var passed bytes.Buffer
	reader := bufio.NewReader(io.TeeReader(from, &passed))
	fetch.Controller, _, _ = net.SplitHostPort(from.RemoteAddr().String())
	for {
		command, err := engine.ReadCommand(reader)
		if err != nil {
			return
		}
		if command.Name == "fetch" {
			fetch.ID, fetch.At, fetch.Given = command.ID, time.Now(), givenTime(command.Fields)
			p.records.addFetch(fetch)
		}
		text := bytes.Clone(passed.Bytes()[:passed.Len()-reader.Buffered()])
		passed.Next(len(text))
		queue <- text
	}
}

// writeCommands writes what is queued once it may pass.
func (p *Proxy) writeCommands(to net.Conn, queue <-chan []byte) {
	for text := range queue {
		p.pass()
		_, _ = to.Write(text) // one that has ended shows at the reader of its answers
	}
}

// givenTime is how long an engine may take, as the fields of a fetch say.
func givenTime(fields string) time.Duration {
	for field := range strings.SplitSeq(fields, ",") {
		if text, found := strings.CutPrefix(field, "w="); found {
			milliseconds, _ := strconv.Atoi(text) // one that is none is 0: never too much
			return time.Duration(milliseconds) * time.Millisecond
		}
	}
	return 0
}

// close ends it and its connections.
func (p *Proxy) close() {
	_ = p.listener.Close() // no connection is lost by it
	p.setMode(ProxyReset)
}

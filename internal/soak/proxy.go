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

// ProxyMode says how a proxy treats its connections.
type ProxyMode uint8

// The modes.
const (
	ProxyUp     ProxyMode = iota
	ProxySilent           // connections are accepted and stay open, but nothing is forwarded in either direction
	ProxyReset            // open connections are reset when the mode is set; new ones are forwarded
	ProxySlow             // each answer is forwarded in two pieces with a pause between them
)

const (
	pieceDelay       = 30 * time.Millisecond
	proxyBufferBytes = 32 << 10

	commandQueueSize = 1024 // per connection, while nothing is forwarded
	proxyDialTimeout = time.Second
)

// Proxy is a TCP proxy in front of an engine that records each fetch command and fails on request. It is safe for
// concurrent use.
type Proxy struct {
	listener net.Listener
	name     string
	records  *Records

	mu          sync.Mutex
	target      string // address of the engine's process; empty: none is running
	incarnation int
	mode        ProxyMode
	modeChanged chan struct{} // closed when the mode changes
	conns       map[net.Conn]struct{}
}

// newProxy starts the proxy of an engine on an address.
func newProxy(address, name string, records *Records) (*Proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, name: name, records: records, modeChanged: make(chan struct{}),
		conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *Proxy) address() string { return p.listener.Addr().String() }

// setTarget sets the address that later connections are forwarded to. If it is empty, they are reset, as by a machine
// without a listener.
func (p *Proxy) setTarget(target string, incarnation int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
	p.incarnation = incarnation
}

// setMode sets the mode for open and later connections.
func (p *Proxy) setMode(mode ProxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
	if mode == ProxyReset {
		p.resetAll()
	}
}

// resetAll resets all connections. p.mu must be held.
func (p *Proxy) resetAll() {
	for conn := range p.conns {
		reset(conn)
	}
}

// dial connects to an address.
func dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: proxyDialTimeout}
	return dialer.DialContext(context.Background(), "tcp4", address)
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0) // it may be closed already
	}
	_ = conn.Close() // likewise
}

// awaitForwarding waits until the mode allows forwarding, and returns it.
func (p *Proxy) awaitForwarding() ProxyMode {
	for {
		p.mu.Lock()
		mode, modeChanged := p.mode, p.modeChanged
		p.mu.Unlock()
		if mode != ProxySilent {
			return mode
		}
		<-modeChanged
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

// serve forwards one connection until either end closes it. It reads from the controller at once, even while the
// connection to the engine's process is not yet established.
func (p *Proxy) serve(controller net.Conn) {
	defer p.remove(controller)
	acceptedAt := time.Now()
	target, incarnation := p.add(controller)
	if target == "" {
		reset(controller)
		return
	}
	queue := make(chan []byte, commandQueueSize)
	defer close(queue)
	go p.connect(target, controller, queue)
	p.readCommands(controller, queue, Fetch{Engine: p.name, Incarnation: incarnation, AcceptedAt: acceptedAt,
		ReadFrom: time.Now()})
}

// add adds a connection and returns the target to forward it to. An empty target means that no process is running.
func (p *Proxy) add(conn net.Conn) (target string, incarnation int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = struct{}{}
	return p.target, p.incarnation
}

// connect connects to the engine's process, writes the queued commands to it until the queue is closed, and forwards
// its answers to the controller. If the process cannot be reached or closes the connection, the controller's connection
// is reset.
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

// forwardAnswers forwards answers until either connection closes.
func (p *Proxy) forwardAnswers(to, from net.Conn) {
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		text := buffer[:n]
		if p.awaitForwarding() == ProxySlow {
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

// readCommands queues commands one by one, and records each fetch as it arrives, whether or not the mode allows
// forwarding. fetch holds the fields common to all fetches of the connection.
func (p *Proxy) readCommands(from net.Conn, queue chan<- []byte, fetch Fetch) {
	var consumed bytes.Buffer
	reader := bufio.NewReader(io.TeeReader(from, &consumed))
	fetch.Controller, _, _ = net.SplitHostPort(from.RemoteAddr().String())
	for {
		command, err := engine.ReadCommand(reader)
		if err != nil {
			return
		}
		if command.Name == "fetch" {
			fetch.ID, fetch.At, fetch.TimeLimit = command.ID, time.Now(), timeLimit(command.Fields)
			p.records.addFetch(fetch)
		}
		text := bytes.Clone(consumed.Bytes()[:consumed.Len()-reader.Buffered()])
		consumed.Next(len(text))
		queue <- text
	}
}

// writeCommands writes queued commands whenever the mode allows forwarding.
func (p *Proxy) writeCommands(to net.Conn, queue <-chan []byte) {
	for text := range queue {
		p.awaitForwarding()
		_, _ = to.Write(text) // the reader of answers notices a closed connection
	}
}

// timeLimit returns the engine's time limit from the fields of a fetch command.
func timeLimit(fields string) time.Duration {
	for field := range strings.SplitSeq(fields, ",") {
		if text, found := strings.CutPrefix(field, "w="); found {
			milliseconds, _ := strconv.Atoi(text) // an invalid number gives 0, which is never too much
			return time.Duration(milliseconds) * time.Millisecond
		}
	}
	return 0
}

// close stops the proxy and resets its connections.
func (p *Proxy) close() {
	_ = p.listener.Close() // an error does not affect open connections
	p.setMode(ProxyReset)
}

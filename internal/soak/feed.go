package soak

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// feedHeartbeat is the time between heartbeat lines, which carry the number of the last event.
const feedHeartbeat = time.Second

// entry is an engine's entry in the endpoint list.
type entry struct {
	name    string
	address string
	kind    string
	state   string
	start   time.Time // zero: long ago
}

func (e entry) text() string {
	bornMS := int64(0)
	if !e.start.IsZero() {
		bornMS = e.start.UnixMilli()
	}
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"here","class":%q,"block":0,"health":%q,"share":1,"born_ms":%d}`,
		e.name, e.address, e.kind, e.state, bornMS)
}

// event is an event of the feed, with its entries.
type event struct {
	line    string
	entries []entry
}

// Feed is the feed of all controllers. Each controller has its own servers, so that it is known when it was notified of
// what, and so that the feed can fail for one controller only. It is safe for concurrent use.
type Feed struct {
	records *Records

	mu          sync.Mutex
	events      []event // the first event has number 1
	feedServers []*feedServer
}

// feedServer serves the feed to one controller.
type feedServer struct {
	feed       *Feed
	controller int
	listener   net.Listener

	isDown   bool             // connections are closed at once
	isSilent bool             // connections stay open, but nothing is sent
	piece    int              // number of bytes per write; 0: a whole line
	conns    map[net.Conn]int // number of the last event sent to each connection
}

// open starts a server for a controller.
func (f *Feed) open(controller int, address string) (*feedServer, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	e := &feedServer{feed: f, controller: controller, listener: listener, conns: map[net.Conn]int{}}
	f.mu.Lock()
	f.feedServers = append(f.feedServers, e)
	f.mu.Unlock()
	go e.accept()
	go e.heartbeat()
	return e, nil
}

// add adds an event and sends it to all connections.
func (f *Feed) add(complete bool, entries ...entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var texts []string
	for _, e := range entries {
		texts = append(texts, e.text())
	}
	number := len(f.events) + 1
	f.events = append(f.events, event{entries: entries, line: fmt.Sprintf(
		`{"n":%d,"members":{"seq":%d,"whole":%v,"hosts":[%s]}}`, number, number, complete, strings.Join(texts, ","))})
	for _, e := range f.feedServers {
		e.sendAll()
	}
}

// known returns the lines of all events so far, for a controller's configuration, and records that the controller was
// notified of them.
func (f *Feed) known(controller int) (lines []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, event := range f.events {
		lines = append(lines, event.line)
		f.recordNotified(controller, i, time.Now())
	}
	return lines
}

// recordNotified records that a controller was notified of the event at index, by a write that began at begunAt. f.mu
// must be held.
func (f *Feed) recordNotified(controller, index int, begunAt time.Time) {
	for _, e := range f.events[index].entries {
		f.records.addChange(Change{Engine: e.name, Controller: controller, State: e.state, Start: e.start,
			BegunAt: begunAt, At: time.Now()})
	}
}

// fail sets how the feed fails for the controller. With zero values it does not fail.
func (e *feedServer) fail(isDown, isSilent bool, piece int) {
	e.feed.mu.Lock()
	defer e.feed.mu.Unlock()
	e.isDown = isDown
	e.isSilent = isSilent
	e.piece = piece
	if isDown {
		for conn := range e.conns {
			_ = conn.Close() // the peer may have closed it
		}
	}
	e.sendAll()
}

func (e *feedServer) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

func (e *feedServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	var last int
	if _, err := fmt.Sscanf(line, "SUB %d", &last); err != nil {
		return
	}
	e.feed.mu.Lock()
	if e.isDown {
		e.feed.mu.Unlock()
		return
	}
	e.conns[conn] = last
	e.send(conn)
	e.feed.mu.Unlock()
	_, _ = reader.ReadByte() // the controller sends nothing more, so this blocks until the connection closes
	e.feed.mu.Lock()
	defer e.feed.mu.Unlock()
	delete(e.conns, conn)
}

// sendAll sends new events to all connections. The feed's mu must be held.
func (e *feedServer) sendAll() {
	for conn := range e.conns {
		e.send(conn)
	}
}

// send sends the events not yet sent to a connection. The feed's mu must be held.
func (e *feedServer) send(conn net.Conn) {
	for !e.isSilent && !e.isDown && e.conns[conn] < len(e.feed.events) {
		index := e.conns[conn]
		e.conns[conn]++
		begunAt := time.Now()
		e.write(conn, e.feed.events[index].line)
		e.feed.recordNotified(e.controller, index, begunAt)
	}
}

// write writes a line, in pieces if piece is set. The feed's mu must be held.
func (e *feedServer) write(conn net.Conn, line string) {
	text := line + "\n"
	for e.piece > 0 && len(text) > e.piece {
		_, _ = conn.Write([]byte(text[:e.piece])) // the goroutine serving the connection closes it on errors
		text = text[e.piece:]
	}
	_, _ = conn.Write([]byte(text)) // likewise
}

func (e *feedServer) heartbeat() {
	for range time.Tick(feedHeartbeat) {
		e.feed.mu.Lock()
		for conn := range e.conns {
			if !e.isSilent {
				e.write(conn, fmt.Sprintf(`{"n":%d}`, len(e.feed.events)))
			}
		}
		e.feed.mu.Unlock()
	}
}

package soak

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// feedHeartbeat is from one line with the number of the last event to the next.
const feedHeartbeat = time.Second

// entry is an engine as the feed lists it.
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

// event is a change of the list, with the entries that it has.
type event struct {
	line    string
	entries []entry
}

// Feed is the control feed as each controller reaches it: at an address of its own, so that it is known what it was
// told when, and so that it can fail for one. It is safe for concurrent use.
type Feed struct {
	records *Records

	mu        sync.Mutex
	events    []event // the first has number 1
	entrances []*entrance
}

// entrance is where one controller reaches the feed.
type entrance struct {
	feed       *Feed
	controller int
	listener   net.Listener

	isDown   bool // connections are closed at once
	isSilent bool // connections stand, nothing is sent
	piece    int  // bytes sent at once; 0: a whole line
	conns    map[net.Conn]int
}

// open listens for a controller.
func (f *Feed) open(controller int, address string) (*entrance, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	e := &entrance{feed: f, controller: controller, listener: listener, conns: map[net.Conn]int{}}
	f.mu.Lock()
	f.entrances = append(f.entrances, e)
	f.mu.Unlock()
	go e.accept()
	go e.heartbeat()
	return e, nil
}

// add adds an event, and sends it to all that are connected.
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
	for _, e := range f.entrances {
		e.sendAll()
	}
}

// known returns all events so far as a configuration has them, and records that a controller was told them.
func (f *Feed) known(controller int) (lines []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, event := range f.events {
		lines = append(lines, event.line)
		f.recordNotified(controller, i, time.Now())
	}
	return lines
}

// recordNotified records that a controller was told an event, by its index, since its writing began. The lock is held.
func (f *Feed) recordNotified(controller, index int, begunAt time.Time) {
	for _, e := range f.events[index].entries {
		f.records.addChange(Change{Engine: e.name, Controller: controller, State: e.state, Start: e.start,
			BegunAt: begunAt, At: time.Now()})
	}
}

// fail sets how the feed fails for a controller; the zero values: it does not.
func (e *entrance) fail(isDown, isSilent bool, piece int) {
	e.feed.mu.Lock()
	defer e.feed.mu.Unlock()
	e.isDown = isDown
	e.isSilent = isSilent
	e.piece = piece
	if isDown {
		for conn := range e.conns {
			_ = conn.Close() // its peer may have closed it
		}
	}
	e.sendAll()
}

func (e *entrance) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

func (e *entrance) serve(conn net.Conn) {
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
	_, _ = reader.ReadByte() // nothing more comes: it returns with the connection's end
	e.feed.mu.Lock()
	defer e.feed.mu.Unlock()
	delete(e.conns, conn)
}

// sendAll sends what is new to all connections. The feed's lock is held.
func (e *entrance) sendAll() {
	for conn := range e.conns {
		e.send(conn)
	}
}

// send sends the events that a connection lacks. The feed's lock is held.
func (e *entrance) send(conn net.Conn) {
	for !e.isSilent && !e.isDown && e.conns[conn] < len(e.feed.events) {
		index := e.conns[conn]
		e.conns[conn]++
		begunAt := time.Now()
		e.write(conn, e.feed.events[index].line)
		e.feed.recordNotified(e.controller, index, begunAt)
	}
}

// write writes a line, in pieces where it is so set. The feed's lock is held.
func (e *entrance) write(conn net.Conn, line string) {
	text := line + "\n"
	for e.piece > 0 && len(text) > e.piece {
		_, _ = conn.Write([]byte(text[:e.piece])) // one that has broken is closed by its own goroutine
		text = text[e.piece:]
	}
	_, _ = conn.Write([]byte(text)) // likewise
}

func (e *entrance) heartbeat() {
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

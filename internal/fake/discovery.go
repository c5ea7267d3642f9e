package fake

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// discoveryHeartbeat is from one line with the number of the last event to the next.
const discoveryHeartbeat = time.Second

// Discovery is a discovery server: it sends each connection the events that follow the number that it subscribed
// with, one JSON object a line, and later ones as they are added.
type Discovery struct {
	listener  net.Listener
	serving   sync.WaitGroup
	done      chan struct{}
	closeOnce sync.Once

	mu            sync.Mutex
	firstNumber   int      // of the first event
	events        []string // their lines
	delivered     map[net.Conn]int
	subscriptions []int // the number of each SUB so far
}

// StartDiscovery listens at an address; the first event that is added gets the number first.
func StartDiscovery(address string, first int) (*Discovery, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &Discovery{listener: listener, firstNumber: first, delivered: map[net.Conn]int{}, done: make(chan struct{})}
	d.serving.Go(d.accept)
	d.serving.Go(d.heartbeat)
	return d, nil
}

// Address is where it listens.
func (d *Discovery) Address() string { return d.listener.Addr().String() }

func (d *Discovery) accept() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.serving.Go(func() { d.serve(conn) })
	}
}

// serve takes a subscription and keeps the connection until its end. A line that is no subscription ends it.
func (d *Discovery) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	var last int
	if _, err := fmt.Sscanf(strings.TrimSpace(line), "SUB %d", &last); err != nil {
		return
	}
	d.subscribe(conn, last)
	_, _ = reader.ReadByte() // nothing more comes: this returns with the connection's end
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.delivered, conn)
}

func (d *Discovery) subscribe(conn net.Conn, last int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscriptions = append(d.subscriptions, last)
	d.delivered[conn] = last
	d.send(conn)
}

// lastNumber is that of the last event. The lock is held.
func (d *Discovery) lastNumber() int { return d.firstNumber + len(d.events) - 1 }

// send writes the events that a connection lacks. The lock is held.
func (d *Discovery) send(conn net.Conn) {
	for d.delivered[conn] < d.lastNumber() {
		d.delivered[conn]++
		writeLine(conn, d.events[d.delivered[conn]-d.firstNumber])
	}
}

// writeLine writes a line to a connection; one that has broken is closed by its own goroutine.
func writeLine(conn net.Conn, line string) { _, _ = fmt.Fprintf(conn, "%s\n", line) }

// AddEvent adds a change of the endpoint list, or, where complete, the whole of it; hosts is a JSON array. It returns
// the event's line.
func (d *Discovery) AddEvent(complete bool, hosts string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	number := d.lastNumber() + 1
	line := fmt.Sprintf(`{"n":%d,"members":{"seq":%d,"whole":%v,"hosts":%s}}`, number, number, complete, hosts)
	d.events = append(d.events, line)
	for conn := range d.delivered {
		d.send(conn)
	}
	return line
}

// AddRaw adds the line of an event as it is, without sending it to those connected: one that another server has sent
// before.
func (d *Discovery) AddRaw(line string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, line)
}

// DropConnections closes all connections, and returns what Subscriptions does.
func (d *Discovery) DropConnections() []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.delivered {
		_ = conn.Close() // its peer may have closed it
	}
	return slices.Clone(d.subscriptions)
}

// Replay writes all events once more to every connection, or, where half, the first half of the last one, and closes
// them.
func (d *Discovery) Replay(half bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	text := strings.Join(d.events, "\n") + "\n"
	if half {
		last := d.events[len(d.events)-1]
		text = last[:len(last)/2]
	}
	for conn := range d.delivered {
		_, _ = fmt.Fprint(conn, text) // see writeLine
		if half {
			_ = conn.Close() // its peer may have closed it
		}
	}
}

// Subscriptions returns the number of each SUB so far.
func (d *Discovery) Subscriptions() []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.subscriptions)
}

// Write writes a text as it is to every connection.
func (d *Discovery) Write(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.delivered {
		_, _ = fmt.Fprint(conn, text) // see writeLine
	}
}

func (d *Discovery) heartbeat() {
	tick := time.NewTicker(discoveryHeartbeat)
	defer tick.Stop()
	for {
		select {
		case <-d.done:
			return
		case <-tick.C:
			d.sendHeartbeat()
		}
	}
}

func (d *Discovery) sendHeartbeat() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.delivered {
		writeLine(conn, fmt.Sprintf(`{"n":%d}`, d.lastNumber()))
	}
}

// Close ends the server and its connections. It may be called again.
func (d *Discovery) Close() {
	d.closeOnce.Do(func() {
		_ = d.listener.Close() // connections that it has not accepted are reset
		close(d.done)
		d.DropConnections()
		d.serving.Wait()
	})
}

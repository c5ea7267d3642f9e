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

// discoveryHeartbeatInterval is the time between heartbeat lines, which carry the number of the last event.
const discoveryHeartbeatInterval = time.Second

// Discovery is a fake discovery server. It sends each subscriber the events after the number given in its SUB line, one
// JSON object per line, and then new events as they are added.
type Discovery struct {
	listener  net.Listener
	serving   sync.WaitGroup
	done      chan struct{}
	closeOnce sync.Once

	mu            sync.Mutex
	firstNumber   int              // number of the first event
	events        []string         // as JSON lines
	delivered     map[net.Conn]int // number of the last event sent to each subscriber
	subscriptions []int            // numbers given in the SUB lines received so far
}

// StartDiscovery listens on an address. The first event added gets the number first.
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

// Address returns the listen address.
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

// serve reads a subscription and holds the connection until the peer closes it. It closes the connection if the first
// line is not a subscription.
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
	_, _ = reader.ReadByte() // subscribers send nothing more, so this blocks until the connection closes
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

// lastNumber returns the number of the last event. d.mu must be held.
func (d *Discovery) lastNumber() int { return d.firstNumber + len(d.events) - 1 }

// send writes the events not yet sent to a connection. d.mu must be held.
func (d *Discovery) send(conn net.Conn) {
	for d.delivered[conn] < d.lastNumber() {
		d.delivered[conn]++
		writeLine(conn, d.events[d.delivered[conn]-d.firstNumber])
	}
}

// writeLine writes a line to a connection. Write errors are ignored: the goroutine serving the connection closes it.
func writeLine(conn net.Conn, line string) { _, _ = fmt.Fprintf(conn, "%s\n", line) }

// AddEvent adds an event that changes the endpoint list, or replaces it if complete is true. hosts is a JSON array. It
// returns the event as a JSON line.
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

// AddKnownEvent adds the JSON line of an event that another server has already sent. It does not send it to current
// subscribers.
func (d *Discovery) AddKnownEvent(line string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, line)
}

// DropConnections closes all connections and returns the same list as Subscriptions.
func (d *Discovery) DropConnections() []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.delivered {
		_ = conn.Close() // the peer may have closed it
	}
	return slices.Clone(d.subscriptions)
}

// Replay sends all events again to every connection. If half is true, it sends only the first half of the last event
// and closes the connections.
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
			_ = conn.Close() // the peer may have closed it
		}
	}
}

// Subscriptions returns the event number of each SUB line received so far.
func (d *Discovery) Subscriptions() []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.subscriptions)
}

// Write sends raw text to every connection.
func (d *Discovery) Write(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.delivered {
		_, _ = fmt.Fprint(conn, text) // see writeLine
	}
}

func (d *Discovery) heartbeat() {
	tick := time.NewTicker(discoveryHeartbeatInterval)
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

// Close stops the server and closes its connections. It is idempotent.
func (d *Discovery) Close() {
	d.closeOnce.Do(func() {
		_ = d.listener.Close() // the kernel resets connections that were not yet accepted
		close(d.done)
		d.DropConnections()
		d.serving.Wait()
	})
}

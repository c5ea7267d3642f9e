package fake

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Feed is a control feed with the events that were added.
type Discovery struct {
	listener net.Listener

	mu            sync.Mutex
	firstNumber   int      // the number of the first event kept
	events        []string // JSON objects, one a line
	conns         map[net.Conn]int
	subscriptions []int // the number of every SUB
	running       sync.WaitGroup
	done          chan struct{}
	once          sync.Once
}

// StartFeed listens at an address; the first event added gets the number first.
func StartDiscovery(address string, first int) (*Discovery, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f := &Discovery{listener: l, firstNumber: first, conns: map[net.Conn]int{}, done: make(chan struct{})}
	f.running.Add(2)
	go f.accept()
	go f.heartbeat()
	return f, nil
}

// Address is where it listens.
func (f *Discovery) Address() string { return f.listener.Addr().String() }

func (f *Discovery) accept() {
	defer f.running.Done()
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.running.Add(1)
		go func() {
			defer f.running.Done()
			f.serve(conn)
		}()
	}
}

func (f *Discovery) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	line, err := r.ReadString('\n')
	var last int
	if _, bad := fmt.Sscanf(strings.TrimSpace(line), "SUB %d", &last); err != nil || bad != nil {
		return
	}
	f.mu.Lock()
	f.subscriptions = append(f.subscriptions, last)
	f.conns[conn] = last
	f.send(conn)
	f.mu.Unlock()
	r.ReadByte() // nothing more comes: this ends with the connection
	f.mu.Lock()
	delete(f.conns, conn)
	f.mu.Unlock()
}

// send writes what a connection has not got. The lock is held.
func (f *Discovery) send(conn net.Conn) {
	for f.conns[conn] < f.firstNumber+len(f.events)-1 {
		f.conns[conn]++
		fmt.Fprintf(conn, "%s\n", f.events[f.conns[conn]-f.firstNumber])
	}
}

// Add adds a change of the list: hosts as a JSON array. It tells the event's text.
func (f *Discovery) AddEvent(whole bool, hosts string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.firstNumber + len(f.events)
	text := fmt.Sprintf(`{"n":%d,"members":{"seq":%d,"whole":%v,"hosts":%s}}`, n, n, whole, hosts)
	f.events = append(f.events, text)
	for conn := range f.conns {
		f.send(conn)
	}
	return text
}

// Load adds an event's text as it is: one that another feed told before.
func (f *Discovery) AddRaw(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, text)
}

// Cut breaks the connections; each SUB so far is told.
func (f *Discovery) DropConnections() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn := range f.conns {
		conn.Close()
	}
	return append([]int{}, f.subscriptions...)
}

// Replay writes all events again, or the first half of the last one, to every connection.
func (f *Discovery) Replay(half bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	text := strings.Join(f.events, "\n") + "\n"
	if half {
		text = f.events[len(f.events)-1]
		text = text[:len(text)/2]
	}
	for conn := range f.conns {
		fmt.Fprint(conn, text)
		if half {
			conn.Close()
		}
	}
}

// Told gives the number of every SUB so far.
func (f *Discovery) Subscriptions() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]int{}, f.subscriptions...)
}

// Write writes bytes as they are to every connection.
func (f *Discovery) Write(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn := range f.conns {
		fmt.Fprint(conn, text)
	}
}

func (f *Discovery) heartbeat() {
	defer f.running.Done()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-f.done:
			return
		case <-tick.C:
		}
		f.mu.Lock()
		for conn := range f.conns {
			fmt.Fprintf(conn, "{\"n\":%d}\n", f.firstNumber+len(f.events)-1)
		}
		f.mu.Unlock()
	}
}

// Close ends the feed.
func (f *Discovery) Close() {
	f.once.Do(func() {
		f.listener.Close()
		close(f.done)
		f.DropConnections()
		f.running.Wait()
	})
}

//go:build review2

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// feed is a stand-in for the endpoint feed: it sends what a subscriber lacks, and the last number each second.
type feed struct {
	rec      *record
	listener net.Listener

	mu     sync.Mutex
	events []string // from number 2 on; the first is in the configuration
	conns  map[net.Conn]int
}

func startFeed(rec *record) (*feed, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, setupf("%v", err)
	}
	f := &feed{rec: rec, listener: listener, conns: map[net.Conn]int{}}
	go f.accept()
	go f.beat()
	return f, nil
}

func (f *feed) last() int { return 1 + len(f.events) }

func (f *feed) accept() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.serve(conn)
	}
}

func (f *feed) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	known := 0
	if _, scanErr := fmt.Sscanf(strings.TrimSpace(line), "SUB %d", &known); err != nil || scanErr != nil {
		return
	}
	f.mu.Lock()
	f.conns[conn] = known
	f.send(conn)
	f.mu.Unlock()
	_, _ = reader.ReadString('\n') // returns when the controller closes the connection
	f.mu.Lock()
	delete(f.conns, conn)
	f.mu.Unlock()
}

// send sends what a subscriber lacks. The lock is held.
func (f *feed) send(conn net.Conn) {
	for n := f.conns[conn] + 1; n <= f.last(); n++ {
		_, _ = fmt.Fprintf(conn, "%s\n", f.events[n-2])
		f.conns[conn] = n
	}
}

func (f *feed) beat() {
	for range time.Tick(time.Second) {
		f.mu.Lock()
		for conn := range f.conns {
			_, _ = fmt.Fprintf(conn, "%d\n", f.last())
		}
		f.mu.Unlock()
	}
}

// tell adds an event with changed entries.
func (f *feed) tell(hosts ...map[string]any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	number := f.last() + 1
	text, _ := json.Marshal(map[string]any{"n": number,
		"members": map[string]any{"seq": number, "whole": false, "hosts": hosts}})
	f.events = append(f.events, string(text))
	f.rec.line("feed: %s", text)
	for conn := range f.conns {
		f.send(conn)
	}
}

func (f *feed) close() { _ = f.listener.Close() }

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"swiftreel/internal/assignment"
	"swiftreel/internal/canary"
	"swiftreel/internal/change"
	"swiftreel/internal/monotonic"
	"swiftreel/internal/supervisor"
)

const (
	groupsPerListener   = 6 // groups of type and tenant in each status
	typesPerListener    = 3
	jobsPerSecond       = 7
	latencyBuckets      = 60
	bucketsBetweenTypes = 5
	enginesPerListener  = 300
)

// listener simulates a supervisor: it serves a status and accepts assignments with the real fence.
type listener struct {
	name      string
	startedAt time.Time

	mu          sync.Mutex
	accepted    assignment.Accepted
	assignments int // accepted so far
}

func newListener(name string) *listener { return &listener{name: name, startedAt: time.Now()} }

func (l *listener) registerHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/status", l.serveStatus)
	mux.HandleFunc("POST /v1/word", l.serveAssignment)
}

func (l *listener) serveStatus(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(l.status()) // fails only if the client has disconnected
}

func (l *listener) status() supervisor.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := monotonic.Now()
	status := supervisor.Status{
		Format:           change.Format,
		Name:             l.name,
		Incarnation:      l.name,
		MonotonicNS:      now,
		Assignment:       l.accepted.ValidAt(now),
		Serving:          true,
		ReadyEngineCount: enginesPerListener,
		StartedUnixNS:    1,
		JobCounts:        map[canary.Group]canary.JobCounts{},
	}
	jobs := uint64(time.Since(l.startedAt).Seconds()*jobsPerSecond) + 1
	for i := range groupsPerListener {
		latencies := make([]uint64, latencyBuckets)
		latencies[i*bucketsBetweenTypes] = jobs
		group := canary.Group{Type: fmt.Sprint("type", i%typesPerListener), Tenant: fmt.Sprint("tenant", i)}
		status.JobCounts[group] = canary.JobCounts{
			Jobs: jobs, WithinSLA: jobs, Done: jobs, Dispatches: jobs, LatencyBuckets: latencies,
		}
	}
	return status
}

func (l *listener) serveAssignment(w http.ResponseWriter, r *http.Request) {
	next, err := assignment.Read(r.Body)
	if err == nil {
		err = l.accept(next)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *listener) accept(next assignment.Assignment) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	accepted, err := l.accepted.Accept(next, l.name, l.name, monotonic.Now())
	if err != nil {
		return err
	}
	l.accepted = accepted
	l.assignments++
	return nil
}

func (l *listener) assignmentCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.assignments
}

// countingListener counts the bytes on its connections, in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener. It wraps the connection to count its bytes.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn and counts the bytes read.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn and counts the bytes written.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

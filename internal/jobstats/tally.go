// Package jobstats counts what became of a controller's jobs, by reservation type and tenant, and tells it over HTTP to who
// compares controllers. Off, nothing is counted.
package jobstats

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"swiftreel/internal/canary"
	"swiftreel/internal/change"
)

// Latencies are counted in microseconds up to an hour, to one digit.
const (
	mostLatency = int64(time.Hour / time.Microsecond)
	digits      = 1
)

// How a job ended for its client.
type How uint8

// The ways. Left: the client went away before its answer, which counts as missed.
const (
	Done How = iota
	Throttled
	Cancelled
	Left
)

// Book holds the counts since the start. It has an entry for each type and tenant of the settings, no more: jobs of others
// are refused before they are counted.
type Book struct {
	mu     sync.Mutex
	groups map[canary.Group]*entry
	probes uint64
}

type entry struct {
	work canary.Work
	took *hdrhistogram.Histogram
}

// NewBook is empty.
func NewBook() *Book { return &Book{groups: map[canary.Group]*entry{}} }

// Answered counts a job; a nil book counts nothing.
func (b *Book) Answered(g canary.Group, how How, took time.Duration, within bool, dispatches uint64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.groups[g]
	if e == nil {
		e = &entry{took: hdrhistogram.New(1, mostLatency, digits)}
		b.groups[g] = e
	}
	e.work.Jobs++
	e.work.Dispatches += dispatches
	e.work.Further += dispatches - min(1, dispatches)
	switch how {
	case Done:
		e.work.Done++
		if within {
			e.work.Within++
		}
		e.took.RecordValue(min(mostLatency, max(1, took.Microseconds()))) // within its bounds: it cannot fail
	case Throttled:
		e.work.Throttled++
	case Cancelled:
		e.work.Cancelled++
	}
}

// Probe counts a probe sent.
func (b *Book) Probe() {
	if b != nil {
		b.mu.Lock()
		b.probes++
		b.mu.Unlock()
	}
}

// Report is what a controller tells of itself. Counts are since its start; a reader that knows it by Started takes
// differences.
type Report struct {
	Format   int                          `json:"format"`
	Started  int64                        `json:"started"` // Unix ns by its own clock: a name, not a time to compare
	Version  string                       `json:"version"`
	Spec     change.Digest                `json:"spec"`     // as the operator's file in force tells it
	Settings change.Digest                `json:"settings"` // of the settings in force
	Ready    bool                         `json:"ready"`
	Owed     int64                        `json:"owed"` // answers
	Refused  uint64                       `json:"reloads_failed"`
	Probes   uint64                       `json:"probes"`
	Aside    int                          `json:"aside"`             // engines set aside now
	Learned  json.RawMessage              `json:"learned,omitempty"` // by type, for a newer process of the same controller
	Health   json.RawMessage              `json:"health,omitempty"`  // of engines, by name, for the same
	Work     map[canary.Group]canary.Work `json:"work"`
	Engines  []string                     `json:"engines,omitempty"`   // that are ready, in order of their names
	Carries  int64                        `json:"carries_per_million"` // of the fleet, as the module goes by
}

// Part is what the controller carries of the fleet and of tenants' quotas, in millionths, until a time of the machine's clock.
type Part struct {
	PerMillion int64            `json:"per_million"`
	Quotas     map[string]int64 `json:"quotas,omitempty"`
	UntilNS    int64            `json:"until_boot_ns"`
}

// mostPart bounds a part's text.
const mostPart = 1 << 20

// sound tells whether it is one.
func (p Part) sound() bool {
	ok := p.PerMillion > 0 && p.PerMillion <= 1_000_000 && p.UntilNS > 0
	for _, n := range p.Quotas {
		ok = ok && n >= 0 && n <= 1_000_000
	}
	return ok
}

// Fill puts the counts into a report.
func (b *Book) Fill(r *Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.Format, r.Probes, r.Work = change.Format, b.probes, make(map[canary.Group]canary.Work, len(b.groups))
	for g, e := range b.groups {
		w := e.work
		for i, n := range e.took.Export().Counts {
			if n > 0 {
				for len(w.Took) <= i {
					w.Took = append(w.Took, 0)
				}
				w.Took[i] = uint64(n)
			}
		}
		r.Work[g] = w
	}
}

// Quantile is the latency under which so many percent of counted jobs stayed, to one digit; 0 where there are none.
func Quantile(took []uint64, percent float64) time.Duration {
	counts := make([]int64, len(hdrhistogram.New(1, mostLatency, digits).Export().Counts))
	for i := range min(len(took), len(counts)) {
		counts[i] = int64(took[i])
	}
	h := hdrhistogram.Import(&hdrhistogram.Snapshot{LowestTrackableValue: 1, HighestTrackableValue: mostLatency, SignificantFigures: digits, Counts: counts})
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

// Server tells reports.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// Serve tells what report gives, at GET /tally, and hands on parts that come at POST /part, until closed.
func Serve(address string, report func() Report, part func(Part)) (*Server, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tally", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(report())
	})
	mux.HandleFunc("POST /part", func(w http.ResponseWriter, r *http.Request) {
		var p Part
		if err := json.NewDecoder(io.LimitReader(r.Body, mostPart)).Decode(&p); err != nil || !p.sound() {
			http.Error(w, "no part", http.StatusUnprocessableEntity)
			return
		}
		part(p)
		w.WriteHeader(http.StatusNoContent)
	})
	s := &Server{l, &http.Server{Handler: mux, ReadTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 8 << 10}}
	go s.http.Serve(l)
	return s, nil
}

// Address is where.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends it.
func (s *Server) Close() { s.http.Close() }

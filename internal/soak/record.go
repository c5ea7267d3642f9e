package soak

import (
	"fmt"
	"sync"
	"time"
)

// Outcome is what a client saw of a call.
type Outcome string

// The outcomes.
const (
	Unanswered Outcome = ""          // the connection stands, no answer came
	Served     Outcome = "served"    // a result
	Refused    Outcome = "refused"   // trying again is harmless
	Failed     Outcome = "failed"    // any other error
	Left       Outcome = "left"      // the client closed or revoked before an answer
	Broken     Outcome = "broken"    // the connection ended before an answer
	Crossed    Outcome = "crossed"   // it crossed the close of a resting connection: the client sends it again
	Unreadable Outcome = "malformed" // an answer that cannot be read
)

// Call is one call as its client saw it.
type Call struct {
	ID         string
	Type       string
	Key        string // order key; empty: none
	Controller int
	Connection string // of the client
	Timeout    time.Duration

	ConnectedAt time.Time
	BegunAt     time.Time // the write of its last byte began: from then on a controller may have taken it
	SentAt      time.Time // its last byte was written
	EndedAt     time.Time // of the outcome
	Outcome     Outcome
	Answers     int // that came under its id

	LocalAddress string // of the client's end of its connection
	IsFirst      bool   // nothing was sent before it on its connection
	SentWith     int    // how many calls were written at once, with this one
}

// Fetch is a dispatch that came to an engine's address.
type Fetch struct {
	ID          string
	Engine      string
	Incarnation int // of the engine's process
	Controller  string
	At          time.Time // its command was read whole
	Given       time.Duration

	AcceptedAt time.Time // the connection, by the proxy
	ReadFrom   time.Time // the proxy began to read it
}

// String tells of the dispatch's time, and of that of its connection.
func (f Fetch) String() string {
	return fmt.Sprintf("at %s on a connection accepted %v and read since %v before", clock(f.At), f.At.Sub(f.AcceptedAt),
		f.At.Sub(f.ReadFrom))
}

// Execution is a dispatch that an engine's process began.
type Execution struct {
	ID          string    `json:"id"`
	Engine      string    `json:"engine"`
	Incarnation int       `json:"incarnation"`
	Refused     bool      `json:"refused"` // it answered that it is full, and ran nothing
	BeganAt     time.Time `json:"began"`
}

// Change is a state of an engine that a controller was told.
type Change struct {
	Engine     string
	Controller int
	State      string
	Start      time.Time // of the engine; zero: long ago
	BegunAt    time.Time // it began to be written to the controller's feed, or to its configuration
	At         time.Time // it was written
}

// Interval is a time in which something held.
type Interval struct{ From, To time.Time }

// Records are all that was recorded in a run. They are safe for concurrent use.
type Records struct {
	mu            sync.Mutex
	calls         []*Call
	fetches       []Fetch
	executions    []Execution
	changes       []Change
	pauses        map[int][]Interval // of controllers' processes
	acceptOutages map[int][]Interval // times in which controllers could not accept connections
	idleFloods    map[int][]Interval // times in which idle clients filled controllers' descriptors
	closes        map[int]map[string]string
	pairs         map[string]int // placed pairs of faults that were played, by name
	kills         map[int][]time.Time
	stops         map[int][]time.Time // SIGTERM
	processStarts map[int][]time.Time // of controllers' processes, in order
	stopKills     int                 // processes that were killed as they had not ended after SIGTERM
	failures      []string            // processes that did what they must not
	stalls        []Interval          // of the recording process itself: times recorded then are late
}

func newRecords() *Records {
	return &Records{
		pauses:        map[int][]Interval{},
		acceptOutages: map[int][]Interval{},
		idleFloods:    map[int][]Interval{},
		closes:        map[int]map[string]string{},
		pairs:         map[string]int{},
		kills:         map[int][]time.Time{},
		stops:         map[int][]time.Time{},
		processStarts: map[int][]time.Time{},
	}
}

func (r *Records) addCall(c *Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

func (r *Records) addFetch(f Fetch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fetches = append(r.fetches, f)
}

func (r *Records) addExecution(e Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions = append(r.executions, e)
}

func (r *Records) addChange(c Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, c)
}

// beginPause records that a controller's process is paused from now on, until the returned function is called.
func (r *Records) beginPause(controller int) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	index := len(r.pauses[controller])
	now := time.Now()
	r.pauses[controller] = append(r.pauses[controller], Interval{From: now, To: now.Add(farAhead)})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.pauses[controller][index].To = time.Now()
	}
}

func (r *Records) addPause(controller int, pause Interval) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pauses[controller] = append(r.pauses[controller], pause)
}

func (r *Records) addIdleFlood(controller int, flood Interval) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idleFloods[controller] = append(r.idleFloods[controller], flood)
}

// addClose records what a controller logs of a connection that it has closed, by its client's address.
func (r *Records) addClose(controller int, address, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closes[controller] == nil {
		r.closes[controller] = map[string]string{}
	}
	r.closes[controller][address] = text
}

func (r *Records) addPair(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pairs[name]++
}

func (r *Records) addAcceptOutage(controller int, outage Interval) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acceptOutages[controller] = append(r.acceptOutages[controller], outage)
}

func (r *Records) addKill(controller int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kills[controller] = append(r.kills[controller], at)
}

func (r *Records) addStart(controller int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processStarts[controller] = append(r.processStarts[controller], at)
}

func (r *Records) addStop(controller int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops[controller] = append(r.stops[controller], at)
}

func (r *Records) addStopKill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopKills++
}

// pausedSince is for how long a controller's process was paused since a time.
func (r *Records) pausedSince(controller int, since time.Time) (paused time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, pause := range r.pauses[controller] {
		from, to := pause.From, pause.To
		if from.Before(since) {
			from = since
		}
		if to.After(now) {
			to = now
		}
		paused += max(0, to.Sub(from))
	}
	return paused
}

func (r *Records) addStall(stall Interval) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalls = append(r.stalls, stall)
}

func (r *Records) addFailure(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, text)
}

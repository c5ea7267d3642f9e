package soak

import (
	"fmt"
	"sync"
	"time"
)

// Outcome is the outcome of a call as its client saw it.
type Outcome string

// The outcomes.
const (
	Unanswered Outcome = ""          // no answer, though the connection is open
	Served     Outcome = "served"    // got a result
	Refused    Outcome = "refused"   // got an error after which the call may be retried
	Failed     Outcome = "failed"    // got any other error
	Left       Outcome = "left"      // the client disconnected or revoked the call before the answer
	Broken     Outcome = "broken"    // the connection broke before the answer
	Crossed    Outcome = "crossed"   // sent while the controller closed the idle connection; the client resends it
	Malformed  Outcome = "malformed" // got a malformed answer
)

// Call is one call as its client saw it.
type Call struct {
	ID         string
	Type       string
	Key        string // ordering key; empty: none
	Controller int
	Connection string // name of the client's connection
	Timeout    time.Duration

	ConnectedAt time.Time
	BegunAt     time.Time // start of the write of its last byte, from which on a controller may have accepted it
	SentAt      time.Time // end of the write of its last byte
	EndedAt     time.Time // time of the outcome
	Outcome     Outcome
	Answers     int // number of answers to it

	LocalAddress string // address of the client's end of the connection
	IsFirst      bool   // nothing was sent before it on the connection
	BatchSize    int    // how many calls were written at once, including this one
}

// Fetch is a dispatch that reached an engine's address.
type Fetch struct {
	ID          string
	Engine      string
	Incarnation int // of the engine's process
	Controller  string
	At          time.Time // when its command was read completely
	TimeLimit   time.Duration

	AcceptedAt time.Time // when the proxy accepted the connection
	ReadFrom   time.Time // when the proxy began to read from the connection
}

// String describes when the dispatch arrived, and when its connection was accepted.
func (f Fetch) String() string {
	return fmt.Sprintf("at %s on a connection accepted %v earlier and read since %v earlier", clock(f.At),
		f.At.Sub(f.AcceptedAt), f.At.Sub(f.ReadFrom))
}

// Execution is a dispatch that an engine's process began or refused.
type Execution struct {
	ID          string    `json:"id"`
	Engine      string    `json:"engine"`
	Incarnation int       `json:"incarnation"`
	Refused     bool      `json:"refused"` // the engine was full and did not run it
	BeganAt     time.Time `json:"began"`
}

// Change is a change of an engine's state that a controller was notified of.
type Change struct {
	Engine     string
	Controller int
	State      string
	Start      time.Time // start time of the engine; zero: long ago
	BegunAt    time.Time // start of the write to the controller's feed or configuration
	At         time.Time // end of the write
}

// Interval is an interval of time.
type Interval struct{ From, To time.Time }

// Records are the records of a run. They are safe for concurrent use. Maps with int keys are by controller.
type Records struct {
	mu            sync.Mutex
	calls         []*Call
	fetches       []Fetch
	executions    []Execution
	changes       []Change
	pauses        map[int][]Interval        // of controller processes
	acceptOutages map[int][]Interval        // when controllers could not accept connections
	idleFloods    map[int][]Interval        // when idle clients used up controllers' descriptors
	closeReasons  map[int]map[string]string // logged reasons for closing connections, by client address
	pairs         map[string]int            // injected pairs of faults, by name
	kills         map[int][]time.Time
	stops         map[int][]time.Time // times of SIGTERM
	processStarts map[int][]time.Time // of controller processes, in order
	stopKills     int                 // processes killed because they had not exited after SIGTERM
	failures      []string            // process failures, such as crashes and logged errors
	stalls        []Interval          // of the recording process; times recorded during a stall are late
}

func newRecords() *Records {
	return &Records{
		pauses:        map[int][]Interval{},
		acceptOutages: map[int][]Interval{},
		idleFloods:    map[int][]Interval{},
		closeReasons:  map[int]map[string]string{},
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

// beginPause records that a controller's process is paused from now until end is called.
func (r *Records) beginPause(controller int) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	index := len(r.pauses[controller])
	now := time.Now()
	r.pauses[controller] = append(r.pauses[controller], Interval{From: now, To: now.Add(beyondRun)})
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

// addCloseReason records the reason that a controller logged for closing the connection of a client address.
func (r *Records) addCloseReason(controller int, address, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closeReasons[controller] == nil {
		r.closeReasons[controller] = map[string]string{}
	}
	r.closeReasons[controller][address] = text
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

// pausedSince returns how long a controller's process has been paused since a time.
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

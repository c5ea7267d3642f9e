// Package rulecheck finds every broken rule in the logs of stand-ins: clients log the jobs they asked for and the
// answers they got, engines every dispatch that reached them. It knows nothing of how a controller decides: whatever
// forwards jobs is held to the same seven rules.
//
//  1. Each job has one final answer in time, and a result only if an engine ran it.
//  2. A job that may run once does not run twice, and is not throttled once it may have run.
//  3. Nothing reaches an engine that drains or was removed.
//  4. An engine that has just started gets no more work than it can bear.
//  5. Jobs of one order key run one after the other.
//  6. Jobs run only in zones and on kinds of engines that their type allows.
//  7. Retries keep to their budget.
//
// There is no clock: all times are those of the logs, in whole nanoseconds.
package rulecheck

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
)

// Values of Entry.Event.
const (
	Listed     = "listed"   // the endpoint list, as all controllers get it, has this entry of an engine
	Accepted   = "taken"    // a client asked for a job, and it was accepted
	Answered   = "answered" // the client has its final answer
	ClientLeft = "left"     // the client disconnected: no answer is owed, and none may follow
	Reached    = "reached"  // a dispatch came to an engine, which refused it
	Began      = "began"    // a dispatch came to an engine, which began it: from here on it has its effect
	Ended      = "ended"    // the engine ended it, as Answer says
)

// Values of Entry.Answer.
const (
	Done      = "done"
	Throttled = "throttled"
	Cancelled = "cancelled" // for good
	Broken    = "broken"    // whether the controller knows the outcome is unsure
)

// stateReady is the state of an engine that takes jobs; any other does not.
const stateReady = "ready"

// Entry is a line of a log.
type Entry struct {
	TimeNS int64  `json:"t"`
	Event  string `json:"what"`

	Job        string `json:"job,omitempty"` // the same in every log
	Type       string `json:"type,omitempty"`
	Tenant     string `json:"tenant,omitempty"`
	Key        string `json:"key,omitempty"`   // order key
	Front      string `json:"front,omitempty"` // the controller that accepted it: order holds among its jobs
	DeadlineNS int64  `json:"until,omitempty"` // Accepted: the job timeout

	Answer string `json:"answer,omitempty"` // Answered and Ended

	Engine   string `json:"engine,omitempty"`
	Protocol string `json:"protocol,omitempty"`
	Work     int64  `json:"work,omitempty"` // Began: of the dispatch, in ns
	State    string `json:"state,omitempty"`
	Zone     string `json:"zone,omitempty"`
	Kind     string `json:"kind,omitempty"`
	Group    string `json:"group,omitempty"`   // engines that drop repeats together
	Started  int64  `json:"started,omitempty"` // when the engine started; 0: long ago
	Cores    int64  `json:"cores,omitempty"`
}

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Read reads a log of JSON lines; empty lines are skipped. An error names the line.
func Read(from io.Reader) ([]Entry, error) {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLineBytes)
	var log []Entry
	for line := 1; scanner.Scan(); line++ {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		var entry Entry
		if err := json.Unmarshal(scanner.Bytes(), &entry); err != nil {
			return log, fmt.Errorf("line %d: %w", line, err)
		}
		log = append(log, entry)
	}
	return log, scanner.Err()
}

// eventOrder is the order of events of the same time that breaks no rule by itself: what ends comes before what begins.
var eventOrder = map[string]int{
	Listed:     0,
	Accepted:   1,
	Ended:      2,
	Answered:   3,
	ClientLeft: 3,
	Reached:    4,
	Began:      4,
}

// Merge puts logs in one order: by time, then by eventOrder, then as they were.
func Merge(logs ...[]Entry) []Entry {
	merged := slices.Concat(logs...)
	slices.SortStableFunc(merged, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.TimeNS, b.TimeNS), cmp.Compare(eventOrder[a.Event], eventOrder[b.Event]))
	})
	return merged
}

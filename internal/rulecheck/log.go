// Package rulecheck finds every rule violation in the logs of fake clients and engines. Clients log the jobs they
// request and the answers they get, engines log every dispatch that reaches them. The check does not depend on how a
// controller makes decisions: anything that forwards jobs can be checked against the same seven rules.
//
//  1. Each job gets one final answer in time, and a result only if an engine ran it.
//  2. A run-once job does not run twice, and is not throttled once it may have run.
//  3. No dispatch reaches an engine that is draining or was removed.
//  4. A newly started engine gets no more work than its capacity while it warms up.
//  5. Jobs with the same ordering key run one after the other.
//  6. Jobs run only in zones and on kinds of engines that their type allows.
//  7. Retries stay within their budget.
//
// The check reads no clock. All times are those of the logs, in nanoseconds.
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
	Listed     = "listed"   // the endpoint list sent to all controllers has this entry for an engine
	Accepted   = "taken"    // a client requested a job, and it was accepted
	Answered   = "answered" // the client got its final answer
	ClientLeft = "left"     // the client disconnected: no answer is due, and none may follow
	Reached    = "reached"  // a dispatch reached an engine, which refused it
	Began      = "began"    // a dispatch reached an engine, which began it: from here on it may have an effect
	Ended      = "ended"    // the engine ended the dispatch with the outcome in Answer
)

// Values of Entry.Answer.
const (
	Done      = "done"
	Throttled = "throttled"
	Cancelled = "cancelled" // permanently
	Broken    = "broken"    // the controller may not know the outcome
)

// stateReady is the state of an engine that accepts jobs. Engines in any other state do not.
const stateReady = "ready"

// Entry is a line of a log.
type Entry struct {
	TimeNS int64  `json:"t"`
	Event  string `json:"what"`

	Job        string `json:"job,omitempty"` // job ID, the same in every log
	Type       string `json:"type,omitempty"`
	Tenant     string `json:"tenant,omitempty"`
	Key        string `json:"key,omitempty"`   // ordering key
	OrderScope string `json:"front,omitempty"` // scope of the ordering key: a controller or client
	DeadlineNS int64  `json:"until,omitempty"` // Accepted: the job timeout

	Answer string `json:"answer,omitempty"` // Answered and Ended

	Engine   string `json:"engine,omitempty"`
	Protocol string `json:"protocol,omitempty"`
	Work     int64  `json:"work,omitempty"` // Began: work of the dispatch, in ns
	State    string `json:"state,omitempty"`
	Zone     string `json:"zone,omitempty"`
	Kind     string `json:"kind,omitempty"`
	Group    string `json:"group,omitempty"`   // engines of one group drop repeats together
	Started  int64  `json:"started,omitempty"` // when the engine started; 0: long ago
	Cores    int64  `json:"cores,omitempty"`
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Read reads a log of JSON lines and skips empty lines. An error contains the line number.
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

// eventOrder orders events with the same time so that the order itself causes no violation: ends come before begins.
var eventOrder = map[string]int{
	Listed:     0,
	Accepted:   1,
	Ended:      2,
	Answered:   3,
	ClientLeft: 3,
	Reached:    4,
	Began:      4,
}

// Merge merges logs, ordered by time, then by eventOrder, then by their original order.
func Merge(logs ...[]Entry) []Entry {
	merged := slices.Concat(logs...)
	slices.SortStableFunc(merged, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.TimeNS, b.TimeNS), cmp.Compare(eventOrder[a.Event], eventOrder[b.Event]))
	})
	return merged
}

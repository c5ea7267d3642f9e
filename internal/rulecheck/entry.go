// Package rulecheck reads what stand-ins logged - clients the jobs they asked for and the answers they got, engines every
// dispatch that reached them - and finds every broken rule. It knows nothing of how a controller decides: whoever
// forwards jobs is held to the same seven rules. No clock: times are the log's.
package rulecheck

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
)

// What an entry tells.
const (
	Listed     = "listed"   // an engine's entry in the list of engines, as all controllers were told it
	Accepted   = "taken"    // a client asked for a job, and it was taken
	Answered   = "answered" // the client has its final answer
	ClientLeft = "left"     // the client went away: no answer is owed, none may follow
	Reached    = "reached"  // a dispatch came to an engine, which refused it
	Began      = "began"    // a dispatch came to an engine, which began it: from here on it has its effect
	Ended      = "ended"    // the engine ended it; Answer says how
)

// The answers, and the ways in which a dispatch ends.
const (
	Done      = "done"
	Throttled = "throttled"
	Cancelled = "cancelled" // for good
	Broken    = "broken"    // whether the controller knows its outcome is unsure
)

// Entry is a line of a log. Times and spans are whole nanoseconds.
type Entry struct {
	TimeNS int64  `json:"t"`
	Event  string `json:"what"`

	Job        string `json:"job,omitempty"` // the same in every log
	Type       string `json:"type,omitempty"`
	Tenant     string `json:"tenant,omitempty"`
	Key        string `json:"key,omitempty"`
	Front      string `json:"front,omitempty"` // the controller that took it: order holds among its jobs
	DeadlineNS int64  `json:"until,omitempty"` // Taken: the job timeout

	Answer string `json:"answer,omitempty"`

	Engine   string `json:"engine,omitempty"`
	Protocol string `json:"protocol,omitempty"`
	Work     int64  `json:"work,omitempty"` // Began: of the dispatch
	State    string `json:"state,omitempty"`
	Zone     string `json:"zone,omitempty"`
	Kind     string `json:"kind,omitempty"`
	Group    string `json:"group,omitempty"` // engines that drop repeats together
	Started  int64  `json:"started,omitempty"`
	Cores    int64  `json:"cores,omitempty"`
}

// mostLine bounds a line of a log.
const mostLine = 1 << 20

// Read reads JSON lines. A line that is none is an error with its number.
func Read(from io.Reader) (list []Entry, err error) {
	s := bufio.NewScanner(from)
	s.Buffer(nil, mostLine)
	for n := 1; s.Scan(); n++ {
		if len(s.Bytes()) == 0 {
			continue
		}
		var e Entry
		if err := json.Unmarshal(s.Bytes(), &e); err != nil {
			return list, fmt.Errorf("line %d: %w", n, err)
		}
		list = append(list, e)
	}
	return list, s.Err()
}

// Merge puts logs in one order: by time, and where that is the same so that no rule is broken by the order alone: what
// ends before what begins.
func Merge(logs ...[]Entry) []Entry {
	all := slices.Concat(logs...)
	first := map[string]int{Listed: 0, Accepted: 1, Ended: 2, Answered: 3, ClientLeft: 3, Reached: 4, Began: 4}
	slices.SortStableFunc(all, func(a, b Entry) int {
		if a.TimeNS != b.TimeNS {
			if a.TimeNS < b.TimeNS {
				return -1
			}
			return 1
		}
		return first[a.Event] - first[b.Event]
	})
	return all
}

package testcluster

import (
	"sync"
	"time"

	"swiftreel/internal/rulecheck"
)

// EventLog is the common log of all fakes of a run. The zero value is ready to use. It is safe for concurrent use.
type EventLog struct {
	mu      sync.Mutex
	entries []rulecheck.Entry
}

// Add logs an entry with the current time.
func (l *EventLog) Add(e rulecheck.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.TimeNS = time.Now().UnixNano()
	l.entries = append(l.entries, e)
}

// Entries returns a copy of all entries, in order of time.
func (l *EventLog) Entries() []rulecheck.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return rulecheck.Merge(l.entries)
}

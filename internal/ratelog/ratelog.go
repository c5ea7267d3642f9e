// Package ratelog keeps repeated faults from flooding the log. Its types are safe for concurrent use, and their zero
// values are ready to use.
package ratelog

import (
	"log/slog"
	"sync"
	"time"

	"swiftreel/internal/counters"
)

const (
	loggerInterval = time.Second // between two lines of a Logger
	linesPerSecond = 20          // of a Limiter
)

// Logger logs one kind of event at most once a second, with how many there were since the line before.
type Logger struct {
	mu         sync.Mutex
	loggedAt   time.Time
	unreported int
}

// CountAndWarn increments a counter, then does what Warn does.
func (l *Logger) CountAndWarn(counter, event string, attributes ...any) {
	counters.Increment(counter)
	l.Warn(event, attributes...)
}

// Warn logs an event as a warning, with the attribute count, unless the last line is under a second old.
func (l *Logger) Warn(event string, attributes ...any) {
	if count := l.due(); count > 0 {
		slog.Warn(event, append(attributes, "count", count)...)
	}
}

// due notes one more event, and returns how many are to be reported now; 0: none yet.
func (l *Logger) due() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreported++
	if time.Since(l.loggedAt) < loggerInterval {
		return 0
	}
	count := l.unreported
	l.loggedAt = time.Now()
	l.unreported = 0
	return count
}

// Limiter allows 20 log lines a second. Lines beyond them are counted as lines_dropped.
type Limiter struct {
	mu          sync.Mutex
	windowStart time.Time
	lines       int
}

// Allow reports whether one more line may be logged at the time now.
func (l *Limiter) Allow(now time.Time) bool {
	if l.withinLimit(now) {
		return true
	}
	counters.Increment("lines_dropped")
	return false
}

func (l *Limiter) withinLimit(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart = now
		l.lines = 0
	}
	l.lines++
	return l.lines <= linesPerSecond
}

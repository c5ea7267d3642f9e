// Package ratelog limits the rate of log lines, so that repeated faults do not flood the log. Its types are safe for
// concurrent use, and their zero values are ready to use.
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

// Logger logs one kind of event at most once a second, with the number of events since the previous line.
type Logger struct {
	mu         sync.Mutex
	loggedAt   time.Time
	unreported int
}

// CountAndWarn increments a counter and calls Warn.
func (l *Logger) CountAndWarn(counter, event string, attributes ...any) {
	counters.Increment(counter)
	l.Warn(event, attributes...)
}

// Warn logs an event as a warning with the attribute count, unless a line was logged less than a second ago.
func (l *Logger) Warn(event string, attributes ...any) {
	if count := l.due(); count > 0 {
		slog.Warn(event, append(attributes, "count", count)...)
	}
}

// due counts an event. It returns the number of events to report now, or 0 if no line is due yet.
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

// Limiter allows 20 log lines a second. Further lines are counted as lines_dropped.
type Limiter struct {
	mu          sync.Mutex
	windowStart time.Time
	lines       int
}

// Allow reports whether a line may be logged at the time now.
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

package check

import (
	"log/slog"
	"sync"
	"time"
)

// Grumble logs a repeated fault at most once a second, with how many there were since the line before.
type Grumble struct {
	mu sync.Mutex
	at time.Time
	n  int
}

// Note counts under a name, and logs an event with its attributes.
func (g *Grumble) Note(counter, event string, attrs ...any) {
	Count(counter)
	g.Say(event, attrs...)
}

// Say logs without counting.
func (g *Grumble) Say(event string, attrs ...any) {
	g.mu.Lock()
	g.n++
	n, quiet := g.n, time.Since(g.at) < time.Second
	if !quiet {
		g.at, g.n = time.Now(), 0
	}
	g.mu.Unlock()
	if !quiet {
		slog.Warn(event, append(attrs, "count", n)...)
	}
}

// linesMost is how many lines of a Rate there may be in a second.
const linesMost = 20

// Rate allows some log lines a second; those past it are counted as lines_dropped.
type Rate struct {
	mu    sync.Mutex
	since time.Time
	n     int
}

// Take tells whether one more may be logged.
func (r *Rate) Take(now time.Time) bool {
	r.mu.Lock()
	if now.Sub(r.since) >= time.Second {
		r.since, r.n = now, 0
	}
	r.n++
	may := r.n <= linesMost
	r.mu.Unlock()
	if !may {
		Count("lines_dropped")
	}
	return may
}

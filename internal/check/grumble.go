package check

import (
	"log"
	"sync"
	"time"
)

// Grumble logs a repeated fault at most once a second, with how many there were since the line before.
type Grumble struct {
	mu sync.Mutex
	at time.Time
	n  int
}

// Note counts under a name, and logs key=value text.
func (g *Grumble) Note(counter, text string, v ...any) {
	Count(counter)
	g.mu.Lock()
	g.n++
	n, quiet := g.n, time.Since(g.at) < time.Second
	if !quiet {
		g.at, g.n = time.Now(), 0
	}
	g.mu.Unlock()
	if !quiet {
		log.Printf(text+" count=%d", append(v, n)...)
	}
}

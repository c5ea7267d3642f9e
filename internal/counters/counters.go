// Package counters counts named events of the process for its log line at the end and for tests. All functions are safe
// for concurrent use. Names are constants of the code, so the number of counters is bounded by the program.
package counters

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
)

var (
	mu     sync.Mutex
	counts = map[string]uint64{} // guarded by mu
)

// Increment adds one to the counter of that name.
func Increment(name string) {
	mu.Lock()
	counts[name]++
	mu.Unlock()
}

// Value returns how often a counter was incremented: 0 if it never was.
func Value(name string) uint64 {
	mu.Lock()
	defer mu.Unlock()
	return counts[name]
}

// LogAttributes returns all counters as attributes for a log line, sorted by name.
func LogAttributes() (attributes []any) {
	mu.Lock()
	defer mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		attributes = append(attributes, slog.Uint64(name, counts[name]))
	}
	return attributes
}

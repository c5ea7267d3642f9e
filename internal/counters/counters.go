// Package counters counts named events of the process. The counters are logged at exit and read by tests. All functions
// are safe for concurrent use. Names are constants in the code, which bounds the number of counters.
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

// Increment adds one to the named counter.
func Increment(name string) {
	mu.Lock()
	counts[name]++
	mu.Unlock()
}

// Value returns the value of the named counter; 0 if it was never incremented.
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

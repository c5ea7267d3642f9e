// Package check holds what must hold: asserted in builds with the tag debug, counted in others.
package check

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
)

// counts has one entry for each text that stands in the code, so it is bounded by the program.
var (
	mu     sync.Mutex
	counts = map[string]uint64{}
)

// That counts a condition that does not hold; in debug builds it panics.
func That(holds bool, what string) {
	if !holds {
		Count(what)
		broken(what)
	}
}

// Count counts something worth telling at the end that is nobody's fault here.
func Count(what string) {
	mu.Lock()
	counts[what]++
	mu.Unlock()
}

// Of gives one counter.
func Of(what string) uint64 {
	mu.Lock()
	defer mu.Unlock()
	return counts[what]
}

// Told gives the counters as attributes for a log line, in order of their names.
func Told() (attrs []any) {
	mu.Lock()
	defer mu.Unlock()
	for _, what := range slices.Sorted(maps.Keys(counts)) {
		attrs = append(attrs, slog.Uint64(what, counts[what]))
	}
	return attrs
}

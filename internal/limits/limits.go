// Package limits divides what the machine allows: cores, memory, descriptors.
package limits

import (
	"math"
	"runtime"
	"runtime/debug"
	"sync/atomic"

	"swiftreel/internal/config"
)

// Parts is the division.
type Parts struct {
	ClientConns int    // well over the third of the descriptors that usual clients hold
	EngineConns int    // the same at least
	Jobs        int    // taken and not over
	Bytes       *Bytes // statements and results
	Reads       *Bytes // messages of clients that are being read
}

// reserve is for standard streams, poller, listener, feeds, the configuration, and what the runtime opens for a moment.
func reserve(sockets int) int { return min(40, 12+sockets/32) }

// Apply sets the runtime's bounds and divides the rest.
func Apply(l config.Limits) Parts {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(int64(l.MemoryMB * 0.7 * (1 << 20)))
	left := l.Sockets - reserve(l.Sockets)
	part := func(share float64) *Bytes { return NewBytes(int64(l.MemoryMB * share * (1 << 20))) }
	return Parts{
		ClientConns: max(1, left/2),
		EngineConns: max(1, left-left/2),
		Jobs:        int(min(1<<20, 64*l.MemoryMB)),
		Bytes:       part(0.2),
		Reads:       part(0.1),
	}
}

// Bytes is what messages in hand may hold together: statements, results, and reads over their usual size.
type Bytes struct {
	left atomic.Int64
}

// NewBytes allows n bytes.
func NewBytes(n int64) *Bytes {
	b := new(Bytes)
	b.left.Store(n)
	return b
}

// Take takes n bytes, or tells that so many are not left.
func (b *Bytes) Take(n int) bool {
	if b.left.Add(-int64(n)) >= 0 {
		return true
	}
	b.Give(n)
	return false
}

// Give gives n bytes back.
func (b *Bytes) Give(n int) { b.left.Add(int64(n)) }

// Left tells how many there are.
func (b *Bytes) Left() int64 { return b.left.Load() }

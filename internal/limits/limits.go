// Package limits divides what the machine allows: cores, memory, descriptors.
package limits

import (
	"math"
	"runtime"
	"runtime/debug"
	"sync/atomic"

	"swiftreel/internal/config"
)

// Parts is the division. A new configuration changes it in place.
type Parts struct {
	ClientConns Count // well over the third of the descriptors that usual clients hold
	EngineConns Count // the same at least
	Lingering   Count // closed by us, not yet by their clients: of the reserve
	Jobs        Count // taken and not over
	Bytes       Bytes // statements and results
	Reads       Bytes // messages of clients that are being read
}

// Count is how many there may be.
type Count struct{ atomic.Int64 }

// Most gives it.
func (c *Count) Most() int { return int(c.Load()) }

// reserve is for standard streams, poller, listener, feeds, the configuration, what the runtime opens for a moment, and
// connections that linger.
func reserve(sockets int) int { return min(40, 12+sockets/32) }

// Apply sets the runtime's bounds and divides the rest. What is held over a bound that shrank runs out by and by.
func (p *Parts) Apply(l config.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(int64(l.MemoryMB * 0.7 * (1 << 20)))
	left := l.Sockets - reserve(l.Sockets)
	p.ClientConns.Store(int64(max(1, left/2)))
	p.Lingering.Store(int64(max(1, (reserve(l.Sockets)-12)/2)))
	p.EngineConns.Store(int64(max(1, left-left/2)))
	p.Jobs.Store(int64(min(1<<20, 64*l.MemoryMB)))
	p.Bytes.Allow(int64(l.MemoryMB * 0.2 * (1 << 20)))
	p.Reads.Allow(int64(l.MemoryMB * 0.1 * (1 << 20)))
}

// Bytes is what messages in hand may hold together: statements, results, and reads over their usual size.
type Bytes struct {
	whole, left atomic.Int64
}

// Allow says how many there may be.
func (b *Bytes) Allow(n int64) { b.left.Add(n - b.whole.Swap(n)) }

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

// All tells whether none are taken.
func (b *Bytes) All() bool { return b.left.Load() == b.whole.Load() }

// Left tells how many there are.
func (b *Bytes) Left() int64 { return b.left.Load() }

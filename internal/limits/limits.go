// Package limits divides what the machine allows: cores, memory, descriptors.
package limits

import (
	"math"
	"runtime"
	"runtime/debug"
	"sync/atomic"

	"swiftreel/internal/config"
)

// Budget is the division. A new configuration changes it in place.
type Budget struct {
	ClientConns  Count // well over the third of the descriptors that usual clients hold
	EngineConns  Count // the same at least
	Lingering    Count // closed by us, not yet by their clients: of the reserve
	Jobs         Count // taken and not over
	MessageBytes Bytes // statements and results
	ReadBytes    Bytes // messages of clients that are being read
}

// Count is how many there may be.
type Count struct{ atomic.Int64 }

// Max gives it.
func (c *Count) Max() int { return int(c.Load()) }

// reserve is for standard streams, poller, listener, feeds, the configuration, what the runtime opens for a moment, and
// connections that linger.
func reserve(sockets int) int { return min(40, 12+sockets/32) }

// Apply sets the runtime's bounds and divides the rest. What is held over a bound that shrank runs out by and by.
func (p *Budget) Apply(l config.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(int64(l.MemoryMB * 0.7 * (1 << 20)))
	left := l.Sockets - reserve(l.Sockets)
	p.ClientConns.Store(int64(max(1, left/2)))
	p.Lingering.Store(int64(max(1, (reserve(l.Sockets)-12)/2)))
	p.EngineConns.Store(int64(max(1, left-left/2)))
	p.Jobs.Store(int64(min(1<<20, 64*l.MemoryMB)))
	p.MessageBytes.SetCapacity(int64(l.MemoryMB * 0.2 * (1 << 20)))
	p.ReadBytes.SetCapacity(int64(l.MemoryMB * 0.1 * (1 << 20)))
}

// Bytes is what messages in hand may hold together: statements, results, and reads over their usual size.
type Bytes struct {
	whole, left atomic.Int64
}

// SetCapacity says how many there may be.
func (b *Bytes) SetCapacity(n int64) { b.left.Add(n - b.whole.Swap(n)) }

// Reserve takes n bytes, or tells that so many are not left.
func (b *Bytes) Reserve(n int) bool {
	if b.left.Add(-int64(n)) >= 0 {
		return true
	}
	b.Release(n)
	return false
}

// Release gives n bytes back.
func (b *Bytes) Release(n int) { b.left.Add(int64(n)) }

// Unused tells whether none are taken.
func (b *Bytes) Unused() bool { return b.left.Load() == b.whole.Load() }

// Available tells how many there are.
func (b *Bytes) Available() int64 { return b.left.Load() }

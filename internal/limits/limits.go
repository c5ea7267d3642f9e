// Package limits divides what the machine allows - cores, memory, descriptors - among the parts of a controller. Counts
// and byte budgets may be used concurrently, also while they are divided again.
package limits

import (
	"math"
	"runtime"
	"runtime/debug"
	"sync/atomic"

	"swiftreel/internal/config"
)

// Budget is the division of one machine's limits.
type Budget struct {
	ClientConns  Count // well over the third of the descriptors that typical clients hold
	EngineConns  Count // at least as many
	Lingering    Count // closed by the controller, not yet by their clients: from the reserve
	Jobs         Count // admitted and not finished
	MessageBytes Bytes // statements and results
	ReadBytes    Bytes // messages of clients while they are read
}

// Shares of the machine's memory.
const (
	heapShare    = 0.7 // soft limit of the Go runtime
	messageShare = 0.2
	readShare    = 0.1
)

const (
	bytesPerMB = 1 << 20
	jobsPerMB  = 64
	maxJobs    = 1 << 20
)

// Descriptors that are not for connections of clients and engines.
const (
	baseDescriptors   = 12 // standard streams, poller, listener, feeds, files, what the runtime opens for a moment
	maxReserved       = 40 // with those for connections that linger
	socketsPerReserve = 32
)

// reserved returns how many descriptors are reserved.
func reserved(sockets int) int {
	return min(maxReserved, baseDescriptors+sockets/socketsPerReserve)
}

// Apply sets the limits of the Go runtime and divides the rest. What is in use beyond a limit that has become smaller
// stays until it is returned.
func (b *Budget) Apply(machine config.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(machine.Cores))))
	debug.SetMemoryLimit(int64(machine.MemoryMB * heapShare * bytesPerMB))
	connections := machine.Sockets - reserved(machine.Sockets)
	b.ClientConns.Store(int64(max(1, connections/2)))
	b.Lingering.Store(int64(max(1, (reserved(machine.Sockets)-baseDescriptors)/2)))
	b.EngineConns.Store(int64(max(1, connections-connections/2)))
	b.Jobs.Store(int64(min(maxJobs, jobsPerMB*machine.MemoryMB)))
	b.MessageBytes.SetCapacity(int64(machine.MemoryMB * messageShare * bytesPerMB))
	b.ReadBytes.SetCapacity(int64(machine.MemoryMB * readShare * bytesPerMB))
}

// Count is how many of something there may be.
type Count struct{ atomic.Int64 }

// Max returns the number.
func (c *Count) Max() int { return int(c.Load()) }

// Bytes is a budget of bytes that messages in memory share. The zero value has none.
type Bytes struct {
	capacity  atomic.Int64
	available atomic.Int64 // negative while more is in use than a smaller capacity allows
}

// SetCapacity changes how many bytes there are.
func (b *Bytes) SetCapacity(n int64) { b.available.Add(n - b.capacity.Swap(n)) }

// Reserve takes n bytes, and reports whether so many were available.
func (b *Bytes) Reserve(n int) bool {
	if b.available.Add(-int64(n)) >= 0 {
		return true
	}
	b.Release(n)
	return false
}

// Release returns n bytes.
func (b *Bytes) Release(n int) { b.available.Add(int64(n)) }

// Unused reports whether none are reserved.
func (b *Bytes) Unused() bool { return b.available.Load() == b.capacity.Load() }

// Available returns how many bytes can be reserved; below 0 if more are reserved than there are.
func (b *Bytes) Available() int64 { return b.available.Load() }

// Package limits divides the machine's cores, memory and descriptors among the components of a controller. Its types
// are safe for concurrent use, also while new limits are applied.
package limits

import (
	"math"
	"runtime"
	"runtime/debug"
	"sync/atomic"

	"swiftreel/internal/config"
)

// Budget is how one machine's limits are divided.
type Budget struct {
	ClientConns    Limit // about half of the descriptors; clients typically use a third
	EngineConns    Limit // at least as many
	LingeringConns Limit // connections closed by the controller but not yet by clients; from the reserved descriptors
	Jobs           Limit // admitted and not finished
	MessageBytes   Bytes // statements and results
	ReadBytes      Bytes // messages of clients while they are being read
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

// Descriptors that are not available for connections of clients and engines.
const (
	baseDescriptors   = 12 // standard streams, poller, listener, feeds, files, temporary ones of the runtime
	maxReserved       = 40 // including those for lingering connections
	socketsPerReserve = 32
)

// reservedDescriptors returns the number of reserved descriptors.
func reservedDescriptors(descriptors int) int {
	return min(maxReserved, baseDescriptors+descriptors/socketsPerReserve)
}

// Apply sets the limits of the Go runtime and divides the remaining resources. If a limit is lowered, resources in use
// beyond it remain in use until they are released.
func (b *Budget) Apply(machine config.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(machine.Cores))))
	debug.SetMemoryLimit(int64(machine.MemoryMB * heapShare * bytesPerMB))
	connections := machine.Descriptors - reservedDescriptors(machine.Descriptors)
	b.ClientConns.Store(int64(max(1, connections/2)))
	b.LingeringConns.Store(int64(max(1, (reservedDescriptors(machine.Descriptors)-baseDescriptors)/2)))
	b.EngineConns.Store(int64(max(1, connections-connections/2)))
	b.Jobs.Store(int64(min(maxJobs, jobsPerMB*machine.MemoryMB)))
	b.MessageBytes.SetCapacity(int64(machine.MemoryMB * messageShare * bytesPerMB))
	b.ReadBytes.SetCapacity(int64(machine.MemoryMB * readShare * bytesPerMB))
}

// Limit is the maximum number of items of a kind.
type Limit struct{ atomic.Int64 }

// Max returns the maximum.
func (c *Limit) Max() int { return int(c.Load()) }

// LargeMessageSize is the size in bytes above which a message is large.
const LargeMessageSize = 16 << 10

// smallShare is the share of a memory budget that large messages leave to small ones.
const smallShare = 0.25

// Bytes is a memory budget that messages share. Large messages leave smallShare of it to small ones. The zero value has
// a capacity of 0.
type Bytes struct {
	capacity  atomic.Int64
	available atomic.Int64 // negative while more is in use than a lowered capacity allows
}

// SetCapacity changes the capacity to n bytes.
func (b *Bytes) SetCapacity(n int64) { b.available.Add(n - b.capacity.Swap(n)) }

// Reserve reserves n bytes for a message and reports whether they were available.
func (b *Bytes) Reserve(n int) bool { return b.Grow(0, n) }

// Grow reserves n more bytes for a message that has already reserved some, and reports whether they were available.
func (b *Bytes) Grow(reserved, n int) bool {
	leftToOthers := int64(0)
	if reserved+n > LargeMessageSize {
		leftToOthers = int64(smallShare * float64(b.capacity.Load()))
	}
	if b.available.Add(-int64(n)) >= leftToOthers {
		return true
	}
	b.Release(n)
	return false
}

// Release returns n reserved bytes to the budget.
func (b *Bytes) Release(n int) { b.available.Add(int64(n)) }

// Unused reports whether no bytes are reserved.
func (b *Bytes) Unused() bool { return b.available.Load() == b.capacity.Load() }

// Available returns how many bytes can be reserved. It is negative if more are reserved than the capacity.
func (b *Bytes) Available() int64 { return b.available.Load() }

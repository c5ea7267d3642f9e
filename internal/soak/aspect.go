package soak

import "sync"

// aspect is what a fault takes hold of at a controller or an engine: two faults of one aspect exclude each other,
// those of different ones overlap.
type aspect uint8

const (
	aspectProcess aspect = iota // it is ended and started anew
	aspectPause                 // it is stopped for a time
	aspectFeed                  // the way to the feed
	aspectConfig                // a new configuration
	aspectClients               // clients that speak badly
	aspectCrowd                 // clients that say nothing
	aspectCalls                 // system calls that fail
	aspectList                  // the engine's state in the list
	aspectWay                   // the way to the engine
)

// aspectOf says which aspect a fault takes hold of.
var aspectOf = map[string]aspect{
	faultTerm:        aspectProcess,
	faultTermStart:   aspectProcess,
	faultTermPause:   aspectProcess,
	faultKill:        aspectProcess,
	faultPause:       aspectPause,
	faultMove:        aspectConfig,
	faultFeedDown:    aspectFeed,
	faultFeedSilent:  aspectFeed,
	faultFeedSlow:    aspectFeed,
	faultDrain:       aspectList,
	faultRestart:     aspectList,
	faultVanish:      aspectWay,
	faultHang:        aspectPause,
	faultLongHang:    aspectPause,
	faultReset:       aspectWay,
	faultSlow:        aspectWay,
	faultBadClient:   aspectClients,
	faultCrowd:       aspectCrowd,
	faultDialFails:   aspectCalls,
	faultAcceptFails: aspectCalls,
	faultClockStep:   aspectCalls,
}

// aspects are those that faults have hold of. The zero value has none. It is safe for concurrent use.
type aspects struct {
	mu   sync.Mutex
	held map[aspect]bool
}

// acquire takes hold of the aspect of a kind of fault, unless another fault has; release lets go of it.
func (a *aspects) acquire(kind string) (release func(), acquired bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	taken := aspectOf[kind]
	if a.held[taken] {
		return nil, false
	}
	if a.held == nil {
		a.held = map[aspect]bool{}
	}
	a.held[taken] = true
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.held, taken)
	}, true
}

package soak

import "sync"

// aspect is what a fault takes hold of at a controller or an engine: two faults of one aspect exclude each other,
// those of different ones overlap.
type aspect uint8

const (
	aspectProcess     aspect = iota // it is ended and started anew
	aspectPause                     // it is stopped for a time
	aspectFeed                      // the way to the feed
	aspectConfig                    // a new configuration
	aspectClients                   // clients that speak badly
	aspectIdleClients               // clients that say nothing
	aspectCalls                     // system calls that fail
	aspectList                      // the engine's state in the list
	aspectWay                       // the way to the engine
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
	faultIdleFlood:   aspectIdleClients,
	faultDialFails:   aspectCalls,
	faultAcceptFails: aspectCalls,
	faultClockStep:   aspectCalls,
}

// aspects are those of which a fault is active. The zero value has none. It is safe for concurrent use.
type aspects struct {
	mu     sync.Mutex
	active map[aspect]bool
}

// acquire takes hold of the aspect of a kind of fault, unless another fault has; release lets go of it.
func (a *aspects) acquire(kind string) (release func(), acquired bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	wanted := aspectOf[kind]
	if a.active[wanted] {
		return nil, false
	}
	if a.active == nil {
		a.active = map[aspect]bool{}
	}
	a.active[wanted] = true
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.active, wanted)
	}, true
}

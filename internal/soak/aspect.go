package soak

import "sync"

// aspect is the part of a controller or an engine that a fault affects. Two faults of the same aspect exclude each
// other; faults of different aspects may overlap.
type aspect uint8

const (
	aspectProcess     aspect = iota // the process is ended and restarted
	aspectPause                     // the process is paused
	aspectFeed                      // the connection to the feed
	aspectConfig                    // the configuration
	aspectClients                   // misbehaving clients
	aspectIdleClients               // idle clients
	aspectSyscalls                  // failing system calls
	aspectEngineList                // the engine's state in the endpoint list
	aspectNetwork                   // the connections to the engine
)

// aspectOf maps each kind of fault to the aspect it affects.
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
	faultDrain:       aspectEngineList,
	faultRestart:     aspectEngineList,
	faultVanish:      aspectNetwork,
	faultHang:        aspectPause,
	faultLongHang:    aspectPause,
	faultReset:       aspectNetwork,
	faultSlow:        aspectNetwork,
	faultBadClient:   aspectClients,
	faultIdleFlood:   aspectIdleClients,
	faultDialFails:   aspectSyscalls,
	faultAcceptFails: aspectSyscalls,
	faultClockStep:   aspectSyscalls,
}

// aspects is the set of aspects with an active fault. The zero value is empty. It is safe for concurrent use.
type aspects struct {
	mu     sync.Mutex
	active map[aspect]bool
}

// acquire reserves the aspect of a kind of fault until release is called. acquired is false if another fault of that
// aspect is active.
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

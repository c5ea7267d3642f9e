package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"swiftreel/internal/fake"
)

// injectFaults injects each fault at its time, and waits until all have ended.
func (r *run) injectFaults(faults []Fault) {
	started := time.Now()
	pairs := &injectedPairs{records: r.records, injected: map[int]bool{}}
	var running sync.WaitGroup
	for _, f := range faults {
		time.Sleep(time.Until(started.Add(f.At)))
		running.Go(func() { r.injectFault(f, pairs) })
	}
	time.Sleep(time.Until(started.Add(r.config.Length)))
	running.Wait()
}

// injectedPairs counts the pairs of which both faults were injected. It is safe for concurrent use.
type injectedPairs struct {
	records *Records

	mu       sync.Mutex
	injected map[int]bool // placements of which a fault was injected
}

func (p *injectedPairs) record(f Fault) {
	if f.Pair == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.injected[f.Placement] {
		p.records.addPair(f.Pair)
	}
	p.injected[f.Placement] = true
}

// injectFault injects a fault, unless another fault of the same aspect is active at its target.
func (r *run) injectFault(f Fault, pairs *injectedPairs) {
	_, isEngineFault := engineFaultInjectors[f.Kind]
	active := &r.controllers[f.Target%len(r.controllers)].faults
	if isEngineFault {
		active = &r.engines[f.Target].faults
	}
	release, acquired := active.acquire(f.Kind)
	if !acquired {
		return
	}
	defer release()
	pairs.record(f)
	if isEngineFault {
		engineFaultInjectors[f.Kind](r, r.engines[f.Target], f)
		return
	}
	if err := controllerFaultInjectors[f.Kind](r, r.controllers[f.Target], f); err != nil {
		r.records.addFailure(err.Error())
	}
}

// engineFaultInjectors inject the faults of engines, by kind.
var engineFaultInjectors = map[string]func(r *run, e *Engine, f Fault){
	faultDrain: func(r *run, e *Engine, f Fault) {
		r.feed.add(false, e.entry("draining", time.Time{}))
		time.Sleep(f.Length)
		r.replace(e)
	},
	faultRestart: func(r *run, e *Engine, f Fault) {
		e.kill()
		time.Sleep(f.Length / 4)
		r.replace(e)
	},
	faultHang:     hangEngine,
	faultLongHang: hangEngine,
	faultReset: func(_ *run, e *Engine, _ Fault) {
		e.proxy.setMode(ProxyReset)
		e.proxy.setMode(ProxyUp)
	},
	faultVanish: func(_ *run, e *Engine, f Fault) { e.fail(ProxySilent, f.Length) },
	faultSlow:   func(_ *run, e *Engine, f Fault) { e.fail(ProxySlow, f.Length) },
}

func hangEngine(_ *run, e *Engine, f Fault) {
	e.pause(true)
	time.Sleep(f.Length)
	e.pause(false)
}

// fail sets the proxy of the engine to a mode for a time.
func (e *Engine) fail(mode ProxyMode, length time.Duration) {
	e.proxy.setMode(mode)
	time.Sleep(length)
	e.proxy.setMode(ProxyUp)
}

// replace removes an engine from the endpoint list and lists a new process of it, which has to warm up.
func (r *run) replace(e *Engine) {
	r.feed.add(false, e.entry("gone", time.Time{}))
	e.kill()
	started := time.Now()
	if err := e.start(); err != nil {
		r.records.addFailure(err.Error())
		return
	}
	r.feed.add(false, e.entry("ready", started))
}

// pauseStep times the index of the target is the time from SIGTERM to the pause of faultTermPause.
const pauseStep = 40 * time.Millisecond

// maxStartDelay bounds the time from the start of a process to its SIGTERM in faultTermStart.
const maxStartDelay = 60 * time.Millisecond

// controllerFaultInjectors inject the faults of controllers, of their clients and of their feeds, by kind.
var controllerFaultInjectors = map[string]func(r *run, c *Controller, f Fault) error{
	faultTerm: func(r *run, c *Controller, f Fault) error {
		c.terminate(int(f.Length / time.Millisecond))
		r.saveLog(c)
		return c.start()
	},
	faultTermStart: func(r *run, c *Controller, f Fault) error {
		c.terminate(int(f.Length / time.Millisecond))
		r.saveLog(c)
		if err := c.startAndTerminate(f.Length % maxStartDelay); err != nil {
			return err
		}
		return c.start()
	},
	faultTermPause: func(r *run, c *Controller, f Fault) error {
		time.AfterFunc(time.Duration(f.Target)*pauseStep, func() { c.pause(f.Length) })
		c.terminate(int(f.Length / time.Millisecond))
		r.saveLog(c)
		return c.start()
	},
	faultKill: func(r *run, c *Controller, _ Fault) error {
		c.kill()
		r.saveLog(c)
		return c.start()
	},
	faultPause: func(_ *run, c *Controller, f Fault) error {
		c.pause(f.Length)
		return nil
	},
	faultMove: func(_ *run, c *Controller, f Fault) error {
		if err := c.moveFeed(); err != nil {
			return err
		}
		time.Sleep(f.Length / 10)
		return c.moveFeed()
	},
	faultFeedDown:    failFeed,
	faultFeedSilent:  failFeed,
	faultFeedSlow:    failFeed,
	faultBadClient:   badClients,
	faultIdleFlood:   floodWithIdleClients,
	faultDialFails:   func(_ *run, c *Controller, f Fault) error { return c.injectSyscallFault(f) },
	faultAcceptFails: func(_ *run, c *Controller, f Fault) error { return c.injectSyscallFault(f) },
	faultClockStep:   func(_ *run, c *Controller, f Fault) error { return c.injectSyscallFault(f) },
}

// feedPieceBytes is the number of bytes per write of the feed in faultFeedSlow.
const feedPieceBytes = 7

func failFeed(_ *run, c *Controller, f Fault) error {
	piece := 0 // a whole line
	if f.Kind == faultFeedSlow {
		piece = feedPieceBytes
	}
	server := c.currentFeedServer()
	server.fail(f.Kind == faultFeedDown, f.Kind == faultFeedSilent, piece)
	time.Sleep(f.Length)
	server.fail(false, false, 0)
	return nil
}

// badClients runs misbehaving clients for a time.
func badClients(r *run, c *Controller, f Fault) error {
	random := rand.New(rand.NewPCG(r.config.Seed, uint64(f.At)))
	for stop := time.Now().Add(f.Length); time.Now().Before(stop); {
		if fake.MisbehavingClient(c.address, random) {
			r.records.addFailure("a misbehaving client is served")
		}
	}
	return nil
}

const (
	floodConnections = 600 // more than a controller has descriptors for
	floodDialTimeout = 100 * time.Millisecond
)

// floodWithIdleClients uses up the controller's descriptors with idle connections for a time.
func floodWithIdleClients(r *run, c *Controller, f Fault) error {
	from := time.Now()
	dialer := net.Dialer{Timeout: floodDialTimeout}
	var conns []net.Conn
	for range floodConnections {
		conn, err := dialer.DialContext(context.Background(), "tcp4", c.address)
		if err != nil {
			time.Sleep(floodDialTimeout / floodConnections)
			continue
		}
		conns = append(conns, conn)
	}
	time.Sleep(f.Length)
	for _, conn := range conns {
		_ = conn.Close() // the controller may have closed it
	}
	r.records.addIdleFlood(c.index, Interval{From: from, To: time.Now()})
	return nil
}

package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"swiftreel/internal/fake"
)

// play has each fault begin at its time, and waits until all are over.
func (r *run) play(faults []Fault) {
	started := time.Now()
	played := &playedPairs{records: r.records, begun: map[int]bool{}}
	var running sync.WaitGroup
	for _, t := range faults {
		time.Sleep(time.Until(started.Add(t.At)))
		running.Go(func() { r.fault(t, played) })
	}
	time.Sleep(time.Until(started.Add(r.config.Length)))
	running.Wait()
}

// playedPairs counts the placed pairs both of whose faults are played. It is safe for concurrent use.
type playedPairs struct {
	records *Records

	mu    sync.Mutex
	begun map[int]bool // placements of which one fault is played
}

func (p *playedPairs) note(t Fault) {
	if t.Pair == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.begun[t.Placement] {
		p.records.addPair(t.Pair)
	}
	p.begun[t.Placement] = true
}

// fault plays a fault, unless another has hold of what it is about.
func (r *run) fault(t Fault, played *playedPairs) {
	_, isEngineFault := engineFaultPlays[t.Kind]
	active := &r.controllers[t.Target%len(r.controllers)].faults
	if isEngineFault {
		active = &r.engines[t.Target].faults
	}
	release, acquired := active.acquire(t.Kind)
	if !acquired {
		return
	}
	defer release()
	played.note(t)
	if isEngineFault {
		engineFaultPlays[t.Kind](r, r.engines[t.Target], t)
		return
	}
	if err := controllerFaultPlays[t.Kind](r, r.controllers[t.Target], t); err != nil {
		r.records.addFailure(err.Error())
	}
}

// engineFaultPlays play faults of engines.
var engineFaultPlays = map[string]func(r *run, e *Engine, t Fault){
	faultDrain: func(r *run, e *Engine, t Fault) {
		r.feed.add(false, e.entry("draining", time.Time{}))
		time.Sleep(t.Length)
		r.replace(e)
	},
	faultRestart: func(r *run, e *Engine, t Fault) {
		e.kill()
		time.Sleep(t.Length / 4)
		r.replace(e)
	},
	faultHang:     hangEngine,
	faultLongHang: hangEngine,
	faultReset: func(_ *run, e *Engine, _ Fault) {
		e.proxy.setMode(ProxyReset)
		e.proxy.setMode(ProxyUp)
	},
	faultVanish: func(_ *run, e *Engine, t Fault) { e.fail(ProxySilent, t.Length) },
	faultSlow:   func(_ *run, e *Engine, t Fault) { e.fail(ProxySlow, t.Length) },
}

func hangEngine(_ *run, e *Engine, t Fault) {
	e.pause(true)
	time.Sleep(t.Length)
	e.pause(false)
}

// fail has the way to the engine fail for a time.
func (e *Engine) fail(mode ProxyMode, length time.Duration) {
	e.proxy.setMode(mode)
	time.Sleep(length)
	e.proxy.setMode(ProxyUp)
}

// replace removes an engine and lists a new process of it, which is cold.
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

// pauseStep is how much later after SIGTERM the pause of faultTermPause begins, from one target to the next.
const pauseStep = 40 * time.Millisecond

// maxStartDelay is how long after its start a process is told to end, at most, by faultTermStart.
const maxStartDelay = 60 * time.Millisecond

// controllerFaultPlays play faults of controllers, of their clients and of their way to the feed.
var controllerFaultPlays = map[string]func(r *run, c *Controller, t Fault) error{
	faultTerm: func(r *run, c *Controller, t Fault) error {
		c.terminate(int(t.Length / time.Millisecond))
		r.saveLog(c)
		return c.start()
	},
	faultTermStart: func(r *run, c *Controller, t Fault) error {
		c.terminate(int(t.Length / time.Millisecond))
		r.saveLog(c)
		if err := c.startAndTerminate(t.Length % maxStartDelay); err != nil {
			return err
		}
		return c.start()
	},
	faultTermPause: func(r *run, c *Controller, t Fault) error {
		time.AfterFunc(time.Duration(t.Target)*pauseStep, func() { c.pause(t.Length) })
		c.terminate(int(t.Length / time.Millisecond))
		r.saveLog(c)
		return c.start()
	},
	faultKill: func(r *run, c *Controller, _ Fault) error {
		c.kill()
		r.saveLog(c)
		return c.start()
	},
	faultPause: func(_ *run, c *Controller, t Fault) error {
		c.pause(t.Length)
		return nil
	},
	faultMove: func(_ *run, c *Controller, t Fault) error {
		if err := c.move(); err != nil {
			return err
		}
		time.Sleep(t.Length / 10)
		return c.move()
	},
	faultFeedDown:    failFeed,
	faultFeedSilent:  failFeed,
	faultFeedSlow:    failFeed,
	faultBadClient:   badClients,
	faultIdleFlood:   floodWithIdleClients,
	faultDialFails:   func(_ *run, c *Controller, t Fault) error { return c.steer(t) },
	faultAcceptFails: func(_ *run, c *Controller, t Fault) error { return c.steer(t) },
	faultClockStep:   func(_ *run, c *Controller, t Fault) error { return c.steer(t) },
}

// feedPiece is how many bytes the feed sends at once in faultFeedSlow.
const feedPiece = 7

func failFeed(_ *run, c *Controller, t Fault) error {
	piece := 0 // a whole line
	if t.Kind == faultFeedSlow {
		piece = feedPiece
	}
	entrance := c.entrance()
	entrance.fail(t.Kind == faultFeedDown, t.Kind == faultFeedSilent, piece)
	time.Sleep(t.Length)
	entrance.fail(false, false, 0)
	return nil
}

// badClients has clients that speak badly come for a time.
func badClients(r *run, c *Controller, t Fault) error {
	random := rand.New(rand.NewPCG(r.config.Seed, uint64(t.At)))
	for stop := time.Now().Add(t.Length); time.Now().Before(stop); {
		if fake.MisbehavingClient(c.address, random) {
			r.records.addFailure("a bad client is served")
		}
	}
	return nil
}

const (
	floodSize        = 600 // connections, more than a controller has descriptors for
	floodDialTimeout = 100 * time.Millisecond
)

// floodWithIdleClients has clients that say nothing fill the controller's descriptors for a time.
func floodWithIdleClients(r *run, c *Controller, t Fault) error {
	from := time.Now()
	dialer := net.Dialer{Timeout: floodDialTimeout}
	var conns []net.Conn
	for range floodSize {
		conn, err := dialer.DialContext(context.Background(), "tcp4", c.address)
		if err != nil {
			time.Sleep(floodDialTimeout / floodSize)
			continue
		}
		conns = append(conns, conn)
	}
	time.Sleep(t.Length)
	for _, conn := range conns {
		_ = conn.Close() // the controller may have closed it
	}
	r.records.addIdleFlood(c.index, Interval{From: from, To: time.Now()})
	return nil
}

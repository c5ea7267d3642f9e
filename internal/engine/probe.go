package engine

import (
	"strconv"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
)

// Probe asks an engine for its load report, or only whether it is healthy. The outcome is TimedOut if no answer arrives
// within the timeout.
func (p *Pool) Probe(to backend.Host, load bool, timeout time.Duration, reply func(backend.Reply)) {
	name := commandAlive
	if load {
		name = commandStats
	}
	id := p.nextProbeID()
	command := appendCommand(nil, name, id)
	p.probe(to, id, command, timeout, func(r backend.Reply) {
		if r.Outcome != backend.Reset {
			reply(r)
			return
		}
		// A probe has no effect, and the reset may concern only this connection: the probe is sent once more.
		counters.Increment("probes_retried")
		p.probe(to, id, command, timeout, reply)
	})
}

func (p *Pool) nextProbeID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probeID++
	return "t" + strconv.FormatUint(p.probeID, 10)
}

func (p *Pool) probe(to backend.Host, id string, command []byte, timeout time.Duration, reply func(backend.Reply)) {
	d := &Dispatch{pool: p, id: id, reply: reply, decidedAt: time.Now(), isProbe: true, probe: command}
	p.place(to, d)
	startTimeout(timeout, func() {
		if d.Cancel(func() {}) {
			d.notifyEnd(backend.Reply{Outcome: backend.TimedOut})
		}
	})
}

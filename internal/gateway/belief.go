package gateway

import (
	"fmt"
	"log/slog"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/counters"
	"swiftreel/internal/ratelog"
)

const (
	beliefEvery   = time.Second
	countersEvery = 60 // looks; a tenth of that with -trace
	differsMost   = 3  // looks in a row: what is on its way between module and sockets differs for a moment only
)

// belief holds what the module thinks of each engine against what is out on the sockets.
type belief struct {
	differs map[string]int // looks in a row, by engine; one that agrees leaves, as does one no longer seen
	say     ratelog.Logger
	looks   int
	told    string // of the counters
}

// watch looks each second, until the gateway is closed.
func (g *Gateway) watch(done <-chan struct{}) {
	b := belief{differs: map[string]int{}}
	tick := time.NewTicker(beliefEvery)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
			b.look(g)
			g.drainsPass()
			b.counters(bool(g.trace))
		}
	}
}

// counters logs them now and then, if any has changed.
func (b *belief) counters(often bool) {
	if b.looks++; b.looks%countersEvery == 0 || often && b.looks%(countersEvery/10) == 0 {
		if now := counters.LogAttributes(); fmt.Sprint(now) != b.told {
			b.told = fmt.Sprint(now)
			slog.Info("counters", now...)
		}
	}
}

// look compares once. An engine that is gone is told of only while something is out there.
func (b *belief) look(g *Gateway) {
	g.mu.Lock()
	seen := g.module.EngineViews(max(g.last, g.clock.now()))
	names := make([]string, len(seen))
	for i, s := range seen {
		if l := g.roster.byID[s.Engine]; l != nil {
			names[i] = l.host.Name
		}
	}
	g.mu.Unlock()
	before := b.differs
	b.differs = map[string]int{}
	for i, s := range seen {
		open, giving := g.pool.Out(names[i])
		if s.Jobs != open+giving {
			if b.differs[names[i]] = before[names[i]] + 1; b.differs[names[i]] >= differsMost {
				b.say.CountAndWarn("beliefs_differ", "belief", "engine", names[i], "module_jobs", s.Jobs, "open", open, "given_up", giving)
			}
		}
		if g.trace && (s.UnavailableReason != "gone" || s.Jobs > 0) {
			slog.Info("belief", "engine", names[i], "module_jobs", s.Jobs, "open", open, "given_up", giving, "threads", s.Threads,
				"others", s.SiblingThreads, "report_age_ms", ms(s.ReportAge), "heard_ms", ms(s.LastSeenAge), "out", s.UnavailableReason)
		}
	}
}

func ms(n choice.Nanos) int64 { return int64(n) / int64(time.Millisecond) }

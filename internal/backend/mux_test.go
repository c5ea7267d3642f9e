package backend

import (
	"testing"
	"time"
)

// fakeEngines ends each dispatch and probe immediately with a fixed outcome.
type fakeEngines struct {
	Engines
	outcome Outcome
	started *[]string
}

func (s fakeEngines) Start(to Host, _ Request, reply func(Reply)) Dispatch {
	*s.started = append(*s.started, to.Name)
	reply(Reply{Outcome: s.outcome})
	return endedDispatch{}
}

func (s fakeEngines) Probe(_ Host, _ bool, _ time.Duration, reply func(Reply)) {
	reply(Reply{Outcome: s.outcome})
}
func (s fakeEngines) InFlight(string) (int, int) { return 1, 2 }

func TestMuxForwardsToTheProtocolOfTheHost(t *testing.T) {
	var line, other []string
	e := NewMux(map[Protocol]Factory{Line: func(Limits) Engines { return fakeEngines{outcome: Done, started: &line} },
		"other": func(Limits) Engines { return fakeEngines{outcome: Full, started: &other} }}, Limits{})
	var outcomes []Outcome
	reply := func(r Reply) { outcomes = append(outcomes, r.Outcome) }
	e.Start(Host{Name: "a"}, Request{}, reply)
	e.Start(Host{Name: "b", Protocol: "other"}, Request{}, reply)
	d := e.Start(Host{Name: "c", Protocol: "nobody's"}, Request{}, reply) // unknown protocol: nothing is sent
	e.Probe(Host{Name: "c", Protocol: "nobody's"}, true, time.Second, reply)
	if len(line) != 1 || len(other) != 1 || line[0] != "a" || other[0] != "b" || d.Cancel(nil) {
		t.Errorf("line %v, other %v", line, other)
	}
	if len(outcomes) != 4 || outcomes[0] != Done || outcomes[1] != Full || outcomes[2] != NotConnected ||
		outcomes[3] != NotConnected {
		t.Errorf("outcomes %v", outcomes)
	}
	if open, cancelled := e.InFlight("a"); open != 2 || cancelled != 4 {
		t.Errorf("%d open, %d cancelled", open, cancelled)
	}
}

package backend

import (
	"testing"
	"time"
)

// spoken is a protocol whose engines end all at once.
type spoken struct {
	Engines
	end  Outcome
	seen *[]string
}

func (s spoken) Start(to Host, _ Request, reply func(Reply)) Dispatch {
	*s.seen = append(*s.seen, to.Name)
	reply(Reply{Outcome: s.end})
	return endedDispatch{}
}

func (s spoken) Probe(_ Host, _ bool, _ time.Duration, reply func(Reply)) {
	reply(Reply{Outcome: s.end})
}
func (s spoken) InFlight(string) (int, int) { return 1, 2 }

func TestEachProtocolHasItsOwn(t *testing.T) {
	var line, other []string
	e := NewMux(map[Protocol]Factory{Line: func(Limits) Engines { return spoken{end: Done, seen: &line} },
		"other": func(Limits) Engines { return spoken{end: Full, seen: &other} }}, Limits{})
	var ends []Outcome
	reply := func(r Reply) { ends = append(ends, r.Outcome) }
	e.Start(Host{Name: "a"}, Request{}, reply)
	e.Start(Host{Name: "b", Protocol: "other"}, Request{}, reply)
	d := e.Start(Host{Name: "c", Protocol: "nobody's"}, Request{}, reply) // never ran: nothing was sent
	e.Probe(Host{Name: "c", Protocol: "nobody's"}, true, time.Second, reply)
	if len(line) != 1 || len(other) != 1 || line[0] != "a" || other[0] != "b" || d.Cancel(nil) {
		t.Errorf("line %v, other %v", line, other)
	}
	if len(ends) != 4 || ends[0] != Done || ends[1] != Full || ends[2] != NotConnected || ends[3] != NotConnected {
		t.Errorf("ends %v", ends)
	}
	if open, given := e.InFlight("a"); open != 2 || given != 4 {
		t.Errorf("%d open, %d given up", open, given)
	}
}

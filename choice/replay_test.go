package choice

import (
	"compress/gzip"
	"encoding/gob"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand"
	"os"
	"path/filepath"
	"testing"
)

// Streams of events that the module of 2026-12-01 was told, before it knew of plans, and what it decided: without a
// plan it has to decide so for ever, to the byte. Where a decision is changed on purpose they are recorded anew, by the
// module as it stands before the next subsystem: go test ./choice -run Recorded -record.
var record = flag.Bool("record", false, "record the streams of testdata anew")

type told struct {
	At Nanos
	Event
	Decided uint64 // digest of all actions so far
}

func digest(sum uint64, acts []Action) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d", sum)
	for _, a := range acts {
		fmt.Fprintf(h, "|%d %d %d %d %d %d %d %x %d %d %v %q", a.Kind, a.Job, a.Engine, a.Seq, a.Span, a.Until, a.Priority, a.MemoryMB, a.Mark, a.Peer,
			a.On, a.Text)
	}
	return h.Sum64()
}

// GobEncode and GobDecode let streams be recorded whose events can teach: Means has no exported fields.
func (m Means) GobEncode() ([]byte, error)   { return json.Marshal(m) }
func (m *Means) GobDecode(text []byte) error { return json.Unmarshal(text, m) }

// variants of settings, each a stream.
var variants = map[string]func(Facts) Facts{
	"few":    func(f Facts) Facts { return f },
	"many":   func(f Facts) Facts { return f.set("balancers", 60.0).set("tariffs", map[string]any{"probe": 0.001}) },
	"paging": func(f Facts) Facts { return f.set("domain.memory_short", "swap").set("limits.probes", false) },
	"zones":  func(f Facts) Facts { return f.set("tariffs", map[string]any{"cross_zone": 0.02}).set("locality", 1.0) },
}

func TestRecordedStreamsAreDecidedAsBeforePlans(t *testing.T) {
	gob.Register(map[string]any{})
	gob.Register([]any{})
	for name, change := range variants {
		path := filepath.Join("testdata", name+".gob.gz")
		if *record {
			recordStream(t, path, change(plainFacts()))
		}
		f, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		z, err := gzip.NewReader(f)
		if err != nil {
			t.Fatal(err)
		}
		var events []told
		if err := gob.NewDecoder(z).Decode(&events); err != nil {
			t.Fatal(err)
		}
		var c Controller
		var sum uint64
		for i, ev := range events {
			if sum = digest(sum, c.Decide(ev.At, ev.Event)); sum != ev.Decided {
				t.Fatalf("%s: event %d (kind %d) is decided otherwise", name, i, ev.Kind)
			}
		}
		t.Logf("%s: %d events", name, len(events))
	}
}

func recordStream(t *testing.T, path string, f Facts) {
	var events []told
	var sum uint64
	s := newStage(t, f, 0)
	s.heard = func(ev Event, acts []Action) {
		sum = digest(sum, acts)
		events = append(events, told{s.now, ev, sum})
	}
	s.c = Controller{}
	s.timers = map[Mark]Nanos{}
	s.tell(Event{Kind: Started, Seed: 11, Facts: f})
	s.list(CachedList, Line{Engine: 100, State: Ready}, Line{Engine: 101, State: Ready, Zone: 1}, Line{Engine: 102, State: Ready})
	s.chaos(rand.New(rand.NewSource(5)), 250)
	os.MkdirAll("testdata", 0o755)
	out, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	z := gzip.NewWriter(out)
	if err := gob.NewEncoder(z).Encode(events); err != nil {
		t.Fatal(err)
	}
	z.Close()
	out.Close()
}

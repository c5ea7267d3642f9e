package main

import (
	"slices"
	"strings"
	"syscall"
	"testing"

	"swiftreel/internal/config"
	"swiftreel/internal/counters"
	"swiftreel/internal/fake"
	"swiftreel/internal/operator"
)

func TestTheFeedIsResumedAndAnAddressReused(t *testing.T) {
	w := startController(t, "e1")
	w.feed.DropConnections()
	w.feed.Write("no JSON\n")
	address := w.engines["e1"].Address()
	w.feed.AddEvent(false, "["+endpointEntry("e1", address, "gone")+"]")
	w.feed.AddEvent(false, "["+endpointEntry("e2", address, "ready")+"]")
	for w.isThrottled(w.submit("lookup", "900")) { // until the feed is reconnected
	}
	if requested := w.feed.DropConnections(); requested[0] != 1 {
		t.Errorf("subscribed from events already received: %v", requested)
	}
}

// A job stays dispatched while SIGHUP moves the feed and while reloads of an invalid file fail.
func TestSIGHUPFollowsAMovedFeed(t *testing.T) {
	w := startController(t, "e1")
	out := w.submit("lookup", "20000")
	c := w.nextCommand("fetch")
	moved, err := fake.StartDiscovery("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer moved.Close()
	known := moved.AddEvent(true, "["+endpointEntry("e1", w.engines["e1"].Address(), "ready")+"]")
	moved.AddEvent(false, "["+w.startEngine("e2")+"]")
	w.writeConfig(moved.Address(), known)
	w.reload <- syscall.SIGHUP
	w.feed.Close()
	eventually(t, "no subscription at the new address", func() bool { return len(moved.Subscriptions()) == 1 })
	for _, text := range []string{"{", strings.Replace(readText(w.config), moved.Address(), "nowhere", 1)} {
		writeFile(t, w.config, text)
		failed := counters.Value("reloads_failed")
		w.reload <- syscall.SIGHUP
		eventually(t, "no failed reload", func() bool { return counters.Value("reloads_failed") == failed+1 })
	}
	moved.AddEvent(false, "["+endpointEntry("e1", w.engines["e1"].Address(), "draining")+"]")
	for host := ""; host != "e2"; { // until the event has arrived
		id := w.submit("lookup", "20000")
		d := w.nextCommand("fetch")
		host = d.host
		d.from.Answer(d.ID, "data", "sheets=1", "a\tb\tc\n")
		w.expectAnswer(id, "")
	}
	c.from.Answer(c.ID, "data", "sheets=1", "a\tb\tc\n")
	w.expectAnswer(out, "")
	if requested := moved.Subscriptions(); !slices.Equal(requested, []int{1}) {
		t.Errorf("subscribed at the new address from %v", requested)
	}
}

// Values that differ but need a restart are named in order and keep their current values.
func TestValuesThatNeedARestartAreNamedAndKept(t *testing.T) {
	current := files{
		config: config.File{
			Name:     "n0",
			Listen:   "a:1",
			Seed:     1,
			Settings: map[string]any{"kept": 1.0, "changed": 1.0, "removed": 1.0},
		},
		operator: operator.File{
			SPARQL: &operator.SPARQL{Path: "/sparql"},
			Stats:  &operator.Stats{Listen: "a:2", SpecDigest: "s1"},
		},
	}
	r := reloader{current: current}
	same := current
	same.config.Seed = 2 // differs on each start
	if names := r.retainUntilRestart(&same); len(names) > 0 {
		t.Errorf("nothing differs, but %q", names)
	}
	next := current
	next.config.Name, next.config.Listen = "n1", "a:9"
	next.config.Settings = map[string]any{"kept": 1.0, "changed": 2.0, "added": 1.0}
	next.operator = operator.File{Stats: &operator.Stats{Listen: "a:3", SpecDigest: "s2"}}
	names := r.retainUntilRestart(&next)
	want := []string{
		"listen",
		"name",
		"settings.added",
		"settings.changed",
		"settings.removed",
		"operator.sparql",
		"operator.tally",
	}
	if !slices.Equal(names, want) {
		t.Errorf("%q, want %q", names, want)
	}
	if next.operator.SPARQL != current.operator.SPARQL || next.operator.Stats != current.operator.Stats {
		t.Errorf("changed: %+v", next.operator)
	}
	spec := current
	spec.operator.Stats = &operator.Stats{Listen: "a:2", SpecDigest: "s2"} // another file at the same address
	if names := r.retainUntilRestart(&spec); len(names) > 0 || spec.operator.Stats.SpecDigest != "s2" {
		t.Errorf("%q, %+v", names, spec.operator.Stats)
	}
}

package main

import (
	"slices"
	"strings"
	"syscall"
	"testing"

	"swiftreel/internal/counters"
	"swiftreel/internal/fake"
)

func TestTheFeedIsResumedAndAnAddressReused(t *testing.T) {
	w := startController(t, "e1")
	w.feed.DropConnections()
	w.feed.Write("no JSON\n")
	address := w.engines["e1"].Address()
	w.feed.AddEvent(false, "["+entry("e1", address, "gone")+"]")
	w.feed.AddEvent(false, "["+entry("e2", address, "ready")+"]")
	for w.isThrottled(w.submit("lookup", "900")) { // until the feed is called anew
	}
	if requested := w.feed.DropConnections(); requested[0] != 1 {
		t.Errorf("asked for what is known: %v", requested)
	}
}

// Under load: a job is out when the feed moves, and again when the file cannot be used.
func TestAtSIGHUPTheFeedIsFollowedWhereItMoved(t *testing.T) {
	w := startController(t, "e1")
	out := w.submit("lookup", "20000")
	c := w.nextCommand("fetch")
	moved, err := fake.StartDiscovery("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer moved.Close()
	known := moved.AddEvent(true, "["+entry("e1", w.engines["e1"].Address(), "ready")+"]")
	moved.AddEvent(false, "["+w.engine("e2")+"]")
	w.write(moved.Address(), known)
	w.reload <- syscall.SIGHUP
	w.feed.Close()
	eventually(t, "the new place is not asked", func() bool { return len(moved.Subscriptions()) == 1 })
	for _, text := range []string{"{", strings.Replace(readText(w.config), moved.Address(), "nowhere", 1)} {
		writeFile(t, w.config, text)
		failed := counters.Value("reloads_failed")
		w.reload <- syscall.SIGHUP
		eventually(t, "no failed reload", func() bool { return counters.Value("reloads_failed") == failed+1 })
	}
	moved.AddEvent(false, "["+entry("e1", w.engines["e1"].Address(), "draining")+"]")
	for host := ""; host != "e2"; { // told of in a moment
		id := w.submit("lookup", "20000")
		d := w.nextCommand("fetch")
		host = d.host
		d.from.Answer(d.ID, "data", "sheets=1", "a\tb\tc\n")
		w.expectAnswer(id, "")
	}
	c.from.Answer(c.ID, "data", "sheets=1", "a\tb\tc\n")
	w.expectAnswer(out, "")
	if requested := moved.Subscriptions(); !slices.Equal(requested, []int{1}) {
		t.Errorf("the new place was asked from %v", requested)
	}
}

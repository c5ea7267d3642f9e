package main

import (
	"strings"
	"testing"
	"time"
)

func TestAJobIsServedOrThrottled(t *testing.T) {
	w := startController(t, "e1")
	id := w.submit("lookup", "20000")
	c := w.nextCommand("fetch")
	c.from.Answer(c.ID, "data", "sheets=2,toil=35,room=76", "one\tb\tc\n")
	c.from.Answer(c.ID, "page", "sheet=1", "two\tb\tc\n")
	if a := w.expectAnswer(id, ""); string(a.Body) != "one\tb\tc\ntwo\tb\tc\n" {
		t.Fatalf("%q", a.Body)
	}
	w.nextCommand("more")
	w.nextCommand("done")
	w.feed.AddEvent(false, "["+entry("e1", w.engines["e1"].Address(), "draining")+"]")
	for !w.isThrottled(w.submit("lookup", "900")) { // draining is heard of in a moment
	}
}

func TestAJobRevokedIsAbortedAndGetsNoAnswer(t *testing.T) {
	w := startController(t, "e1")
	id := w.submit("lookup", "20000")
	c := w.nextCommand("fetch")
	if err := w.caller.Revoke(id); err != nil {
		t.Fatal(err)
	}
	w.expectAbort(c)
	c.from.Answer(c.ID, "data", "sheets=1", "late\tb\tc\n")
	id = w.submit("lookup", "20000")
	c = w.nextCommand("fetch")
	c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
	w.expectAnswer(id, "") // and not what was revoked
}

func TestARunOnceJobIsRetriedOnlyIfItNeverRan(t *testing.T) {
	w := startController(t, "e1", "e2")
	id := w.submit("import", "20000", "row", "k1")
	c := w.nextCommand("fetch")
	c.from.Answer(c.ID, "full", "", "")
	c = w.nextCommand("fetch") // never ran: once more
	c.from.Reset()
	w.expectAnswer(id, "Internal") // may have run: neither again nor harmless to repeat
	w.serveJobs(12)
	id = w.submit("lookup", "20000")
	w.nextCommand("fetch").from.Reset()
	c = w.nextCommand("fetch") // restartable
	c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
	w.expectAnswer(id, "")
	w.engines["e1"].Close() // refuses: what goes there never ran
	for range 4 {
		id = w.submit("import", "20000", "row", "k2")
		c = w.nextCommand("fetch")
		c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
		w.expectAnswer(id, "")
	}
}

func TestASilentEngineCostsNoAnswer(t *testing.T) {
	w := startController(t, "e1")
	id := w.submit("lookup", "1500")
	c := w.nextCommand("fetch")
	w.expectAnswer(id, "Overloaded") // restartable, so harmless to repeat
	w.expectAbort(c)
}

// A dispatch called back and the next one go over two connections: seen on sockets, the next was read first, and
// the job ran twice at once for a moment.
func TestACancelledDispatchIsAbortedWellBeforeTheRetry(t *testing.T) {
	w := startController(t, "e1", "e2")
	w.serveJobs(12)
	id := w.submit("lookup", "20000")
	first := w.nextCommand("fetch") // silent: the module calls it back when it is overdue
	w.expectAbort(first)
	aborted := time.Now()
	c := w.nextCommand("fetch")
	if c.ID != first.ID || time.Since(aborted) < step/2 {
		t.Fatalf("sent again %v after the abort", time.Since(aborted))
	}
	c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
	w.expectAnswer(id, "")
}

func TestJobsOfOneKeyTakeTurns(t *testing.T) {
	w := startController(t, "e1", "e2")
	first := w.submit("import", "20000", "row", "k1")
	second := w.submit("import", "20000", "row", "k1")
	other := w.submit("import", "20000", "row", "k2")
	a, b := w.nextCommand("fetch"), w.nextCommand("fetch")
	if a.ID > b.ID {
		a, b = b, a
	}
	b.from.Answer(b.ID, "data", "sheets=1", "")
	w.expectAnswer(other, "")
	if len(w.commands) > 0 {
		t.Fatal("the second of a key went out beside the first")
	}
	a.from.Answer(a.ID, "data", "sheets=1", "")
	w.expectAnswer(first, "")
	b = w.nextCommand("fetch")
	b.from.Answer(b.ID, "data", "sheets=1", "")
	w.expectAnswer(second, "")
}

// Seen on a made-up deployment with keyed jobs: the bench ended each day at the first of them, as the key under which
// an engine does a thing once was not passed on.
func TestAnIdempotencyKeyIsPassedOn(t *testing.T) {
	w := startController(t, "e1")
	for key, fields := range map[string]string{"k-7f3a9c21": ",i=k-7f3a9c21", "": ""} {
		var more []string
		if key != "" {
			more = []string{"dedupe", key}
		}
		id := w.submit("lookup", "20000", more...)
		c := w.nextCommand("fetch")
		if _, got, is := strings.Cut(c.Fields, ",i="); is != (key != "") || is && ",i="+got != fields {
			t.Errorf("%q is passed on as %q", key, c.Fields)
		}
		c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
		w.expectAnswer(id, "")
	}
}

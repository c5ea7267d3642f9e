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
	w.feed.AddEvent(false, "["+endpointEntry("e1", w.engines["e1"].Address(), "draining")+"]")
	for !w.isThrottled(w.submit("lookup", "900")) { // until the event has arrived
	}
}

func TestAJobRevokedIsAbortedAndGetsNoAnswer(t *testing.T) {
	w := startController(t, "e1")
	id := w.submit("lookup", "20000")
	c := w.nextCommand("fetch")
	if err := w.client.Revoke(id); err != nil {
		t.Fatal(err)
	}
	w.expectAbort(c)
	c.from.Answer(c.ID, "data", "sheets=1", "late\tb\tc\n")
	id = w.submit("lookup", "20000")
	c = w.nextCommand("fetch")
	c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
	w.expectAnswer(id, "") // and no answer to the revoked job
}

func TestARunOnceJobIsRetriedOnlyIfItNeverRan(t *testing.T) {
	w := startController(t, "e1", "e2")
	id := w.submit("import", "20000", "row", "k1")
	c := w.nextCommand("fetch")
	c.from.Answer(c.ID, "full", "", "")
	c = w.nextCommand("fetch") // it never ran, so it is retried
	c.from.Reset()
	w.expectAnswer(id, "Internal") // it may have run: not retried, and not safe for the client to repeat
	w.serveJobs(12)
	id = w.submit("lookup", "20000")
	w.nextCommand("fetch").from.Reset()
	c = w.nextCommand("fetch") // restartable
	c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
	w.expectAnswer(id, "")
	w.engines["e1"].Close() // refuses connections: jobs sent there never ran
	for range 4 {
		id = w.submit("import", "20000", "row", "k2")
		c = w.nextCommand("fetch")
		c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
		w.expectAnswer(id, "")
	}
}

func TestAJobOnASilentEngineIsAnswered(t *testing.T) {
	w := startController(t, "e1")
	id := w.submit("lookup", "1500")
	c := w.nextCommand("fetch")
	w.expectAnswer(id, "Overloaded") // restartable, so safe to repeat
	w.expectAbort(c)
}

// The abort of a dispatch and the retry go over two connections. When the retry was read first, the job briefly ran
// twice at the same time.
func TestACancelledDispatchIsAbortedWellBeforeTheRetry(t *testing.T) {
	w := startController(t, "e1", "e2")
	w.serveJobs(12)
	id := w.submit("lookup", "20000")
	first := w.nextCommand("fetch") // not answered: the decision module cancels it when it is overdue
	w.expectAbort(first)
	aborted := time.Now()
	c := w.nextCommand("fetch")
	if c.ID != first.ID || time.Since(aborted) < step/2 {
		t.Fatalf("sent again %v after the abort", time.Since(aborted))
	}
	c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
	w.expectAnswer(id, "")
}

func TestJobsOfOneKeyAreSerialized(t *testing.T) {
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
		t.Fatal("the second job of a key was dispatched while the first was running")
	}
	a.from.Answer(a.ID, "data", "sheets=1", "")
	w.expectAnswer(first, "")
	b = w.nextCommand("fetch")
	b.from.Answer(b.ID, "data", "sheets=1", "")
	w.expectAnswer(second, "")
}

// The idempotency key of a job must be passed to the engine, which runs a job once per key. When it was missing, each
// simulated day of a deployment with keyed jobs ended at the first such job.
func TestAnIdempotencyKeyIsPassedOn(t *testing.T) {
	w := startController(t, "e1")
	for key, fields := range map[string]string{"k-7f3a9c21": ",i=k-7f3a9c21", "": ""} {
		var more []string
		if key != "" {
			more = []string{"dedupe", key}
		}
		id := w.submit("lookup", "20000", more...)
		c := w.nextCommand("fetch")
		if _, got, found := strings.Cut(c.Fields, ",i="); found != (key != "") || found && ",i="+got != fields {
			t.Errorf("%q is passed on as %q", key, c.Fields)
		}
		c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
		w.expectAnswer(id, "")
	}
}

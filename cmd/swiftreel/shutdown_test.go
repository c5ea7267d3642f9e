package main

import (
	"errors"
	"fmt"
	"io"
	"syscall"
	"testing"
	"time"

	"swiftreel/internal/client"
	"swiftreel/internal/counters"
	"swiftreel/internal/fake"
)

func TestAfterSIGTERMWhatComesIsServedAndThenItEnds(t *testing.T) {
	w := startController(t, "e1")
	lateArrivalWindow = 900 * time.Millisecond
	id := w.submit("lookup", "20000")
	c := w.nextCommand("fetch")
	w.stop <- syscall.SIGTERM
	eventually(t, "still ready", func() bool { ready, err := w.dialReady(); return !ready && err == nil })
	late := w.dial()
	fields := []string{"call", "00000000000000bb", "ttl", "20000", "org", "acme"}
	if _, err := late.Send("lookup", "SELECT 1 FROM a_1.b", fields...); err != nil {
		t.Fatal(err)
	}
	d := w.nextCommand("fetch")
	d.from.Answer(d.ID, "data", "sheets=1", "late\tb\tc\n")
	if a, err := late.Read(20 * time.Second); err != nil || string(a.Body) != "late\tb\tc\n" {
		t.Fatal(a, err)
	}
	select {
	case err := <-w.ended:
		t.Fatal("ended with an answer owed", err)
	case <-time.After(lateArrivalWindow + 100*time.Millisecond):
	}
	c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
	w.expectAnswer(id, "")
	if err := <-w.ended; err != nil {
		t.Fatal(err)
	}
	w.caller.Conn.Close()
	late.Conn.Close()
	w.caller = nil
}

// What was begun before the end, and what comes once nothing is taken any more, is answered and not sent on; a client
// that rests until the controller ends it sees an end in order.
func TestWhatIsHalfReadAtTheEndIsAnswered(t *testing.T) {
	w := startController(t, "e1")
	previousTimeout := partialMessageTimeout
	partialMessageTimeout = time.Minute
	defer func() { partialMessageTimeout = previousTimeout }()
	late, resting := w.dial(), w.dial()
	defer late.Conn.Close()
	defer resting.Conn.Close()
	for _, c := range []*fake.Client{late, resting} {
		if ready, err := c.Ready(); !ready || err != nil {
			t.Fatal(ready, err)
		}
	}
	fields := []string{"call", "00000000000000bb", "ttl", "20000", "org", "acme"}
	call := client.AppendCall(nil, 9, "lookup", fields, []byte("SELECT 1 FROM a_1.b"))
	late.Conn.Write(call[:20])
	before := counters.Value("calls_after_stop")
	w.stop <- syscall.SIGTERM
	for submitted := 0; counters.Value("calls_after_stop") == before; submitted++ { // until nothing is taken any more
		id, err := w.caller.Send("lookup", "SELECT 1 FROM a_1.b",
			"call", fmt.Sprintf("%016x", 0xcc00+submitted), "ttl", "20000", "org", "acme")
		if err != nil {
			t.Fatal(err)
		}
		if counters.Value("calls_after_stop") == before {
			select {
			case c := <-w.commands:
				c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
			case <-w.throttledAfterStop(before):
			}
		}
		if a, err := w.caller.Read(20 * time.Second); err != nil || a.ID != id || a.Error != "" && a.Error != "Overloaded" {
			t.Fatal(a, err)
		}
	}
	time.Sleep(5 * quietPeriod) // time enough to end in, for one that does not wait for the other half
	late.Conn.Write(call[20:])
	if a, err := late.Read(20 * time.Second); err != nil || a.ID != 9 || a.Error != "Overloaded" {
		t.Fatal(a, err)
	}
	if len(w.commands) > 0 {
		t.Errorf("sent on: %+v", <-w.commands)
	}
	if err := <-w.ended; err != nil {
		t.Fatal(err)
	}
	if _, err := resting.Read(20 * time.Second); !errors.Is(err, io.EOF) {
		t.Errorf("not ended in order: %v", err)
	}
	w.caller.Conn.Close()
	w.caller = nil
}

// SIGHUP and SIGTERM at once, and SIGTERM twice: the file is read or not, the job that is out gets its answer, and the
// program ends once.
func TestSignalsThatCross(t *testing.T) {
	for range 5 {
		w := startController(t, "e1")
		id := w.submit("lookup", "20000")
		c := w.nextCommand("fetch")
		w.reload <- syscall.SIGHUP
		w.stop <- syscall.SIGTERM
		w.sendSIGHUP()
		eventually(t, "still ready", func() bool { ready, err := w.dialReady(); return !ready && err == nil })
		w.stop <- syscall.SIGTERM
		w.sendSIGHUP()
		c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
		w.expectAnswer(id, "")
		if err := <-w.ended; err != nil {
			t.Fatal(err)
		}
		w.caller.Conn.Close()
		w.caller = nil
	}
}

// throttledAfterStop is closed once a call was throttled because nothing is taken any more.
func (w *testController) throttledAfterStop(before uint64) <-chan struct{} {
	seen := make(chan struct{})
	go func() {
		stop := time.Now().Add(20 * time.Second)
		for counters.Value("calls_after_stop") == before && time.Now().Before(stop) {
			time.Sleep(time.Millisecond)
		}
		close(seen)
	}()
	return seen
}

func (w *testController) dialReady() (bool, error) {
	c := w.dial()
	defer c.Conn.Close()
	return c.Ready()
}

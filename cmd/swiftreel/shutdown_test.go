package main

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"swiftreel/internal/client"
	"swiftreel/internal/counters"
	"swiftreel/internal/fake"
	"swiftreel/internal/operator"
)

func TestSIGTERMServesLateCallsThenExits(t *testing.T) {
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
		t.Fatal("exited with an answer pending", err)
	case <-time.After(lateArrivalWindow + 100*time.Millisecond):
	}
	c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
	w.expectAnswer(id, "")
	if err := <-w.ended; err != nil {
		t.Fatal(err)
	}
	w.client.Conn.Close()
	late.Conn.Close()
	w.client = nil
}

// A call that is partly received at the stop signal and calls that arrive after the window are answered without being
// dispatched. An idle client's connection is closed in order, with EOF.
func TestPartialMessageAtShutdownIsAnswered(t *testing.T) {
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
	for submitted := 0; counters.Value("calls_after_stop") == before; submitted++ { // until calls are throttled
		id, err := w.client.Send("lookup", "SELECT 1 FROM a_1.b",
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
		if a, err := w.client.Read(20 * time.Second); err != nil || a.ID != id || a.Error != "" && a.Error != "Overloaded" {
			t.Fatal(a, err)
		}
	}
	time.Sleep(5 * quietPeriod) // long enough to exit if the controller did not wait for the rest of the message
	late.Conn.Write(call[20:])
	if a, err := late.Read(20 * time.Second); err != nil || a.ID != 9 || a.Error != "Overloaded" {
		t.Fatal(a, err)
	}
	if len(w.commands) > 0 {
		t.Errorf("dispatched: %+v", <-w.commands)
	}
	if err := <-w.ended; err != nil {
		t.Fatal(err)
	}
	if _, err := resting.Read(20 * time.Second); !errors.Is(err, io.EOF) {
		t.Errorf("not closed in order: %v", err)
	}
	w.client.Conn.Close()
	w.client = nil
}

// With SIGHUP and SIGTERM at the same time and a second SIGTERM, the dispatched job is answered and the controller
// exits once, whether or not the file is reloaded.
func TestConcurrentSignals(t *testing.T) {
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
		w.client.Conn.Close()
		w.client = nil
	}
}

// throttledAfterStop returns a channel that is closed once a call was throttled because of the shutdown.
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

// Guards against jobs of a key that overtake those of a successor, of which a supervisor of an earlier version tells
// nothing: the stop signal is the first sign of it.
func TestASupervisedControllerMayBeReplacedUnnoticed(t *testing.T) {
	for name, test := range map[string]struct {
		notices   string
		throttled bool
	}{
		"a supervisor that tells of successors": {operator.NoticesEnvironment(), false},
		"one of an earlier version":             {"", true},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "operator.json")
			writeFile(t, path, `{"tally":{"listen":"127.0.0.1:0","spec":"","elder":false}}`)
			t.Setenv("ROUTER_OPERATOR", path)
			if variable, value, found := strings.Cut(test.notices, "="); found {
				t.Setenv(variable, value)
			}
			w := startController(t, "e1")
			lateArrivalWindow = 3 * time.Second
			w.stop <- syscall.SIGTERM
			eventually(t, "still ready", func() bool { ready, err := w.dialReady(); return !ready && err == nil })
			keyed := w.submit("import", "20000", "row", "k")
			if w.isThrottled(keyed) != test.throttled {
				t.Error("a job of a key is throttled, or not, at the wrong time")
			}
			if w.isThrottled(w.submit("lookup", "20000")) {
				t.Error("a job without a key is throttled")
			}
			if err := <-w.ended; err != nil {
				t.Error(err)
			}
			w.client.Conn.Close()
			w.client = nil
		})
	}
}

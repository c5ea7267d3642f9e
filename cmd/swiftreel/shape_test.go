package main

import (
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"swiftreel/internal/check"
)

// The shape of the deployment is taken over by SIGHUP and given back the same way, in a running controller with a
// job in hand; a bad file changes nothing. Grants are what the engine sees of it: allot= in a fetch.
func TestAShapeIsTakenOverAndBackBySIGHUP(t *testing.T) {
	dir := t.TempDir()
	own := write(t, filepath.Join(dir, "own.json"), `{}`)
	t.Setenv("ROUTER_OPERATOR", own)
	w := newTown(t, "e1")
	reload := func(counter, text string) {
		t.Helper()
		write(t, own, text)
		before := check.Of(counter)
		w.reload <- syscall.SIGHUP
		settle(t, "not read anew", func() bool { return check.Of(counter) > before })
	}
	fetch := func(granted bool) (uint32, command) {
		t.Helper()
		id := w.job("lookup", "20000")
		c := w.got("fetch")
		if strings.Contains(c.Fields, "allot=") != granted {
			t.Errorf("fetch %q: a grant should be named: %v", c.Fields, granted)
		}
		return id, c
	}
	served := func(granted bool) {
		t.Helper()
		id, c := fetch(granted)
		c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
		w.answer(id, "")
	}
	served(true)
	id, c := fetch(true) // in hand across the switch: answered once, not sent again
	reload("reloads", `{"shape":{"grants_count":false,"takes_priority":false,"cancel":false}}`)
	c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
	w.answer(id, "")
	served(false)
	reload("reloads_failed", `{"shape":{"grants_count":"no"}}`)
	served(false)
	reload("reloads_failed", `{"shape":{"types":{"lookup":{"kinds_only":["none"]}}}}`)
	served(false)
	reload("reloads", `{"shape":{"types":{"lookup":{"kinds_only":["std"],"waits_for_loads":true}}}}`)
	served(true)
	reload("reloads", `{}`)
	served(true)
}

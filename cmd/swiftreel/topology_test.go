package main

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"swiftreel/internal/command"
	"swiftreel/internal/config"
)

// SIGHUP applies the topology in the operator's file and reverts it when it is removed, while a job is dispatched; an
// invalid file changes nothing. Engines see the change in the memory grant, the field allot of a fetch.
func TestTopologyIsAppliedAndRevertedBySIGHUP(t *testing.T) {
	dir := t.TempDir()
	operatorPath := writeFile(t, filepath.Join(dir, "own.json"), `{}`)
	t.Setenv("ROUTER_OPERATOR", operatorPath)
	w := startController(t, "e1")
	reload := func(counter, text string) { t.Helper(); w.reloadOperatorFile(operatorPath, counter, text) }
	fetched := map[string]bool{} // a job sent twice would show as a fetch of an id seen before
	fetch := func(granted bool) (uint32, engineCommand) {
		t.Helper()
		id := w.submit("lookup", "20000")
		c := w.nextCommand("fetch")
		if fetched[c.ID] {
			t.Fatalf("fetch of %s sent twice", c.ID)
		}
		fetched[c.ID] = true
		if strings.Contains(c.Fields, "allot=") != granted {
			t.Errorf("fetch %q: a grant should be named: %v", c.Fields, granted)
		}
		return id, c
	}
	served := func(granted bool) {
		t.Helper()
		id, c := fetch(granted)
		c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
		w.expectAnswer(id, "")
	}
	served(true)
	id, c := fetch(true) // dispatched during the reload: answered once, not sent again
	reload("reloads", `{"shape":{"grants_count":false,"takes_priority":false,"cancel":false}}`)
	c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
	w.expectAnswer(id, "")
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

// A topology that names an unknown job type prevents the controller from starting. The error has the file and the path
// in it.
func TestABadTopologyAtTheStartIsRefused(t *testing.T) {
	operatorPath := writeFile(
		t,
		filepath.Join(t.TempDir(), "own.json"),
		`{"shape":{"types":{"nonesuch":{"waits_for_loads":true}}}}`,
	)
	file, err := config.Parse(
		[]byte(`{"name":"n0","listen":"-","seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"feed":"127.0.0.1:1","settings":` + testSettings + `}`),
	)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ended := make(chan error, 1)
	go func() {
		ended <- run(file, l, command.ServeOptions{Operator: operatorPath}, make(chan os.Signal), make(chan os.Signal))
	}()
	select {
	case err = <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the controller started")
	}
	if err == nil || !strings.Contains(err.Error(), operatorPath) ||
		!strings.Contains(err.Error(), "/shape/types/nonesuch") {
		t.Errorf("%v, want an error with the file and the path", err)
	}
}

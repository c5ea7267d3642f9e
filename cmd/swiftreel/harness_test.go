package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"swiftreel/internal/client"
	"swiftreel/internal/command"
	"swiftreel/internal/config"
	"swiftreel/internal/counters"
	"swiftreel/internal/engine"
	"swiftreel/internal/fake"
)

// The tests run the whole program on loopback with fake clients, engines and a fake discovery feed. Results depend on
// the messages that arrive, not on elapsed time.

const testSettings = `{"balancers":1,"me":0,"step_ns":2e8,"discovery":"automatic","localities":["east"],"kinds":["std"],
"tenants":[{"name":"acme","quota_per_s":1000,"share":1}],
"classes":[{"name":"lookup","idempotency":"repeatable","aim_ns":5e8,"gain":1,"late_worth":0.5,
"key_scope":"all","repeat_window_ns":5e9},
{"name":"import","idempotency":"once","aim_ns":3e9,"gain":10,"late_worth":0.5,"fifo_by_key":true,
"key_scope":"all","repeat_window_ns":5e9}],
"domain":{"class_threads":[1,2],"cpu_of_kind":[16],"size_mb":[32000],"max_grant_share":0.4,"writes_tables":[false,true],
"waits_for_loads":[false,false],"says_cost":true,"takes_priority":true,"grants_count":true,"note_period_ns":0},
"limits":{"cancel":true,"probes":true,"most_tries":4,"retry_after":true,"max_retry_after_ns":1e9,"dial_timeout_ns":1e9,
"conn_idle_ns":15e9,"max_streams":100,"max_open":1000},"telemetry":{"via":"on_probe","fields":["concurrent"]},
"invariants":{"answer_slack_ns":2e7,"drain_grace_ns":2.5e8,"start_capacity":0.4,"warm_within_ns":1e9,
"fall_multiple":2,"fall_ns":1e9}}`

const step = 200 * time.Millisecond // step_ns of testSettings: long, so that the tests pass on a slow machine

// testController is a running controller with its peers.
type testController struct {
	t        *testing.T
	handle   func(*fake.Session, engine.Command) // nil: commands other than probes are sent to the channel
	feed     *fake.Discovery
	engines  map[string]*fake.Engine
	commands chan engineCommand
	address  string
	config   string // path of the configuration file
	stop     chan os.Signal
	reload   chan os.Signal
	ended    chan error
	client   *fake.Client
}

type engineCommand struct {
	engine.Command
	host string
	from *fake.Session
}

// eventually waits for a condition and fails the test with message if it is not met in time.
func eventually(t *testing.T, message string, condition func() bool) {
	t.Helper()
	for stop := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(stop) {
			t.Fatal(message)
		}
	}
}

func openDescriptors() int {
	list, _ := os.ReadDir("/proc/self/fd")
	return len(list)
}

// startController starts a controller whose endpoint list has the named engines. At the end of the test it checks that
// no goroutine or descriptor is leaked.
func startController(t *testing.T, names ...string) *testController {
	t.Helper()
	return startControllerWith(t, nil, names...)
}

// startControllerWith does the same with engines that pass their commands to handle, unless it is nil.
func startControllerWith(t *testing.T, handle func(*fake.Session, engine.Command), names ...string) *testController {
	t.Helper()
	previousWindow := lateArrivalWindow
	lateArrivalWindow = 50 * time.Millisecond
	log.SetOutput(io.Discard)
	runtime.GC()
	goroutines, files := runtime.NumGoroutine(), openDescriptors()
	w := &testController{
		t:        t,
		handle:   handle,
		engines:  map[string]*fake.Engine{},
		commands: make(chan engineCommand, 1000),
		stop:     make(chan os.Signal, 1),
		reload:   make(chan os.Signal, 1),
		config:   filepath.Join(t.TempDir(), "config.json"),
		ended:    make(chan error, 1),
	}
	var err error
	if w.feed, err = fake.StartDiscovery("127.0.0.1:0", 1); err != nil {
		t.Fatal(err)
	}
	var hosts []string
	for _, name := range names {
		hosts = append(hosts, w.startEngine(name))
	}
	known := w.feed.AddEvent(true, "["+strings.Join(hosts, ",")+"]")
	t.Setenv("ROUTER_CONFIG", w.config)
	w.writeConfig(w.feed.Address(), known)
	file, err := config.Load(os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.address = l.Addr().String()
	go func() {
		w.ended <- run(file, l, command.ServeOptions{Operator: os.Getenv("ROUTER_OPERATOR")}, w.stop, w.reload)
	}()
	w.client = w.dial()
	eventually(t, "not ready", func() bool { ready, err := w.client.Ready(); return ready && err == nil })
	t.Cleanup(func() {
		w.finish()
		lateArrivalWindow = previousWindow
		w.feed.Close()
		for _, e := range w.engines {
			e.Close()
		}
		eventually(t, "goroutines or descriptors leaked", func() bool {
			return runtime.NumGoroutine() <= goroutines && openDescriptors() <= files+2 // descriptors of the poller
		})
	})
	return w
}

// writeConfig writes the configuration file.
func (w *testController) writeConfig(feed, known string) {
	text := fmt.Sprintf(`{"name":"n0","listen":"-","seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"feed":%q,"known":{"n":1,"events":[%s]},"settings":%s}`, feed, known, testSettings)
	if err := os.WriteFile(w.config, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
}

// finish stops the controller, which must have no pending answers.
func (w *testController) finish() {
	if w.client != nil {
		w.stop <- syscall.SIGTERM
		if err := <-w.ended; err != nil {
			w.t.Error(err)
		}
		w.client.Conn.Close()
		w.client = nil
	}
}

func (w *testController) dial() *fake.Client {
	c, err := fake.Dial(w.address)
	if err != nil {
		w.t.Fatal(err)
	}
	return c
}

// startEngine starts an engine and returns its entry for the endpoint list. The engine answers probes; jobs are sent to
// the channel.
func (w *testController) startEngine(name string) string {
	e, err := fake.StartEngine("127.0.0.1:0", func(s *fake.Session, c engine.Command) {
		if w.handle != nil {
			w.handle(s, c)
		} else if c.Name == "stats" || c.Name == "alive" {
			s.Answer(c.ID, "well", "load=concurrent:0", "")
		} else {
			w.commands <- engineCommand{c, name, s}
		}
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.engines[name] = e
	return endpointEntry(name, e.Address(), "ready")
}

func endpointEntry(name, address, state string) string {
	b, _ := json.Marshal(map[string]any{"host": name, "dial": address, "site": "east", "class": "std", "block": 0,
		"health": state, "share": 1, "born_ms": 0})
	return string(b)
}

var lastCallID int

// submit sends a call with a new call id.
func (w *testController) submit(method string, ttl string, more ...string) uint32 {
	lastCallID++
	fields := []string{"call", fmt.Sprintf("%016x", lastCallID), "ttl", ttl, "org", "acme", "work", "50", "est_mb", "96"}
	id, err := w.client.Send(method, "INSERT INTO sales_17.orders SELECT * FROM staging.x", append(fields, more...)...)
	if err != nil {
		w.t.Fatal(err)
	}
	return id
}

func (w *testController) nextCommand(name string) engineCommand {
	w.t.Helper()
	select {
	case c := <-w.commands:
		if c.Name != name {
			w.t.Fatalf("%+v instead of %s", c.Command, name)
		}
		return c
	case <-time.After(20 * time.Second):
		w.t.Fatalf("no %s", name)
	}
	return engineCommand{}
}

// reloadOperatorFile rewrites the operator's file, sends SIGHUP and waits until the counter is incremented.
func (w *testController) reloadOperatorFile(path, counter, text string) {
	w.t.Helper()
	writeFile(w.t, path, text)
	before := counters.Value(counter)
	w.reload <- syscall.SIGHUP
	eventually(w.t, "not reloaded", func() bool { return counters.Value(counter) > before })
}

func (w *testController) expectAnswer(id uint32, errorName string) client.Answer {
	w.t.Helper()
	a, err := w.client.Read(20 * time.Second)
	if err != nil || a.ID != id || a.Error != errorName {
		w.t.Fatalf("%+v %v instead of id %d %q", a, err, id, errorName)
	}
	return a
}

// isThrottled reports whether a job is throttled. A job that is dispatched instead is answered.
func (w *testController) isThrottled(id uint32) bool {
	w.t.Helper()
	answers := make(chan client.Answer, 1)
	go func() {
		a, _ := w.client.Read(20 * time.Second)
		answers <- a
	}()
	for dispatched := false; ; {
		select {
		case c := <-w.commands:
			dispatched = true
			c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
		case a := <-answers:
			if a.ID != id || !dispatched && (a.Error != "Overloaded" || a.Fields["pushback"] != "1000") {
				w.t.Fatalf("%+v instead of id %d", a, id)
			}
			return !dispatched
		}
	}
}

// serveJobs completes n jobs, which adds to the budget for retries of restartable jobs that may have run.
func (w *testController) serveJobs(n int) {
	for range n {
		id := w.submit("lookup", "20000")
		c := w.nextCommand("fetch")
		c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
		w.expectAnswer(id, "")
	}
}

// expectAbort waits for the abort of a dispatch and answers it.
func (w *testController) expectAbort(c engineCommand) {
	w.t.Helper()
	if a := w.nextCommand("abort"); a.ID != c.ID {
		w.t.Fatal(a.ID)
	}
	w.nextCommand("more")
	c.from.Answer(c.ID, "failed", "", "")
}

// readText returns the text of a file.
func readText(path string) string {
	b, _ := os.ReadFile(path)
	return string(b)
}

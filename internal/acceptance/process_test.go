// Package acceptance holds the terms of docs/acceptance.md against real processes of the program, between stand-ins on
// loopback. What is asserted comes from the stand-ins' logs.
package acceptance

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftreel/internal/engine"
	"swiftreel/internal/fake"
	"swiftreel/internal/testcluster"
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "acceptance")
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	program = filepath.Join(dir, "swiftreel")
	if out, err := exec.Command("go", "build", "-o", program, "swiftreel/cmd/swiftreel").CombinedOutput(); err != nil {
		fmt.Printf("%s%v\n", out, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// facts are the settings of a fleet: its types, names and figures are of no other deployment.
func facts(controllers, me int) string {
	return fmt.Sprintf(`{"balancers":%d,"me":%d,"step_ns":5000000,"discovery":"automatic","localities":["here"],"kinds":["k"],
"tenants":[{"name":"one","quota_per_s":100000,"share":1}],
"classes":[{"name":"look","idempotency":"repeatable","aim_ns":4e9,"give_up_ns":8e9,"gain":1,"late_worth":0.5},
{"name":"book","idempotency":"once","aim_ns":4e9,"give_up_ns":8e9,"gain":5,"late_worth":0.5,"fifo_by_key":true}],
"domain":{"class_threads":[1,1],"cpu_of_kind":[16],"size_mb":[32000],"max_grant_share":0.4,"writes_tables":[false,false],
"waits_for_loads":[false,false],"says_cost":true,"takes_priority":true,"grants_count":true,"note_period_ns":0},
"limits":{"cancel":true,"probes":true,"most_tries":4,"retry_after":true,"max_retry_after_ns":1e9,"dial_timeout_ns":25e7,"conn_idle_ns":15e9,"max_streams":100,"max_open":1000},
"tariffs":{"probe":0.01},"telemetry":{"via":"on_probe","fields":["concurrent"]},
"invariants":{"answer_slack_ns":2e7,"drain_grace_ns":2.5e8,"order_pause_ns":5e7,"start_capacity":%g,"warm_within_ns":%d,"fall_multiple":%g,"fall_ns":%d}}`,
		controllers, me, startCapacity, warmFor, fallMultiple, fallWindow)
}

const (
	startCapacity, fallMultiple = 0.4, 2.0
	warmFor, fallWindow         = 6 * time.Second, time.Second
	cores                       = 16
)

// controller is one process with its configuration.
type controller struct {
	t           *testing.T
	listen      string
	config      string
	name        string
	seed        int
	fleet, me   int
	descriptors int // of the system; 0: as they are
	*testcluster.Process
}

// address is one of loopback that nobody listens at now.
func address(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newController(t *testing.T, fleet, me int) *controller {
	c := &controller{t: t, listen: address(t), config: filepath.Join(t.TempDir(), "config.json"), name: fmt.Sprintf("n%d", me), fleet: fleet, me: me}
	t.Cleanup(func() {
		if c.Process != nil {
			c.Kill()
		}
	})
	return c
}

// write writes the configuration; known is the text of events, the first of number 1.
func (c *controller) write(feed string, known ...string) {
	sockets := 1024
	if c.descriptors > 0 {
		sockets = c.descriptors
	}
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"%x","limits":{"cores":1,"memory_mb":64,"sockets":%d},"feed":%q,"known":{"n":%d,"events":[%s]},"settings":%s}`,
		c.name, c.listen, c.me+1, sockets, feed, len(known), strings.Join(known, ","), facts(c.fleet, c.me))
	if err := os.WriteFile(c.config, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

func (c *controller) start() {
	c.t.Helper()
	env, args, path := []string{"ROUTER_CONFIG=" + c.config}, []string(nil), program
	if c.descriptors > 0 {
		path, args = "/bin/sh", []string{"-c", fmt.Sprintf("ulimit -n %d; exec %s", c.descriptors, program)}
	}
	var err error
	if c.Process, err = testcluster.StartProcess(path, env, args...); err != nil {
		c.t.Fatal(err)
	}
}

// ready asks for the heartbeat over a new connection.
func (c *controller) ready() bool {
	caller, err := fake.Dial(c.listen)
	if err != nil {
		return false
	}
	defer caller.Conn.Close()
	is, err := caller.Ready()
	return is && err == nil
}

// newFleet starts so many controllers and waits until all are ready.
func newFleet(t *testing.T, n int, feed, known string) (all []*controller) {
	t.Helper()
	for i := range n {
		c := newController(t, n, i)
		c.write(feed, known)
		c.start()
		all = append(all, c)
	}
	for _, c := range all {
		until(t, "not ready", c.ready)
	}
	return all
}

func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for stop := time.Now().Add(30 * time.Second); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(stop) {
			t.Fatal(what)
		}
	}
}

func entry(name, address, state string, born int64) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"here","class":"k","block":0,"health":%q,"share":1,"born_ms":%d}`, name, address, state, born)
}

func event(n int, whole bool, hosts ...string) string {
	return fmt.Sprintf(`{"n":%d,"members":{"seq":%d,"whole":%v,"hosts":[%s]}}`, n, n, whole, strings.Join(hosts, ","))
}

// fetch is a dispatch that reached an engine.
type fetch struct {
	id   string
	at   time.Time
	from *fake.Session
}

// backend is an engine that logs what reaches it. Its work takes as long as the test says; held, it never answers.
type backend struct {
	*fake.Engine
	mu    sync.Mutex
	log   []fetch
	hold  bool
	takes time.Duration
	open  map[string]*time.Timer
	known map[string]bool // aborted
}

func newBackend(t *testing.T, takes time.Duration, hold bool) *backend {
	b := &backend{takes: takes, hold: hold, open: map[string]*time.Timer{}}
	var err error
	if b.Engine, err = fake.StartEngine("127.0.0.1:0", b.handle); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

func (b *backend) handle(s *fake.Session, c engine.Command) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch c.Name {
	case "stats", "alive":
		s.Answer(c.ID, "well", fmt.Sprintf("load=concurrent:%d", len(b.open)), "")
	case "fetch":
		b.log = append(b.log, fetch{c.ID, time.Now(), s})
		b.open[c.ID] = nil
		if !b.hold {
			b.open[c.ID] = time.AfterFunc(b.takes, func() { b.answer(s, c.ID) })
		}
	case "abort":
		if t := b.open[c.ID]; t != nil {
			t.Stop()
		}
		delete(b.open, c.ID)
	case "more":
		s.Answer(c.ID, "failed", "", "")
	}
}

func (b *backend) answer(s *fake.Session, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, is := b.open[id]; is {
		delete(b.open, id)
		s.Answer(id, "data", fmt.Sprintf("sheets=1,toil=%d,room=4", max(1, b.takes.Milliseconds())), "a\tb\tc\n")
	}
}

// fetches is a copy of the log.
func (b *backend) fetches() []fetch {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]fetch(nil), b.log...)
}

// release has all that is open answered, and whatever comes.
func (b *backend) release() {
	b.mu.Lock()
	b.hold = false
	var all []fetch
	for _, f := range b.log {
		if _, is := b.open[f.id]; is {
			all = append(all, f)
		}
	}
	b.mu.Unlock()
	for _, f := range all {
		b.answer(f.from, f.id)
	}
}

// ask sends a job and gives its id.
func ask(t *testing.T, c *fake.Client, kind, id string, ms int, more ...string) uint32 {
	t.Helper()
	n, err := c.Send(kind, "SELECT 1 FROM a_1.b", append([]string{"call", id, "ttl", "8000", "org", "one", "work", fmt.Sprint(ms), "est_mb", "8"}, more...)...)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

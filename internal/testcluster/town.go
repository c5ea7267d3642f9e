package testcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"swiftreel/internal/coordinator"
	"swiftreel/internal/fake"
	"swiftreel/internal/operator"
	"swiftreel/internal/rulecheck"
	"swiftreel/internal/supervisor"
)

// Settings of the town's controllers: two types that differ in what they may and how long they take.
const settings = `{"balancers":%d,"me":%d,"step_ns":5000000,"discovery":"automatic","localities":["east","west"],"locality":%d,"kinds":["std"],
"tenants":[{"name":"acme","quota_per_s":100000,"share":1}],
"classes":[{"name":"lookup","idempotency":"repeatable","aim_ns":3e8,"give_up_ns":2e9,"gain":1,"late_worth":0.5},
{"name":"import","idempotency":"once","aim_ns":6e8,"give_up_ns":4e9,"gain":10,"late_worth":0.5,"fifo_by_key":true}],
"domain":{"class_threads":[1,1],"cpu_of_kind":[16],"size_mb":[32000],"max_grant_share":0.4,"writes_tables":[false,false],
"waits_for_loads":[false,false],"says_cost":true,"takes_priority":true,"grants_count":true,"note_period_ns":0},
"limits":{"cancel":true,"probes":true,"most_tries":4,"retry_after":true,"max_retry_after_ns":1e9,"dial_timeout_ns":1e9,"conn_idle_ns":15e9,"max_streams":100,"max_open":1000},
"telemetry":{"via":"on_probe","fields":["concurrent"]},"invariants":{"answer_slack_ns":20000000,"drain_grace_ns":250000000,"order_pause_ns":50000000}}`

// Rules of the town; a busy machine may be half a second late.
var Rules = rulecheck.Rules{Types: map[string]rulecheck.Type{"lookup": {Effect: rulecheck.Restartable}, "import": {Effect: rulecheck.RunOnce, Ordered: true}},
	AnswerSlack: int64(500 * time.Millisecond), DrainGrace: int64(400 * time.Millisecond)}

// ColdRules are those of a town whose engines start cold: a window of a second, and twice of the third that they begin with.
func ColdRules() rulecheck.Rules {
	r := Rules
	r.WarmUp, r.WarmUpWindow, r.WarmUpWorkPerCore = int64(coldFor), int64(time.Second), int64(2*time.Second/3)
	return r
}

const coldFor = 6 * time.Second

var coldSettings = strings.Replace(settings, `"invariants":{`, fmt.Sprintf(`"invariants":{"warm_within_ns":%d,"fall_ns":1000000000,"fall_multiple":2,"start_capacity":0.333,`, coldFor), 1)

// Town is engines, a feed, controllers with their keepers, and links between conductors and keepers.
type Town struct {
	Dir     string
	Book    Book
	Fates   *Fates
	Members []*Member
	Fleet   string // the operator's file: keepers are reached through their links

	subnet string
	lock   net.Listener
	jobs   atomic.Uint64 // numbered
	feed   *fake.Feed
	engine map[string]*fake.Engine
	http   http.Client
}

// Member is a controller and its keeper.
type Member struct {
	Name    string
	Clients string // where it serves
	Link    *Link
	Keeper  *Process
	Keeps   string // where its keeper does
	start   func() (*Process, error)
}

// NewTown starts one: controllers in two zones by turns, none of them ready yet. Its addresses are of a loopback network
// that it holds alone, so that a controller that starts again has its address.
func NewTown(program string, seed uint64, controllers, engines int, faults bool) (t *Town, err error) {
	return Plan{Program: program, Seed: seed, Controllers: controllers, Engines: engines, Faults: faults}.Town()
}

// Plan says what a town is to have.
type Plan struct {
	Program              string
	Seed                 uint64
	Controllers, Engines int
	Faults               bool              // of engines
	Voters               int               // the first of the controllers' keepers
	Keepers              map[int]string    // programs of some keepers, where they are others
	StartMS              int               // before a controller is ready; this and what follows: of builds with tag fault, steered
	ClockMS              map[int]int       // what their time of day is off by
	Env                  []string          // more of it
	Cold                 bool              // rule 4 holds: ColdRules
	Operator             string            // more of the operator's file, as JSON members, each followed by a comma
	Files                map[string]string // beside the operator's file
	Parts                string            // more of the operator's part fleet, as JSON members, each followed by a comma
}

// Town starts one.
func (o Plan) Town() (t *Town, err error) {
	program, seed, controllers, engines, faults := o.Program, o.Seed, o.Controllers, o.Engines, o.Faults
	t = &Town{Fates: NewFates(seed, faults, 4*time.Millisecond), engine: map[string]*fake.Engine{}, http: http.Client{Timeout: 500 * time.Millisecond}}
	if t.Dir, err = os.MkdirTemp("", "town"); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			t.Close()
		}
	}()
	for t.lock == nil {
		t.subnet = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		t.lock, _ = net.Listen("tcp4", t.subnet+".250:7000")
	}
	if t.feed, err = fake.StartFeed("127.0.0.1:0", 1); err != nil {
		return t, err
	}
	var hosts []string
	for i := range engines {
		name := fmt.Sprint("e", i+1)
		e, err := LineEngine("127.0.0.1:0", name, &t.Book, t.Fates)
		if err != nil {
			return t, err
		}
		t.engine[name] = e
		hosts = append(hosts, t.host(name, "ready", 0))
		t.Book.Add(rulecheck.Entry{Event: rulecheck.Listed, Engine: name, State: "ready", Zone: "east", Kind: "std", Cores: 16})
	}
	known := t.feed.Add(true, "["+strings.Join(hosts, ",")+"]")
	own := operator.Fleet{DrainMS: 10_000, Program: program}
	for i := range controllers {
		m := &Member{Name: fmt.Sprint("c", i+1), Clients: fmt.Sprintf("%s.%d:7000", t.subnet, i+1), Keeps: fmt.Sprintf("%s.%d:7001", t.subnet, i+1)}
		if m.Link, err = NewLink(fmt.Sprintf("%s.%d:7002", t.subnet, i+1), m.Keeps); err != nil {
			return t, err
		}
		zone := []string{"east", "west"}[i%2]
		own.Members = append(own.Members, operator.Member{Name: m.Name, Listen: m.Keeps, Reach: m.Link.listener.Addr().String(), Zone: zone})
		if i < o.Voters {
			own.Voters = append(own.Voters, m.Name)
		}
		t.Members = append(t.Members, m)
	}
	t.Fleet = filepath.Join(t.Dir, "operator.json")
	text, err := json.Marshal(own)
	if err == nil {
		err = os.WriteFile(t.Fleet, fmt.Appendf(nil, `{%s"fleet":{%s%s}`, o.Operator, o.Parts, text[1:]), 0o600)
	}
	if err != nil {
		return t, err
	}
	of := map[bool]string{false: settings, true: coldSettings}
	for name, text := range o.Files {
		if err := os.WriteFile(filepath.Join(t.Dir, name), []byte(text), 0o600); err != nil {
			return t, err
		}
	}
	for i, m := range t.Members {
		config := filepath.Join(t.Dir, m.Name+".json")
		text := fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"%x","limits":{"cores":1,"memory_mb":192,"sockets":1024},"feed":%q,"known":{"n":1,"events":[%s]},"settings":%s}`,
			m.Name, m.Clients, seed*100+uint64(i)+1, t.feed.Address(), known, fmt.Sprintf(of[o.Cold], controllers, i, i%2))
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			return t, err
		}
		keeper := program
		if other := o.Keepers[i]; other != "" {
			keeper = other
		}
		env := append(t.faults(m.Name), "ROUTER_CONFIG="+config, "ROUTER_NAME="+m.Name, "ROUTER_OPERATOR="+t.Fleet,
			fmt.Sprint("FAULT_CLOCK_MS=", o.ClockMS[i]), fmt.Sprint("FAULT_START_MS=", o.StartMS))
		env = append(env, o.Env...)
		m.start = func() (*Process, error) { return Start(keeper, env, "keep", "--state", filepath.Join(t.Dir, m.Name)) }
		if m.Keeper, err = m.start(); err != nil {
			return t, err
		}
	}
	for _, m := range t.Members {
		if err := t.Await(20*time.Second, func() bool { s, err := t.Status(m); return err == nil && s.Serving }); err != nil {
			return t, fmt.Errorf("%s does not serve: %w: %s", m.Name, err, m.Keeper.Log())
		}
	}
	return t, nil
}

func (t *Town) host(name, state string, born int64) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"east","class":"std","block":0,"health":%q,"share":1,"born_ms":%d}`, name, t.engine[name].Address(), state, born)
}

// Reborn lists an engine as just started. It is told to controllers first: what they send is counted from then on.
func (t *Town) Reborn(name string) {
	now := time.Now()
	t.Book.Add(rulecheck.Entry{Event: rulecheck.Listed, Engine: name, State: "ready", Zone: "east", Kind: "std", Cores: 16, Started: now.UnixNano()})
	t.feed.Add(false, "["+t.host(name, "ready", now.UnixMilli())+"]")
}

// List tells the feed of an engine's state, and the book after: the grace counts from what controllers could know.
func (t *Town) List(name, state string) {
	t.feed.Add(false, "["+t.host(name, state, 0)+"]")
	t.Book.Add(rulecheck.Entry{Event: rulecheck.Listed, Engine: name, State: state, Zone: "east", Kind: "std", Cores: 16})
}

// Lose has an engine die; the list tells of it later, as it does.
func (t *Town) Lose(name string) {
	t.engine[name].Close()
	time.Sleep(300 * time.Millisecond)
	t.List(name, "gone")
}

// Status asks a keeper past its link.
func (t *Town) Status(m *Member) (s supervisor.Status, err error) {
	f := coordinator.NewFleetClient([]operator.Member{{Name: m.Name, Listen: m.Keeps}}, 2*time.Second, 2*time.Second)
	a := f.Poll(context.Background())[0]
	return a.Status, a.Err
}

// Get asks a keeper for something as JSON, past its link.
func (t *Town) Get(m *Member, path string, into any) error {
	a, err := t.http.Get("http://" + m.Keeps + path)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", path, a.Status)
	}
	return json.NewDecoder(a.Body).Decode(into)
}

// Again starts a keeper that was ended.
func (t *Town) Again(m *Member) (err error) {
	m.Keeper, err = m.start()
	return err
}

// Await waits until something is so, looking often.
func (t *Town) Await(most time.Duration, is func() bool) error {
	for stop := time.Now().Add(most); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(stop) {
			return fmt.Errorf("not so after %v", most)
		}
	}
	return nil
}

// Rollout starts a conductor; folder is its record.
func (t *Town) Rollout(program, folder string, args ...string) (*Process, error) {
	return Start(program, append(t.faults(Conductors), "ROUTER_OPERATOR="+t.Fleet), append([]string{"rollout", "--record", folder}, args...)...)
}

// Conductors is the name under which Disk finds their disk.
const Conductors = "conductors"

func (t *Town) faults(name string) []string {
	return []string{"FAULT_DISK=" + filepath.Join(t.Dir, name+".disk")}
}

// Disk says how the disk of a steered build is from now on: "full", how long a write takes, or "" where it is well.
func (t *Town) Disk(name, how string) error {
	path := filepath.Join(t.Dir, name+".disk")
	if how == "" {
		return os.RemoveAll(path)
	}
	return os.WriteFile(path, []byte(how), 0o600)
}

// Stop has all controllers drain and end, in their own time.
func (t *Town) Stop() (err error) {
	for _, m := range t.Members {
		m.Keeper.Signal(syscall.SIGTERM)
	}
	for _, m := range t.Members {
		if e := m.Keeper.Await(); e != nil && err == nil {
			err = fmt.Errorf("%s: %w", m.Name, e)
		}
	}
	return err
}

// Close ends all that is left, and removes its files.
func (t *Town) Close() {
	for _, m := range t.Members {
		if m.Keeper != nil {
			m.Keeper.End()
		}
		if m.Link != nil {
			m.Link.Close()
		}
	}
	for _, e := range t.engine {
		e.Close()
	}
	if t.feed != nil {
		t.feed.Close()
	}
	if t.lock != nil {
		t.lock.Close()
	}
	os.RemoveAll(t.Dir)
}

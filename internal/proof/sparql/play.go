package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"swiftreel/internal/fake"
	"swiftreel/internal/rulecheck"
	"swiftreel/internal/testcluster"
)

// day is one run.
type day struct {
	seed           uint64
	faults         bool
	calls, queries int
	pause          time.Duration // between a client's calls
	lanes          int           // connections of a SPARQL client
}

type tally struct {
	jobs, done, throttled, cancelled, dispatches, begun int
	lookups, lookupsDone, texts, textsDone              int
	broken                                              []rulecheck.Violation
}

func (t *tally) add(o tally) {
	t.jobs, t.done, t.throttled, t.cancelled = t.jobs+o.jobs, t.done+o.done, t.throttled+o.throttled, t.cancelled+o.cancelled
	t.dispatches, t.begun = t.dispatches+o.dispatches, t.begun+o.begun
	t.broken = append(t.broken, o.broken...)
}

const settings = `{"balancers":2,"me":%d,"step_ns":5000000,"discovery":"automatic","localities":["east"],"locality":0,"kinds":["std"],
"tenants":[{"name":"acme","quota_per_s":100000,"share":1},{"name":"terms","quota_per_s":100000,"share":1}],
"classes":[{"name":"lookup","idempotency":"repeatable","aim_ns":1e9,"give_up_ns":2e9,"gain":1,"late_worth":0.5},
{"name":"import","idempotency":"once","aim_ns":2e9,"give_up_ns":4e9,"gain":10,"late_worth":0.5,"fifo_by_key":true},
{"name":"query","idempotency":"repeatable","aim_ns":1e9,"give_up_ns":2e9,"gain":1,"late_worth":0.5},
{"name":"update","idempotency":"once","aim_ns":2e9,"give_up_ns":4e9,"gain":10,"late_worth":0.5,"fifo_by_key":true}],
"domain":{"class_threads":[1,2,1,2],"cpu_of_kind":[8],"size_mb":[32000],"max_grant_share":0.4,"writes_tables":[false,false,false,false],
"waits_for_loads":[false,false,false,false],"says_cost":true,"takes_priority":true,"grants_count":true,"note_period_ns":0},
"limits":{"cancel":true,"probes":true,"most_tries":4,"retry_after":true,"max_retry_after_ns":1e9,"dial_timeout_ns":1e9,"conn_idle_ns":15e9,"max_streams":100,"max_open":1000},
"telemetry":{"via":"on_probe","fields":["concurrent"]},"invariants":{"answer_slack_ns":20000000,"drain_grace_ns":250000000,"order_pause_ns":50000000}}`

var rules = rulecheck.Rules{Types: map[string]rulecheck.Type{"lookup": {Effect: rulecheck.Restartable}, "query": {Effect: rulecheck.Restartable},
	"import": {Effect: rulecheck.RunOnce, Ordered: true}, "update": {Effect: rulecheck.RunOnce, Ordered: true}},
	AnswerSlack: int64(500 * time.Millisecond), DrainGrace: int64(400 * time.Millisecond)}

// town is the stand-ins and controllers of a run.
type town struct {
	book   testcluster.EventLog
	feed   *fake.Discovery
	lines  map[string]*fake.Engine
	ends   map[string]*fake.Endpoint
	nodes  []*node
	client [2]string // addresses
	sparql [2]string
}

func entry(name, dial, state string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"east","class":"std","block":0,"health":%q,"share":1,"born_ms":0}`, name, dial, state)
}

// play runs a day and holds its logs against the rules.
func play(program string, d day) (t tally, err error) {
	w := &town{lines: map[string]*fake.Engine{}, ends: map[string]*fake.Endpoint{}}
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		return t, err
	}
	defer os.RemoveAll(dir)
	defer w.close()
	if err := w.begin(program, dir, d); err != nil {
		return t, err
	}
	var wait sync.WaitGroup
	for node := range 2 {
		for c := range 2 {
			wait.Go(func() { w.calls(node, fmt.Sprintf("%d%d", node, c), d) })
			wait.Go(func() { w.texts(node, fmt.Sprintf("%d%d", node, c), d) })
		}
	}
	if d.faults {
		time.Sleep(time.Duration(d.calls) / 8 * d.pause)
		w.list("e2", "draining") // both protocols are told by the list
	}
	wait.Wait()
	time.Sleep(100 * time.Millisecond) // what was given up ends
	if err := w.stop(); err != nil {
		return t, err
	}
	log := w.book.Entries()
	t.broken = rulecheck.Check(rules, log)
	types := map[string]string{}
	for _, e := range log {
		switch e.Event {
		case rulecheck.Accepted:
			t.jobs++
			types[e.Job] = e.Type
			if e.Type == "lookup" {
				t.lookups++
			} else if e.Type != "import" {
				t.texts++
			}
		case rulecheck.Answered:
			switch e.Answer {
			case rulecheck.Done:
				t.done++
				if types[e.Job] == "lookup" {
					t.lookupsDone++
				} else if types[e.Job] != "import" {
					t.textsDone++
				}
			case rulecheck.Throttled:
				t.throttled++
			default:
				t.cancelled++
			}
		case rulecheck.Began:
			t.begun++
			t.dispatches++
		case rulecheck.Reached:
			t.dispatches++
		}
	}
	return t, nil
}

func (w *town) begin(program, dir string, d day) (err error) {
	f := testcluster.NewFaultPlan(d.seed, d.faults, 3*time.Millisecond)
	if w.feed, err = fake.StartDiscovery("127.0.0.1:0", 1); err != nil {
		return err
	}
	var hosts, urls []string
	for _, name := range []string{"e1", "e2", "e3", "e4"} {
		dial := ""
		if name != "e4" {
			e, err := testcluster.StartLineEngine("127.0.0.1:0", name, &w.book, f)
			if err != nil {
				return err
			}
			w.lines[name], dial = e, e.Address()
		}
		if name != "e3" {
			e, err := fake.StartEndpoint("127.0.0.1:0", [3]string{"<a>", "<p>", "1"}, [3]string{"<b>", "<p>", "2"})
			if err != nil {
				return err
			}
			scriptEndpoint(e, name, &w.book, f)
			w.ends[name] = e
			urls = append(urls, fmt.Sprintf("%q:%q", name, e.URL()))
		}
		hosts = append(hosts, entry(name, dial, "ready"))
		w.book.Add(rulecheck.Entry{Event: rulecheck.Listed, Engine: name, State: "ready", Zone: "east", Kind: "std", Cores: 8})
	}
	known := w.feed.AddEvent(true, "["+strings.Join(hosts, ",")+"]")
	for n := range 2 {
		config, own := filepath.Join(dir, fmt.Sprintf("n%d.json", n)), filepath.Join(dir, fmt.Sprintf("own%d.json", n))
		text := fmt.Sprintf(`{"name":"n%d","listen":"127.0.0.1:0","seed":"%x","limits":{"cores":1,"memory_mb":192,"sockets":1024},"feed":%q,"known":{"n":1,"events":[%s]},"settings":%s}`,
			n, d.seed*2+uint64(n)+1, w.feed.Address(), known, fmt.Sprintf(settings, n))
		side := fmt.Sprintf(`{"sparql":{"listen":"127.0.0.1:0","tenant":"terms","types":[{"forms":["UPDATE"],"type":"update"},{"type":"query"}],"endpoints":{%s},"connections":128}}`,
			strings.Join(urls, ","))
		if err := errors.Join(os.WriteFile(config, []byte(text), 0o600), os.WriteFile(own, []byte(side), 0o600)); err != nil {
			return err
		}
		node, err := startNode(program, config, own)
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, node)
	}
	for n := range 2 {
		for stop := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			var is bool
			if w.client[n], w.sparql[n], is = w.nodes[n].addresses(); is {
				if c, err := fake.Dial(w.client[n]); err == nil {
					ready, err := c.Ready()
					c.Conn.Close()
					if ready && err == nil {
						break
					}
				}
			}
			if time.Now().After(stop) {
				return fmt.Errorf("controller %d does not start: %s", n, w.nodes[n].Log())
			}
		}
	}
	return nil
}

// list tells the feed of an engine's state, and the book after: the grace counts from what controllers could know.
func (w *town) list(name, state string) {
	dial := ""
	if e := w.lines[name]; e != nil {
		dial = e.Address()
	}
	w.feed.AddEvent(false, "["+entry(name, dial, state)+"]")
	w.book.Add(rulecheck.Entry{Event: rulecheck.Listed, Engine: name, State: state, Zone: "east", Kind: "std", Cores: 8})
}

// stop ends the controllers, which have to end well.
func (w *town) stop() (err error) {
	for i, n := range w.nodes {
		n.Signal(syscall.SIGTERM)
		if e := n.WaitExit(); e != nil {
			err = errors.Join(err, fmt.Errorf("controller %d: %w: %s", i, e, n.Log()))
		}
		if strings.Contains(n.Log(), "answers_overdue") {
			err = errors.Join(err, fmt.Errorf("controller %d: %s", i, n.Log()))
		}
	}
	w.nodes = nil
	return err
}

func (w *town) close() {
	for _, n := range w.nodes {
		n.Kill()
	}
	for _, e := range w.lines {
		e.Close()
	}
	for _, e := range w.ends {
		e.Close()
	}
	if w.feed != nil {
		w.feed.Close()
	}
}

func (w *town) answered(job, how string) {
	w.book.Add(rulecheck.Entry{Event: rulecheck.Answered, Job: job, Answer: how})
}

// calls is a MessagePack client: a call at a time, every tenth an import.
func (w *town) calls(node int, name string, d day) {
	c, err := fake.Dial(w.client[node])
	if err != nil {
		return
	}
	defer c.Conn.Close()
	for n := range d.calls / 4 {
		job, typ, ttl := fmt.Sprintf("%s%014x", name, n+1), "lookup", 2*time.Second
		fields := []string{"call", job, "ttl", "2000", "org", "acme", "work", "4", "est_mb", "8"}
		if n%10 == 9 {
			typ, ttl, fields[3] = "import", 4*time.Second, "4000"
			fields = append(fields, "row", fmt.Sprint("k", n%3))
		}
		key := ""
		if typ == "import" {
			key = fmt.Sprint("k", n%3)
		}
		w.book.Add(rulecheck.Entry{Event: rulecheck.Accepted, Job: job, Type: typ, Key: key, Front: fmt.Sprint(name, node), DeadlineNS: time.Now().Add(ttl).UnixNano()})
		id, err := c.Send(typ, "SELECT 1 FROM a_1.b", fields...)
		if err != nil {
			return
		}
		a, err := c.Read(10 * time.Second)
		if err != nil || a.ID != id {
			return // without its answer: the check finds it
		}
		how := map[string]string{"": rulecheck.Done, "Overloaded": rulecheck.Throttled}[a.Error]
		if how == "" {
			how = rulecheck.Cancelled
		}
		w.answered(job, how)
		time.Sleep(d.pause)
	}
}

// texts is a SPARQL client: a text at a time, every tenth an update. Many texts come over several connections.
func (w *town) texts(node int, name string, d day) {
	var wait sync.WaitGroup
	for lane := range d.lanes {
		wait.Go(func() {
			h := &http.Client{Transport: &http.Transport{}}
			defer h.CloseIdleConnections()
			for n := lane; n < d.queries/4; n += d.lanes {
				w.text(h, node, fmt.Sprintf("s%s%06d", name, n), n%10 == 9)
				time.Sleep(d.pause)
			}
		})
	}
	wait.Wait()
}

func (w *town) text(h *http.Client, node int, job string, update bool) {
	typ, key, ttl := "query", "", 2*time.Second
	form := url.Values{"query": {"SELECT * { ?s <p> ?o } # " + job}, "timeout": {"2000"}}
	if update {
		typ, key, ttl = "update", "graph g", 4*time.Second
		form = url.Values{"update": {"INSERT DATA { GRAPH <g> { <s> <p> 1 } } # " + job}, "timeout": {"4000"}}
	}
	front := fmt.Sprint("s", node)
	if update {
		front = job // updates of several connections have no order that a client could know
	}
	w.book.Add(rulecheck.Entry{Event: rulecheck.Accepted, Job: job, Type: typ, Key: key, Front: front, DeadlineNS: time.Now().Add(ttl).UnixNano()})
	a, err := h.PostForm("http://"+w.sparql[node]+"/sparql", form)
	if err != nil {
		return
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	how := rulecheck.Cancelled
	switch {
	case err != nil:
		return
	case a.StatusCode == 200 && strings.HasSuffix(strings.TrimSpace(string(body)), "]}}"), a.StatusCode == 204:
		how = rulecheck.Done
	case a.StatusCode == 503 && a.Header.Get("Retry-After") != "":
		how = rulecheck.Throttled
	case a.StatusCode != 502 && a.StatusCode != 504:
		return // nothing else is an outcome
	}
	w.answered(job, how)
}

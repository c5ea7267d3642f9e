//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"swiftreel/internal/client"
	"swiftreel/internal/engine"
	"swiftreel/internal/fake"
)

// importRun is an import that an engine runs or has run.
type importRun struct {
	key         string
	number      int // of the key's imports, in the order in which clients sent them
	engine      string
	start, end  time.Time
	abandonedBy string
}

// importEngines are line protocol engines that run imports, and what they have run. The statement names key and number.
type importEngines struct {
	rig      *rig
	duration time.Duration // of an import

	mu   sync.Mutex
	runs []*importRun
}

func statement(key string, number int) string {
	return fmt.Sprintf("INSERT INTO memory_17.segments /* key %s number %d */", key, number)
}

func (e *importEngines) start(names ...string) (hosts []host) {
	for _, name := range names {
		running := &engineJobs{all: e, name: name, open: map[string]*importRun{}}
		line := must(fake.StartEngine("127.0.0.1:0", running.handle))
		hosts = append(hosts, readyHost(name, line.Address()))
	}
	return hosts
}

// engineJobs are the jobs that one engine holds, by id.
type engineJobs struct {
	all  *importEngines
	name string
	mu   sync.Mutex
	open map[string]*importRun
}

func (e *engineJobs) handle(session *fake.Session, command engine.Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch command.Name {
	case "stats", "alive":
		session.Answer(command.ID, "well", fmt.Sprintf("load=concurrent:%d", len(e.open)), "")
	case "fetch":
		run := &importRun{engine: e.name, start: time.Now()}
		text := string(command.Statement)
		_, inside, _ := strings.Cut(text, "/* ")
		if _, err := fmt.Sscanf(inside, "key %s number %d", &run.key, &run.number); err != nil {
			cannotRun("statement %q", text)
		}
		e.open[command.ID] = run
		e.all.mu.Lock()
		e.all.runs = append(e.all.runs, run)
		e.all.mu.Unlock()
		e.all.rig.log("engine %s runs import %d of key %s", e.name, run.number, run.key)
		time.AfterFunc(e.all.duration, func() { e.finish(session, command.ID) })
	case "more":
		session.Answer(command.ID, "failed", "", "")
	case "abort":
		if run := e.open[command.ID]; run != nil {
			e.end(run, "aborted")
			delete(e.open, command.ID)
		}
	}
}

func (e *engineJobs) end(run *importRun, how string) {
	e.all.mu.Lock()
	run.end = time.Now()
	e.all.mu.Unlock()
	e.all.rig.log("engine %s has ended import %d of key %s: %s", e.name, run.number, run.key, how)
}

func (e *engineJobs) finish(session *fake.Session, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run := e.open[id]
	if run == nil {
		return
	}
	delete(e.open, id)
	e.end(run, "done")
	session.Answer(id, "data", "sheets=1,toil=100,room=64", "1\tdone\tx\n")
}

// breaches returns where two imports of a key ran at once, or in another order than sent. An import that was sent later
// may run earlier if the earlier one was not run at all.
func (e *importEngines) breaches() (broken []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, a := range e.runs {
		for _, b := range e.runs[i+1:] { // b started later
			if a.key != b.key {
				continue
			}
			if b.number < a.number {
				broken = append(broken, fmt.Sprintf("order: import %d of key %s was run %d ms before import %d, which was taken earlier",
					a.number, a.key, b.start.Sub(a.start).Milliseconds(), b.number))
			}
			if a.end.IsZero() || b.start.Before(a.end) {
				broken = append(broken, fmt.Sprintf("at once: import %d of key %s was sent to %s while import %d of it ran on %s",
					b.number, b.key, b.engine, a.number, a.engine))
			}
		}
	}
	return broken
}

// staleContents returns the keys that an earlier import wrote last, although a later one was answered as done. An import
// replaces what its key holds.
func (e *importEngines) staleContents(done map[string]int) (broken []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := map[string]*importRun{}
	for _, run := range e.runs {
		if last[run.key] == nil || run.end.After(last[run.key].end) {
			last[run.key] = run
		}
	}
	for key, run := range last {
		if run.number < done[key] {
			broken = append(broken, fmt.Sprintf("lost: key %s holds what import %d wrote; import %d, taken later, was answered as done",
				key, run.number, done[key]))
		}
	}
	slices.Sort(broken)
	return broken
}

// importClasses are the reservation types of the fleet cases.
func importClasses() []object {
	return []object{
		{"name": "lookup", "idempotency": "repeatable", "aim_ns": 500e6, "aim_stretch": 2, "gain": 1, "late_worth": 0.1},
		{"name": "import", "idempotency": "once", "aim_ns": 3e9, "aim_stretch": 2, "gain": 20, "late_worth": 0.6,
			"fifo_by_key": true},
	}
}

// member is a member of the fleet: a supervisor and its controller.
type member struct {
	name       string
	clients    string // address for clients
	supervisor string // address of the supervisor
	operator   string // path of the operator's file
	line       string // command line that starts the supervisor
	env        []string
}

// fleetSize is the number of members of the fleet.
const fleetSize = 3

// newFleet writes the files of a fleet.
func (r *rig) newFleet(feed *fake.Discovery, known string) []member {
	var members []member
	var listed []object
	for i := range fleetSize {
		name := fmt.Sprintf("c%d", i+1)
		m := member{name: name, clients: freeAddress(), supervisor: freeAddress()}
		shared := settings(importClasses(), []int{1, 2}, []bool{false, false})
		shared["balancers"] = fleetSize
		shared["me"] = i
		config := r.writeConfig(name, m.clients, feed.Address(), known, shared)
		m.operator = filepath.Join(r.dir, "operator.json")
		m.line = fmt.Sprintf("exec bin/swiftreel supervise --state %s/state-%s", r.dir, name)
		m.env = []string{"ROUTER_CONFIG=" + config, "ROUTER_OPERATOR=" + m.operator, "ROUTER_NAME=" + name}
		members = append(members, m)
		listed = append(listed, object{"name": name, "listen": m.supervisor, "zone": "east"})
	}
	r.writeJSON("operator.json", object{"fleet": object{"members": listed, "drain_ms": 30_000}})
	return members
}

// status is what the cases read of a supervisor's status.
type status struct {
	PID     int    `json:"pid"`
	Serves  bool   `json:"serves"`
	Drains  []int  `json:"drains"`
	Drained bool   `json:"drained"`
	Running string `json:"running"`
	Spec    struct {
		Program struct {
			Path   string `json:"path"`
			Digest string `json:"digest"`
		} `json:"program"`
	} `json:"spec"`
}

func (m member) status() (s status, err error) {
	answer, err := http.Get("http://" + m.supervisor + "/v1/status")
	if err != nil {
		return s, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(text, &s)
}

// awaitServing waits until the member's controller serves, and one other than the process with the given id.
func (m member) awaitServing(otherThan int) status {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if s, err := m.status(); err == nil && s.Serves && s.PID != otherThan {
			return s
		}
	}
	cannotRun("the member does not serve")
	return status{}
}

// callNumber makes the ids of calls.
var callNumber struct {
	sync.Mutex
	last uint64
}

func nextCall() string {
	callNumber.Lock()
	defer callNumber.Unlock()
	callNumber.last++
	return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())<<8|callNumber.last&0xff)
}

// sendImport sends an import of a key.
func sendImport(to *fake.Client, key string, number int) (uint32, error) {
	return to.Send("import", statement(key, number), "call", nextCall(), "ttl", "8000", "org", "acme", "work", "100.0",
		"est_mb", "64", "row", keyField(key))
}

// keyField returns the key as the protocol writes it, 16 hex digits.
func keyField(key string) string { return fmt.Sprintf("%016x", []byte(key)) }

func describe(answer client.Answer, err error) string {
	switch {
	case err != nil:
		return "no answer: " + err.Error()
	case answer.Error == "":
		return "done"
	}
	return answer.Error
}

package main

import (
	"encoding/json"
	"fmt"
	"log"
	"sync"
	"time"

	"swiftreel/internal/engine"
	"swiftreel/internal/fake"
)

// feedAddress and engineAddresses must match example/config.json.
const feedAddress = "127.0.0.1:9379"

var engineAddresses = map[string]string{"e1": "127.0.0.1:9101", "e2": "127.0.0.1:9102"}

const (
	firstEvent    = 2 // event 1 is part of the configuration
	jobDuration   = 100 * time.Millisecond
	announceDelay = 2 * time.Second // from the crash of an engine until the feed reports it
)

// Engine states in the feed.
const (
	stateReady   = "ready"
	stateRemoved = "gone"
)

// fakes holds the running fake engines and the fake endpoint feed.
type fakes struct {
	feed *fake.Discovery

	mu      sync.Mutex
	engines map[string]*fake.Engine
}

func startFakes() (*fakes, error) {
	feed, err := fake.StartDiscovery(feedAddress, firstEvent)
	if err != nil {
		return nil, err
	}
	f := &fakes{feed: feed, engines: map[string]*fake.Engine{}}
	for name := range engineAddresses {
		if err := f.startEngine(name); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fakes) startEngine(name string) error {
	jobs := &engineJobs{engine: name, running: map[string]bool{}}
	started, err := fake.StartEngine(engineAddresses[name], jobs.handle)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.engines[name] = started
	f.mu.Unlock()
	return nil
}

// runCommand executes one line of standard input, split into fields.
func (f *fakes) runCommand(fields []string) {
	if len(fields) == 2 && engineAddresses[fields[1]] != "" {
		switch fields[0] {
		case "lose":
			f.loseEngine(fields[1])
			return
		case "back":
			f.restoreEngine(fields[1])
			return
		}
	}
	log.Print("lose or back, and e1 or e2")
}

// loseEngine closes an engine as a crash would. The feed reports it after announceDelay.
func (f *fakes) loseEngine(name string) {
	f.mu.Lock()
	lost := f.engines[name]
	delete(f.engines, name)
	f.mu.Unlock()
	if lost == nil {
		return
	}
	lost.Close()
	log.Printf("%s is lost", name)
	time.AfterFunc(announceDelay, func() { f.announce(name, stateRemoved, 0) })
}

func (f *fakes) restoreEngine(name string) {
	if err := f.startEngine(name); err != nil {
		log.Print(err)
		return
	}
	f.announce(name, stateReady, time.Now().UnixMilli())
}

// feedEntry describes an engine in the format of the feed.
type feedEntry struct {
	Host   string `json:"host"`
	Dial   string `json:"dial"`
	Site   string `json:"site"`
	Class  string `json:"class"`
	Block  int    `json:"block"`
	Health string `json:"health"`
	Share  int    `json:"share"`
	BornMS int64  `json:"born_ms"`
}

// announce publishes an engine's state on the feed. startedAt is in milliseconds of Unix time; 0 means unknown.
func (f *fakes) announce(name, state string, startedAt int64) {
	event, err := json.Marshal([]feedEntry{{
		Host: name, Dial: engineAddresses[name], Site: "east", Class: "std", Health: state, Share: 1, BornMS: startedAt,
	}})
	if err != nil {
		log.Print(err)
		return
	}
	log.Printf("feed: %s", f.feed.AddEvent(false, string(event)))
}

// engineJobs tracks the jobs of one engine. Each takes jobDuration and returns two pages.
type engineJobs struct {
	engine string

	mu      sync.Mutex
	running map[string]bool
}

// handle answers a command of the line protocol.
func (e *engineJobs) handle(session *fake.Session, command engine.Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch command.Name {
	case "stats", "alive":
		session.Answer(command.ID, "well", fmt.Sprintf("load=concurrent:%d", len(e.running)), "")
	case "fetch":
		log.Printf("%s runs %s: %s (%s)", e.engine, command.ID, command.Statement, command.Fields)
		e.running[command.ID] = true
		time.AfterFunc(jobDuration, func() { e.finish(session, command.ID) })
	case "more":
		if !e.running[command.ID] {
			session.Answer(command.ID, "failed", "", "")
			return
		}
		session.Answer(command.ID, "page", fmt.Sprintf("sheet=%d", command.Number), "2\tBlas\tBilbao\n")
	case "abort", "done":
		delete(e.running, command.ID)
	}
}

// finish sends the first page unless the job was cancelled.
func (e *engineJobs) finish(session *fake.Session, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[id] {
		session.Answer(id, "data", "sheets=2,toil=100,room=64", "1\tAda\tMadrid\n")
	}
}

package main

import (
	"encoding/json"
	"fmt"
	"log"
	"maps"
	"slices"
	"sync"
	"time"

	"swiftreel/internal/engine"
	"swiftreel/internal/fake"
)

const (
	discoveryAddress = "127.0.0.1:9379" // as in example/config.json
	firstEvent       = 2                // the configuration knows event 1
	workTime         = 100 * time.Millisecond
	delistDelay      = 2 * time.Second // from an engine's loss until discovery lists it as gone
)

// engineAddresses are where example/config.json knows the engines.
var engineAddresses = map[string]string{"e1": "127.0.0.1:9101", "e2": "127.0.0.1:9102"}

// fakes are the discovery server and the engines that are up.
type fakes struct {
	discovery *fake.Discovery

	mu      sync.Mutex
	engines map[string]*fake.Engine // by name
}

// startFakes starts all of them.
func startFakes() (*fakes, error) {
	discovery, err := fake.StartDiscovery(discoveryAddress, firstEvent)
	if err != nil {
		return nil, err
	}
	f := &fakes{discovery: discovery, engines: map[string]*fake.Engine{}}
	for _, name := range slices.Sorted(maps.Keys(engineAddresses)) {
		if err := f.startEngine(name); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fakes) startEngine(name string) error {
	handler := &engineHandler{name: name, running: map[string]bool{}}
	e, err := fake.StartEngine(engineAddresses[name], handler.handle)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[name] = e
	return nil
}

// listedEngine is an engine's entry in the endpoint list.
type listedEngine struct {
	Host      string `json:"host"`
	Dial      string `json:"dial"`
	Site      string `json:"site"`
	Class     string `json:"class"`
	Block     int    `json:"block"`
	Health    string `json:"health"`
	Share     int    `json:"share"`
	StartedMS int64  `json:"born_ms"` // 0: not known
}

// list lists an engine in a state.
func (f *fakes) list(name, state string, startedMS int64) {
	entry := listedEngine{Host: name, Dial: engineAddresses[name], Site: "east", Class: "std", Health: state, Share: 1,
		StartedMS: startedMS}
	text, err := json.Marshal([]listedEngine{entry})
	if err != nil {
		log.Print(err)
		return
	}
	log.Printf("discovery: %s", f.discovery.AddEvent(false, string(text)))
}

// lose ends an engine as a crash does; discovery lists it as gone a while later.
func (f *fakes) lose(name string) {
	f.mu.Lock()
	e := f.engines[name]
	delete(f.engines, name)
	f.mu.Unlock()
	if e == nil {
		return
	}
	e.Close()
	log.Printf("%s is lost", name)
	time.AfterFunc(delistDelay, func() { f.list(name, "gone", 0) })
}

// restart starts an engine that was lost, and lists it as just started.
func (f *fakes) restart(name string) {
	if err := f.startEngine(name); err != nil {
		log.Print(err)
		return
	}
	f.list(name, "ready", time.Now().UnixMilli())
}

// engineHandler is an engine that takes workTime for each job and returns two pages of a row.
type engineHandler struct {
	name string

	mu      sync.Mutex
	running map[string]bool // by the job's id, until it is aborted or done with
}

func (h *engineHandler) handle(session *fake.Session, command engine.Command) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch command.Name {
	case "stats", "alive":
		session.Answer(command.ID, "well", fmt.Sprintf("load=concurrent:%d", len(h.running)), "")
	case "fetch":
		log.Printf("%s runs %s: %s (%s)", h.name, command.ID, command.Body, command.Fields)
		h.running[command.ID] = true
		time.AfterFunc(workTime, func() { h.answer(session, command.ID) })
	case "more":
		if !h.running[command.ID] {
			session.Answer(command.ID, "failed", "", "")
			break
		}
		session.Answer(command.ID, "page", fmt.Sprintf("sheet=%d", command.Number), "2\tBlas\tBilbao\n")
	case "abort", "done":
		delete(h.running, command.ID)
	}
}

// answer sends the first page, unless the job was aborted.
func (h *engineHandler) answer(session *fake.Session, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running[id] {
		session.Answer(id, "data", "sheets=2,toil=100,room=64", "1\tAda\tMadrid\n")
	}
}

//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"swiftreel/internal/engine"
	"swiftreel/internal/fake"
)

func init() { cases["2"] = playLostAnswerOfKeyedUpdate }

const (
	repeatWindow = 5 * time.Second         // for which all engines drop repeats of a key, as the settings say
	jobTimeout   = 3 * time.Second         // of an update
	clientWait   = 3500 * time.Millisecond // of the client before its only retry, longer than the Retry-After that it is given
	lostUpdate   = 3                       // the update whose answer is lost: one of five
)

// keyedEngines are SPARQL endpoints that drop repeats of an idempotency key for repeatWindow, as one group.
type keyedEngines struct {
	rig *rig

	mu      sync.Mutex
	ranAt   map[string]time.Time // by key
	ran     map[string]int       // by key: how often its update was run
	lost    map[string]bool      // keys whose first answer gets lost
	stopped chan struct{}
}

func (e *keyedEngines) serve(name string) (address string) {
	address = freeAddress()
	server := &http.Server{Addr: address, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.handle(name, w, r)
	})}
	go func() { _ = server.ListenAndServe() }()
	return address
}

func (e *keyedEngines) handle(name string, w http.ResponseWriter, r *http.Request) {
	_ = r.ParseForm()
	if query := r.PostForm.Get("query"); query != "" {
		w.Header().Set("Content-Type", "application/sparql-results+json")
		w.Header().Set("Load", "inflight:0")
		_, _ = io.WriteString(w, `{"head":{},"boolean":true}`)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	e.mu.Lock()
	last, seen := e.ranAt[key]
	isRepeat := seen && time.Since(last) < repeatWindow
	if !isRepeat {
		e.ran[key]++
		e.ranAt[key] = time.Now()
	}
	count := e.ran[key]
	losesAnswer := !isRepeat && count == 1 && e.lost[key]
	e.mu.Unlock()
	if isRepeat {
		e.rig.log("engine %s drops a repeat of key %s", name, key)
	} else {
		e.rig.log("engine %s RUNS the update of key %s (run %d): %s", name, key, count, r.PostForm.Get("update"))
	}
	if losesAnswer {
		e.rig.log("engine %s: the answer for key %s gets lost", name, key)
		select {
		case <-r.Context().Done():
		case <-e.stopped:
		}
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func playLostAnswerOfKeyedUpdate(r *rig) (broken []string) {
	engines := &keyedEngines{rig: r, ranAt: map[string]time.Time{}, ran: map[string]int{}, lost: map[string]bool{},
		stopped: make(chan struct{})}
	defer close(engines.stopped)
	var hosts []host
	endpoints := map[string]string{}
	for _, name := range []string{"e1", "e2"} {
		line := must(fake.StartEngine("127.0.0.1:0", func(session *fake.Session, command engine.Command) {
			if command.Name == "stats" || command.Name == "alive" {
				session.Answer(command.ID, "well", "load=concurrent:0", "")
			}
		}))
		hosts = append(hosts, readyHost(name, line.Address()))
		endpoints[name] = "http://" + engines.serve(name) + "/sparql"
	}
	feed, known := r.startFeed(hosts)
	defer feed.Close()
	classes := []object{
		{"name": "lookup", "idempotency": "repeatable", "aim_ns": 500e6, "aim_stretch": 2, "gain": 1, "late_worth": 0.1},
		{"name": "import", "idempotency": "by_key", "key_scope": "all", "repeat_window_ns": repeatWindow.Nanoseconds(),
			"aim_ns": 3e9, "aim_stretch": 2, "gain": 20, "late_worth": 0.6, "fifo_by_key": true},
	}
	listen, sparql := freeAddress(), freeAddress()
	config := r.writeConfig("n0", listen, feed.Address(), known, settings(classes, []int{1, 2}, []bool{false, false}))
	operator := r.writeJSON("operator.json", object{"sparql": object{
		"listen": sparql, "tenant": "acme", "endpoints": endpoints,
		"types": []object{{"forms": []string{"UPDATE"}, "marked": true, "type": "import"}, {"type": "lookup"}},
	}})
	r.startProcess("controller", r.runCommand(), "ROUTER_CONFIG="+config, "ROUTER_OPERATOR="+operator)
	r.awaitReady(listen)

	for i := 1; i <= 5; i++ {
		key := fmt.Sprintf("delivery-%d", i)
		if r.trouble && i == lostUpdate {
			engines.mu.Lock()
			engines.lost[key] = true
			engines.mu.Unlock()
		}
		status := sendUpdate(r, sparql, key, i)
		if status != http.StatusNoContent && status != http.StatusServiceUnavailable {
			continue // cancelled for good: the client does not ask again
		}
		if status == http.StatusNoContent && i != lostUpdate {
			continue
		}
		time.Sleep(clientWait) // its only retry, under the same key
		sendUpdate(r, sparql, key, i)
	}
	engines.mu.Lock()
	defer engines.mu.Unlock()
	for key, count := range engines.ran {
		if count > 1 {
			broken = append(broken, fmt.Sprintf("the update of key %s was run %d times", key, count))
		}
	}
	return broken
}

// sendUpdate sends an update with an idempotency key and returns the status of its answer.
func sendUpdate(r *rig, address, key string, number int) int {
	form := url.Values{"update": {fmt.Sprintf("INSERT DATA { GRAPH <http://g/%d> { <s> <p> %d } }", number, number)}}
	at := fmt.Sprintf("http://%s/sparql?timeout=%d", address, jobTimeout.Milliseconds())
	request := must(http.NewRequest(http.MethodPost, at, strings.NewReader(form.Encode())))
	request.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	request.Header.Set("Idempotency-Key", `"`+key+`"`)
	r.log("client sends the update of key %s", key)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		r.log("client: no answer for key %s: %v", key, err)
		return 0
	}
	defer answer.Body.Close()
	text := must(io.ReadAll(answer.Body))
	r.log("client gets for key %s: %d, Retry-After %q: %s", key, answer.StatusCode, answer.Header.Get("Retry-After"),
		shorten(string(text)))
	return answer.StatusCode
}

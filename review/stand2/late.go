//go:build review2

package main

import (
	"net/http"
	"net/url"
	"syscall"
	"time"
)

func init() { cases["late"] = playLate }

// playLate sends reports whose clients wait 2.5 s, and which take an engine 1.5 s. With trouble, the controller stands
// still for 1.65 s when one has been sent.
func playLate(rec *record, trouble bool) (bool, error) {
	const (
		rounds = 10
		work   = 1500 * time.Millisecond
		stall  = 1650 * time.Millisecond
		wait   = 2500 * time.Millisecond
		slack  = 550 * time.Millisecond // half a second, and 50 ms on sockets
	)
	w, err := newWorld(rec, trouble, options{engines: 6, sparql: true,
		answer: func(e *engine, form url.Values, _ http.Header) answer {
			rec.line("%s begins %.30q", e.name, form.Get("query"))
			return answer{after: work, response: response(http.StatusOK, table("x"))}
		}})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return false, err
	}
	late := 0
	for round := range rounds {
		time.Sleep(time.Second)
		conn, err := dial(w.sparql)
		if err != nil {
			return false, setupf("%v", err)
		}
		time.Sleep(100 * time.Millisecond) // the controller takes the connection
		if trouble {
			w.signal(syscall.SIGSTOP, "STOP")
		}
		stalled := time.Now()
		time.Sleep(20 * time.Millisecond)
		written, err := conn.write(w.sparql, "query", "SELECT ?v WHERE { ?s ?p ?o . ?o ?q ?v }", wait)
		if trouble {
			time.Sleep(stall - time.Since(stalled))
			w.signal(syscall.SIGCONT, "CONT")
		}
		if err != nil {
			return false, setupf("%v", err)
		}
		got := conn.read(written, 10*time.Second)
		rec.line("client %d, which waits %v: %s", round, wait, got)
		if got.status == 0 || got.after > wait+slack {
			late++
		}
		conn.close()
	}
	rec.line("%d requests: %d had no final answer within their %v and %v more", rounds, late, wait, slack)
	if w.hasEnded() {
		return false, setupf("the controller ended")
	}
	return late == 0, nil
}

//go:build review2

package main

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

func init() { cases["left"] = playLeft }

// playLeft sends an update that takes an engine 2 s, and then another of the same graph, which waits for its turn. The
// client of the second sends a query right behind it on the same connection. With trouble it closes its connection
// after half a second.
func playLeft(rec *record, trouble bool) (bool, error) {
	const (
		rounds = 8
		work   = 2 * time.Second
		stay   = 500 * time.Millisecond
		wait   = 20 * time.Second
		grace  = 150 * time.Millisecond // a tenth of a second, and 50 ms on sockets
	)
	var mu sync.Mutex
	begun := map[string]time.Time{}
	w, err := newWorld(rec, trouble, options{engines: 6, sparql: true,
		answer: func(e *engine, form url.Values, _ http.Header) answer {
			update := form.Get("update")
			if update == "" {
				return answer{after: 50 * time.Millisecond, response: response(http.StatusOK, table("x"))}
			}
			_, name, _ := strings.Cut(update, "#")
			mu.Lock()
			begun[name] = time.Now()
			mu.Unlock()
			rec.line("%s begins update %s", e.name, name)
			return answer{after: work, response: response(http.StatusNoContent, "")}
		}})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return false, err
	}
	late, stayed := 0, 0
	for round := range rounds {
		text := func(which string) string {
			return fmt.Sprintf(`INSERT DATA { GRAPH <http://x/g%d> { <http://x/s> <http://x/p> "%s" } } #%d%s`,
				round, which, round, which)
		}
		first, err := dial(w.sparql)
		if err != nil {
			return false, setupf("%v", err)
		}
		second, err := dial(w.sparql)
		if err != nil {
			return false, setupf("%v", err)
		}
		writtenA, errA := first.write(w.sparql, "update", text("A"), wait)
		time.Sleep(300 * time.Millisecond)
		writtenB, errB := second.write(w.sparql, "update", text("B"), wait)
		time.Sleep(100 * time.Millisecond)
		_, errC := second.write(w.sparql, "query", "SELECT ?v WHERE { <http://x/t> <http://x/label> ?v }", 2500*time.Millisecond)
		if errA != nil || errB != nil || errC != nil {
			return false, setupf("%v %v %v", errA, errB, errC)
		}
		var left time.Time
		if trouble {
			time.Sleep(stay)
			second.close()
			left = time.Now()
			rec.line("client of %d B closes its connection", round)
		}
		gotA := first.read(writtenA, wait+time.Second)
		rec.line("client has for %d A: %s", round, gotA)
		if trouble {
			time.Sleep(500 * time.Millisecond)
		} else {
			gotB := second.read(writtenB, wait+time.Second)
			rec.line("client has for %d B: %s", round, gotB)
			if gotB.status == http.StatusNoContent {
				stayed++
			}
		}
		first.close()
		second.close()
		mu.Lock()
		at, ran := begun[fmt.Sprintf("%dB", round)]
		mu.Unlock()
		if trouble && ran && at.Sub(left) > grace {
			late++
			rec.line("GONE: %d B begins %d ms after its client closed its connection", round, at.Sub(left).Milliseconds())
		}
	}
	rec.line("%d rounds: %d updates began after their client had gone, %d were answered to clients that stayed", rounds,
		late, stayed)
	if w.hasEnded() || !trouble && stayed < rounds {
		return false, setupf("too few updates ran")
	}
	return late == 0, nil
}

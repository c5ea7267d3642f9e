//go:build review2

package main

import (
	"fmt"
	"net/http"
	"net/url"
	"regexp"
	"sync"
	"syscall"
	"time"
)

func init() { cases["order"] = playOrder }

var updateOf = regexp.MustCompile(`<http://x/(g[0-9]+)> { <http://x/s> <http://x/p> "([AB])"`)

// ran is when an engine began and ended an update.
type ran struct{ begun, ended time.Time }

// playOrder sends pairs of updates of one graph: the first over a new connection, the second 300 ms later over one that
// was in use before. With trouble, the controller stands still meanwhile, for 1.5 s.
func playOrder(rec *record, trouble bool) (bool, error) {
	const (
		rounds = 12
		work   = 150 * time.Millisecond
		stall  = 1500 * time.Millisecond
		wait   = 20 * time.Second
	)
	var mu sync.Mutex
	log := map[string]ran{} // by graph and update
	w, err := newWorld(rec, trouble, options{engines: 6, sparql: true,
		answer: func(e *engine, form url.Values, _ http.Header) answer {
			if form.Get("query") != "" {
				return answer{response: response(http.StatusOK, table("x"))}
			}
			update := updateOf.FindStringSubmatch(form.Get("update"))
			if update == nil {
				return answer{response: response(http.StatusBadRequest, "{}")}
			}
			name := update[1] + " " + update[2]
			now := time.Now()
			mu.Lock()
			log[name] = ran{now, now.Add(work)}
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
	used, err := dial(w.sparql)
	if err != nil {
		return false, setupf("%v", err)
	}
	defer used.close()
	swapped, pairs := 0, 0
	for round := range rounds {
		graph := fmt.Sprintf("g%d", round)
		text := func(which string) string {
			return `INSERT DATA { GRAPH <http://x/` + graph + `> { <http://x/s> <http://x/p> "` + which + `" } }`
		}
		if got := used.ask(w.sparql, "query", "ASK { <http://x/a> <http://x/b> <http://x/c> }", wait, wait); got.status == 0 {
			return false, setupf("a query before a round: %s", got)
		}
		time.Sleep(time.Second) // the controller runs between its stalls
		stalled := time.Now()
		if trouble {
			w.signal(syscall.SIGSTOP, "STOP")
		}
		time.Sleep(100 * time.Millisecond)
		fresh, err := dial(w.sparql)
		if err != nil {
			return false, setupf("%v", err)
		}
		rec.line("client writes update %s A on a new connection", graph)
		writtenA, errA := fresh.write(w.sparql, "update", text("A"), wait)
		time.Sleep(300 * time.Millisecond)
		rec.line("client writes update %s B on a connection in use", graph)
		writtenB, errB := used.write(w.sparql, "update", text("B"), wait)
		if trouble {
			time.Sleep(stall - time.Since(stalled))
			w.signal(syscall.SIGCONT, "CONT")
		}
		if errA != nil || errB != nil {
			return false, setupf("%v %v", errA, errB)
		}
		gotA := fresh.read(writtenA, wait+time.Second)
		gotB := used.read(writtenB, wait+time.Second)
		rec.line("client has for %s A: %s; for B: %s", graph, gotA, gotB)
		fresh.close()
		mu.Lock()
		a, hasA := log[graph+" A"]
		b, hasB := log[graph+" B"]
		mu.Unlock()
		if hasA && hasB {
			pairs++
			if b.begun.Before(a.ended) {
				swapped++
				rec.line("OUT OF ORDER: %s B began %d ms before A ended", graph, a.ended.Sub(b.begun).Milliseconds())
			}
		}
	}
	rec.line("%d rounds: in %d both updates ran, in %d of them out of order", rounds, pairs, swapped)
	if w.hasEnded() || !trouble && pairs < rounds {
		return false, setupf("too few updates ran")
	}
	return swapped == 0, nil
}

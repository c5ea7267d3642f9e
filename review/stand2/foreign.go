//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"regexp"
	"strings"
	"sync"
	"time"
)

func init() { cases["foreign"] = playForeign }

var termOf = regexp.MustCompile(`<http://x/(t[0-9]+)>`)

// playForeign sends queries, each for a term of its own, and every fifth time an update of a graph of its own. An engine
// turns away one request in eight, from its line for memory. With trouble, one good answer in ten comes a second time some milliseconds
// later.
func playForeign(rec *record, trouble bool) (bool, error) {
	random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // a fixed seed
	var mu sync.Mutex
	copies := 0
	ends := map[string]time.Time{} // of the updates, at their engines
	runs := map[string]int{}       // of the updates
	w, err := newWorld(rec, trouble, options{engines: 6, sparql: true,
		answer: func(e *engine, form url.Values, _ http.Header) answer {
			update := form.Get("update") != ""
			term := termOf.FindStringSubmatch(form.Get("query") + form.Get("update"))
			if term == nil {
				return answer{response: response(http.StatusBadRequest, "{}")}
			}
			mu.Lock()
			defer mu.Unlock()
			if random.IntN(8) == 0 { // its time in the line for memory has run out, so it never ran
				return answer{after: time.Duration(60+random.IntN(120)) * time.Millisecond, response: refusal()}
			}
			a := answer{response: response(http.StatusOK, table("label of "+term[1]))}
			a.after = time.Duration(60+random.IntN(120)) * time.Millisecond
			if update {
				a.response = response(http.StatusNoContent, "")
				ends[term[1]] = time.Now().Add(a.after)
				runs[term[1]]++
				if runs[term[1]] > 1 {
					rec.line("TWICE: %s runs update %s for the %d. time", e.name, term[1], runs[term[1]])
				}
			}
			if trouble && random.IntN(10) == 0 {
				a.copyAfter = time.Duration(2+random.IntN(8)) * time.Millisecond
				copies++
				rec.line("%s answers %s twice, the second time after %v", e.name, term[1], a.copyAfter)
			}
			return a
		}})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return false, err
	}
	const (
		requests = 4000
		interval = 10 * time.Millisecond
		wait     = 2500 * time.Millisecond
	)
	var asking sync.WaitGroup
	done, refused, foreign, early := 0, 0, 0, 0
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := range requests {
		<-tick.C
		asking.Go(func() {
			term := fmt.Sprintf("t%d", i)
			conn, err := dial(w.sparql)
			if err != nil {
				return
			}
			defer conn.close()
			isUpdate := i%5 == 4
			kind, text := "query", "SELECT ?v WHERE { <http://x/"+term+"> <http://x/label> ?v }"
			if isUpdate {
				kind, text = "update", "INSERT DATA { GRAPH <http://x/"+term+"> { <http://x/s> <http://x/p> 1 } }"
			}
			got := conn.ask(w.sparql, kind, text, wait, wait+time.Second)
			answered := time.Now()
			mu.Lock()
			defer mu.Unlock()
			switch {
			case isUpdate && got.status == http.StatusNoContent:
				if end, began := ends[term]; began && !answered.Before(end) {
					done++
					return
				}
				early++
				rec.line("EARLY: client was told that update %s is done, before any engine had done it", term)
			case got.status != http.StatusOK || isUpdate:
				refused++
				rec.line("client asked for %s: %s", term, got)
			case strings.Contains(got.body, `"label of `+term+`"`):
				done++
			default:
				foreign++
				rec.line("FOREIGN: client asked for %s and was served %s", term, got.body)
			}
		})
	}
	asking.Wait()
	twice := 0
	for _, count := range runs {
		if count > 1 {
			twice++
		}
	}
	rec.line("%d requests: %d served right, %d with the rows of another request, %d updates told done before they were, "+
		"%d not served; %d updates ran more than once; %d answers came twice", requests, done, foreign, early, refused, twice,
		copies)
	if w.hasEnded() || done < requests/2 {
		return false, setupf("too few requests were served")
	}
	return foreign+early+twice == 0, nil
}

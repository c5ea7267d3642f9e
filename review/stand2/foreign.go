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

// playForeign sends queries, each for a term of its own. With trouble, one answer in ten comes a second time some
// milliseconds later.
func playForeign(rec *record, trouble bool) (bool, error) {
	random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // a fixed seed
	var mu sync.Mutex
	copies := 0
	w, err := newWorld(rec, trouble, options{engines: 6, sparql: true,
		answer: func(e *engine, form url.Values, _ http.Header) answer {
			term := termOf.FindStringSubmatch(form.Get("query"))
			if term == nil {
				return answer{response: response(http.StatusBadRequest, "{}")}
			}
			mu.Lock()
			defer mu.Unlock()
			a := answer{response: response(http.StatusOK, table("label of "+term[1]))}
			a.after = time.Duration(60+random.IntN(120)) * time.Millisecond
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
		requests = 2000
		interval = 10 * time.Millisecond
		wait     = 2500 * time.Millisecond
	)
	var asking sync.WaitGroup
	done, refused, foreign := 0, 0, 0
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
			got := conn.ask(w.sparql, "query", "SELECT ?v WHERE { <http://x/"+term+"> <http://x/label> ?v }",
				wait, wait+time.Second)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got.status != http.StatusOK:
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
	rec.line("%d requests: %d served with their own rows, %d with those of another request, %d not served; %d answers "+
		"came twice", requests, done, foreign, refused, copies)
	if w.hasEnded() || done < requests/2 {
		return false, setupf("too few requests were served")
	}
	return foreign == 0, nil
}

//go:build review2

package main

import (
	"fmt"
	"net/http"
	"net/url"
	"regexp"
	"sync"
	"time"
)

func init() { cases["tenants"] = playTenants }

var markedUpdate = regexp.MustCompile(`<http://x/(u[0-9]+-[a-z]+)>`)

// playTenants sends pairs of updates with an Idempotency-Key, of two tenants, the second while the first is open. With
// trouble, the second has the mark of the first, with another text. The engines drop repeats of a mark for 5 s.
func playTenants(rec *record, trouble bool) (bool, error) {
	const (
		rounds = 6
		work   = time.Second
		window = 5 * time.Second
		wait   = 10 * time.Second
	)
	var mu sync.Mutex
	ran := map[string]bool{}        // by update
	marks := map[string]time.Time{} // what the group of engines has seen
	w, err := newWorld(rec, trouble, options{engines: 6, sparql: true, marked: true,
		settings: func(settings map[string]any) {
			class := settings["classes"].([]any)[2].(map[string]any)
			class["idempotency"], class["repeat_window_ns"] = "by_key", int64(window)
		},
		answer: func(e *engine, form url.Values, header http.Header) answer {
			name := markedUpdate.FindStringSubmatch(form.Get("update"))
			if name == nil {
				return answer{response: response(http.StatusBadRequest, "{}")}
			}
			mark := header.Get("Idempotency-Key")
			mu.Lock()
			defer mu.Unlock()
			if at, seen := marks[mark]; mark != "" && seen && time.Since(at) < window {
				rec.line("%s drops update %s: a repeat of mark %s", e.name, name[1], mark)
				return answer{after: max(0, work-time.Since(at)), response: response(http.StatusNoContent, "")}
			}
			marks[mark] = time.Now()
			ran[name[1]] = true
			rec.line("%s runs update %s, mark %s", e.name, name[1], mark)
			return answer{after: work, response: response(http.StatusNoContent, "")}
		}})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return false, err
	}
	lost, done := 0, 0
	for round := range rounds {
		var both sync.WaitGroup
		send := func(tenant, mark string) {
			name := fmt.Sprintf("u%d-%s", round, tenant)
			body := url.Values{"update": {"INSERT DATA { GRAPH <http://x/" + name + "> { <http://x/s> <http://x/p> 1 } }"}}.Encode()
			both.Go(func() {
				conn, err := dial(w.sparql)
				if err != nil {
					return
				}
				defer conn.close()
				fmt.Fprintf(conn.socket, "POST /sparql/%s?timeout=%d HTTP/1.1\r\nHost: %s\r\nIdempotency-Key: \"%s\"\r\n"+
					"Content-Type: application/x-www-form-urlencoded\r\nContent-Length: %d\r\n\r\n%s", tenant, wait.Milliseconds(),
					w.sparql, mark, len(body), body)
				got := conn.read(time.Now(), wait+time.Second)
				mu.Lock()
				defer mu.Unlock()
				rec.line("client of %s has for update %s under mark %s: %s", tenant, name, mark, got)
				if got.status == http.StatusNoContent {
					done++
					if !ran[name] {
						lost++
						rec.line("LOST: update %s is told done, and no engine ran it", name)
					}
				}
			})
		}
		send("acme", fmt.Sprintf("m%d", round))
		time.Sleep(300 * time.Millisecond)
		if trouble {
			send("bodegas", fmt.Sprintf("m%d", round))
		} else {
			send("bodegas", fmt.Sprintf("n%d", round))
		}
		both.Wait()
	}
	rec.line("%d updates told done, %d of them were never run", done, lost)
	if w.hasEnded() || done < rounds {
		return false, setupf("too few updates were done")
	}
	return lost == 0, nil
}

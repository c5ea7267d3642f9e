//go:build review2

package main

import (
	"errors"
	"net/http"
	"net/url"
	"os"
	"time"
)

func init() { cases["crowd"] = playCrowd }

// playCrowd lets forty clients ask once and, with trouble, keep their connections. Then other clients ask.
func playCrowd(rec *record, trouble bool) (bool, error) {
	const (
		keepers = 40
		askers  = 5
		wait    = 5 * time.Second
		slack   = 550 * time.Millisecond // half a second, and 50 ms on sockets
	)
	w, err := newWorld(rec, trouble, options{engines: 6, sparql: true,
		answer: func(*engine, url.Values, http.Header) answer {
			return answer{after: 80 * time.Millisecond, response: response(http.StatusOK, table("x"))}
		}})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return false, err
	}
	const query = "SELECT ?v WHERE { <http://x/t> <http://x/label> ?v }"
	var kept []*connection
	defer func() {
		for _, conn := range kept {
			conn.close()
		}
	}()
	for i := range keepers {
		conn, err := dial(w.sparql)
		if err != nil {
			return false, setupf("%v", err)
		}
		limit := 2500*time.Millisecond + slack
		got := conn.ask(w.sparql, "query", query, 2500*time.Millisecond, limit)
		if got.status == 0 && !trouble {
			return false, setupf("client %d: %s", i, got)
		}
		rec.line("client %d asks once: %s", i, got)
		if got.status == 0 { // the crowd is complete
			conn.close()
			break
		}
		if trouble {
			kept = append(kept, conn)
		} else {
			conn.close()
		}
	}
	rec.line("%d clients keep their connections and say nothing", len(kept))
	lost, shut := 0, 0
	for i := range askers {
		conn, err := dial(w.sparql)
		if err != nil {
			return false, setupf("%v", err)
		}
		got := conn.ask(w.sparql, "query", query, wait, wait+slack)
		rec.line("another client, %d: %s", i, got)
		switch {
		case errors.Is(got.reason, os.ErrDeadlineExceeded):
			lost++
		case got.status == 0: // a new connection may be shut unread while idle clients fill the descriptors
			shut++
		}
		conn.close()
	}
	rec.line("%d requests of other clients: %d got neither an answer nor a close within their %v and %v more, %d were shut",
		askers, lost, wait, slack, shut)
	if w.hasEnded() || !trouble && shut > 0 {
		return false, setupf("the controller ended, or shut connections without a crowd")
	}
	return lost == 0, nil
}

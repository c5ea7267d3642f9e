//go:build review2

package main

import (
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = playMemory }

// anonymousMB returns how much memory the controller has that no file backs.
func (w *world) anonymousMB() float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.controller.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// playMemory lets usual clients ask. With trouble, a hundred bad clients connect and send a long query each, again and
// again. The platform kills a controller that goes over its memory.
func playMemory(rec *record, trouble bool) (bool, error) {
	const (
		limitMB  = 128
		bad      = 100
		length   = 20 * time.Second
		wait     = 2500 * time.Millisecond
		interval = 100 * time.Millisecond
	)
	w, err := newWorld(rec, trouble, options{engines: 6, sparql: true, memoryMB: limitMB,
		answer: func(*engine, url.Values, http.Header) answer {
			return answer{after: 300 * time.Millisecond, response: response(http.StatusOK, table("x"))}
		}})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return false, err
	}
	stop := time.Now().Add(length)
	var killed atomic.Bool
	var peak float64
	var watching sync.WaitGroup
	watching.Go(func() { // the platform
		for time.Now().Before(stop) && !w.hasEnded() {
			used := w.anonymousMB()
			peak = max(peak, used)
			if used > limitMB {
				killed.Store(true)
				w.rec.line("the controller has %.0f MB, over its %d MB", used, limitMB)
				w.signal(syscall.SIGKILL, "KILL")
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	var asking sync.WaitGroup
	if trouble {
		text := `SELECT ?v WHERE { ?s <http://x/says> "` + strings.Repeat("\u00e9\u00e8", 1<<18-100) + `" }`
		for i := range bad {
			asking.Go(func() {
				for time.Now().Before(stop) && !killed.Load() {
					conn, err := dial(w.sparql)
					if err != nil {
						return
					}
					got := conn.askDirect(w.sparql, text, wait, 6*time.Second)
					rec.line("bad client %d, %d bytes: %s", i, len(text), got)
					conn.close()
				}
			})
		}
	}
	var mu sync.Mutex
	answered, lost := 0, 0
	for i := 0; time.Now().Before(stop) && !killed.Load(); i++ {
		asking.Go(func() {
			conn, err := dial(w.sparql)
			if err != nil {
				return
			}
			defer conn.close()
			got := conn.ask(w.sparql, "query", "SELECT ?v WHERE { <http://x/t> <http://x/label> ?v }", wait, wait+time.Second)
			mu.Lock()
			defer mu.Unlock()
			if got.status == 0 {
				lost++
				rec.line("usual client %d: %s", i, got)
			} else {
				answered++
			}
		})
		time.Sleep(interval)
	}
	asking.Wait()
	watching.Wait()
	rec.line("usual clients: %d answered, %d with no answer; the controller had %.0f MB at most, killed for it: %v",
		answered, lost, peak, killed.Load())
	if !trouble && answered == 0 {
		return false, setupf("no request was answered")
	}
	return !killed.Load() && !w.hasEnded(), nil
}

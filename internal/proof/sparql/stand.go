package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"swiftreel/internal/engine"
	"swiftreel/internal/rulecheck"
	"swiftreel/internal/toy"
)

// book is what all stand-ins of a run log.
type book struct {
	mu   sync.Mutex
	list []rulecheck.Entry
}

func (b *book) add(e rulecheck.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.T = time.Now().UnixNano()
	b.list = append(b.list, e)
}

// fates draws what becomes of dispatches; the draws are a seed's, which dispatch gets which is time's.
type fates struct {
	mu   sync.Mutex
	r    *rand.Rand
	on   bool
	work time.Duration
}

type fate uint8

const (
	well fate = iota
	full
	breaks
	fails
	slow
)

func (f *fates) draw() fate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.r.IntN(100); f.on && n < 20 {
		return fate(1 + n/5)
	}
	return well
}

// lineEngine is an engine of the line protocol that logs.
func lineEngine(name string, b *book, f *fates) (*toy.Engine, error) {
	var mu sync.Mutex
	running := map[string]*time.Timer{} // by session and id
	return toy.StartEngine("127.0.0.1:0", func(s *toy.Session, c engine.Command) {
		key := fmt.Sprintf("%p %s", s, c.ID)
		mu.Lock()
		defer mu.Unlock()
		end := func(how string) {
			delete(running, key)
			b.add(rulecheck.Entry{What: rulecheck.Ended, Job: c.ID, Engine: name, Answer: how})
		}
		switch c.Word {
		case "stats", "alive":
			s.Answer(c.ID, "well", fmt.Sprintf("load=concurrent:%d", len(running)), "")
		case "fetch":
			what := f.draw()
			if what == full {
				b.add(rulecheck.Entry{What: rulecheck.Reached, Job: c.ID, Engine: name, Protocol: "line"})
				s.Answer(c.ID, "full", "", "")
				return
			}
			b.add(rulecheck.Entry{What: rulecheck.Began, Job: c.ID, Engine: name, Protocol: "line", Work: int64(f.work)})
			takes := f.work
			if what == slow {
				takes *= 20
			}
			running[key] = time.AfterFunc(takes, func() {
				mu.Lock()
				defer mu.Unlock()
				if running[key] == nil {
					return
				}
				switch what {
				case breaks:
					end(rulecheck.Broken)
					s.Reset()
				case fails:
					end(rulecheck.Broken)
					s.Answer(c.ID, "failed", "", "")
				default:
					end(rulecheck.Done)
					s.Answer(c.ID, "data", "sheets=1,toil=2,room=4", "a\tb\tc\n")
				}
			})
		case "more":
			if running[key] == nil {
				s.Answer(c.ID, "failed", "", "")
			}
		case "abort":
			if t := running[key]; t != nil {
				t.Stop()
				end(rulecheck.Broken)
			}
		}
	})
}

// scriptEndpoint has an endpoint log, and misbehave. A job's name stands in its text as a comment.
func scriptEndpoint(e *toy.Endpoint, name string, b *book, f *fates) {
	e.Script(func(w http.ResponseWriter, text string) bool {
		_, job, is := strings.Cut(text, "# ")
		if !is {
			return false // a probe
		}
		what := f.draw()
		if what == full {
			b.add(rulecheck.Entry{What: rulecheck.Reached, Job: job, Engine: name, Protocol: "sparql"})
			w.Header().Set("Not-Started", "?1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
		b.add(rulecheck.Entry{What: rulecheck.Began, Job: job, Engine: name, Protocol: "sparql", Work: int64(f.work)})
		takes := f.work
		if what == slow {
			takes *= 20
		}
		time.Sleep(takes) // the job's work, as simulated
		switch what {
		case breaks:
			b.add(rulecheck.Entry{What: rulecheck.Ended, Job: job, Engine: name, Answer: rulecheck.Broken})
			panic(http.ErrAbortHandler)
		case fails: // begins well, and breaks off inside the JSON
			b.add(rulecheck.Entry{What: rulecheck.Ended, Job: job, Engine: name, Answer: rulecheck.Broken})
			w.Header().Set("Content-Type", "application/sparql-results+json")
			fmt.Fprint(w, `{"head":{"vars":["s"]},"results":{"bindings":[{"s":{"type":"uri","val`)
			panic(http.ErrAbortHandler)
		}
		b.add(rulecheck.Entry{What: rulecheck.Ended, Job: job, Engine: name, Answer: rulecheck.Done})
		return false
	})
}

package testcluster

import (
	"fmt"
	"sync"
	"time"

	"swiftreel/internal/engine"
	"swiftreel/internal/fake"
	"swiftreel/internal/rulecheck"
)

// LineEngine is an engine of the line protocol that logs. Its work is as the fates say.
func LineEngine(address, name string, b *Book, f *Fates) (*fake.Engine, error) {
	var mu sync.Mutex
	running := map[string]*time.Timer{} // by session and id
	return fake.StartEngine(address, func(s *fake.Session, c engine.Command) {
		key := fmt.Sprintf("%p %s", s, c.ID)
		mu.Lock()
		defer mu.Unlock()
		end := func(how string) {
			delete(running, key)
			b.Add(rulecheck.Entry{Event: rulecheck.Ended, Job: c.ID, Engine: name, Answer: how})
		}
		switch c.Name {
		case "stats", "alive":
			if f.Broken(name) {
				s.Answer(c.ID, "failed", "", "")
				return
			}
			s.Answer(c.ID, "well", fmt.Sprintf("load=concurrent:%d", len(running)), "")
		case "fetch":
			what := f.Draw()
			if f.Broken(name) {
				what = Fails
			}
			if what == Full {
				b.Add(rulecheck.Entry{Event: rulecheck.Reached, Job: c.ID, Engine: name, Protocol: "line"})
				s.Answer(c.ID, "full", "", "")
				return
			}
			b.Add(rulecheck.Entry{Event: rulecheck.Began, Job: c.ID, Engine: name, Protocol: "line", Work: int64(f.Work())})
			takes := f.Work()
			if what == Slow {
				takes *= 20
			}
			running[key] = time.AfterFunc(takes, func() {
				mu.Lock()
				defer mu.Unlock()
				if running[key] == nil {
					return
				}
				switch what {
				case Breaks:
					end(rulecheck.Broken)
					s.Reset()
				case Fails:
					end(rulecheck.Broken)
					s.Answer(c.ID, "failed", "", "")
				default:
					end(rulecheck.Done)
					s.Answer(c.ID, "data", fmt.Sprintf("sheets=1,toil=%d,room=4", max(1, takes.Milliseconds())), "a\tb\tc\n")
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

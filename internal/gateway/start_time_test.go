package gateway

import (
	"fmt"
	"testing"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/discovery"
)

// oneEngine returns a discovery event with one ready engine that started at the given wall clock time.
func oneEngine(t *testing.T, complete bool, name string, startedAt time.Time) discovery.Event {
	t.Helper()
	text := fmt.Sprintf(`{"n":1,"members":{"whole":%v,"hosts":[{"host":%q,"dial":"127.0.0.1:1","site":"west",
"class":"std","block":2,"health":"ready","share":4,"born_ms":%d}]}}`, complete, name, startedAt.UnixMilli())
	event, err := discovery.ParseEvent([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return event
}

// A feed that was up to date a moment ago announces a start that is an hour off in either direction, because one of the
// two wall clocks was stepped. The engine must count as just started, so that it is warm one slow start window later.
func TestAnAnnouncedStartIsNotDatedByASteppedClock(t *testing.T) {
	for name, step := range map[string]time.Duration{"ahead": time.Hour, "behind": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			g := New(Options{Settings: choice.RawSettings{"kinds": []any{"std"}}, Seed: 1, Budget: testBudget()})
			defer g.Close()
			g.UpdateEngines(oneEngine(t, true, "old", time.Now().Add(-time.Hour)), true)
			before := g.clock.now()
			change := oneEngine(t, false, "new", time.Now().Add(step))
			change.UpToDateAt = time.Now()
			g.UpdateEngines(change, false)
			started := g.table.byName["new"].listing.StartedAt
			if started < before || started > g.clock.now() {
				t.Errorf("the start is dated %v before its announcement", time.Duration(before-started))
			}
			if old := g.table.byName["old"].listing.StartedAt; before-old < choice.Nanos(59*time.Minute) {
				t.Errorf("a known engine that is an hour old is dated %v ago", time.Duration(before-old))
			}
		})
	}
}

// steppedClock is a wall clock that tests can step.
type steppedClock struct{ offset time.Duration }

func (c *steppedClock) now() time.Time { return time.Now().Add(c.offset) }

// The local wall clock is stepped while engines start. The start times must be right for each order of timestamp, step
// and event, and known engines must keep their start times.
func TestStartsAreDatedRightAcrossASteppedClock(t *testing.T) {
	const age = 2 * time.Second
	for name, step := range map[string]time.Duration{
		"an hour ahead": time.Hour, "an hour behind": -time.Hour, "seconds ahead": 5 * time.Second,
		"seconds behind": -5 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			wall := &steppedClock{}
			g := New(Options{Settings: choice.RawSettings{"kinds": []any{"std"}}, Seed: 1, Budget: testBudget()})
			defer g.Close()
			g.mu.Lock()
			g.clock.wall = wall.now
			g.mu.Unlock()
			old := wall.now().Add(-time.Hour)
			g.UpdateEngines(oneEngine(t, true, "old", old), true)
			stampedBefore := oneEngine(t, false, "before", wall.now().Add(-age))
			g.mu.Lock()
			wall.offset = step
			g.mu.Unlock()
			g.UpdateEngines(oneEngine(t, false, "late", wall.now()), false) // the first event after the step
			g.UpdateEngines(stampedBefore, false)
			g.UpdateEngines(oneEngine(t, false, "after", wall.now().Add(-age)), false)
			g.UpdateEngines(oneEngine(t, false, "old", old), false)
			for engine, wantAge := range map[string]time.Duration{"before": age, "after": age, "late": 0, "old": time.Hour} {
				g.mu.Lock()
				got := time.Duration(g.clock.now() - g.table.byName[engine].listing.StartedAt)
				g.mu.Unlock()
				if got < wantAge-10*time.Millisecond || got > wantAge+time.Second {
					t.Errorf("%s is dated %v ago, want %v", engine, got, wantAge)
				}
			}
		})
	}
}

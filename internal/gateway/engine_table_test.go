package gateway

import (
	"slices"
	"testing"
	"time"

	"swiftreel/choice"
)

func TestEnginesAreNumberedAlikeInWhateverOrderTheyCome(t *testing.T) {
	n := newIdentifiers(choice.RawSettings{"localities": []any{"east", "west"}, "kinds": []any{"std"}})
	a, b, now := newEngineTable(), newEngineTable(), time.Now()
	clock := newClock()
	startTimes := &startTimeConverter{clock: &clock, now: clock.now()}
	first, _ := a.update(engineList(t, "true", "e1", "e2", "e3").Change, n, now, startTimes)
	b.update(engineList(t, "true", "e3").Change, n, now, startTimes)
	b.update(engineList(t, "false", "e2", "e1").Change, n, now, startTimes)
	want := choice.EngineEntry{Engine: a.byName["e1"].id, Zone: 1, Cell: 2, State: choice.Ready, Size: 4, StartedAt: 5e6}
	if first[0] != want {
		t.Errorf("%+v, want %+v", first[0], want)
	}
	for name, l := range a.byName {
		if b.byName[name].id != l.id || a.byID[l.id] != l {
			t.Errorf("%s has IDs %d and %d", name, l.id, b.byName[name].id)
		}
	}
	_, removed := a.update(engineList(t, "true", "e2").Change, n, now, startTimes)
	if slices.Sort(removed); !slices.Equal(removed, []string{"e1", "e3"}) ||
		a.byName["e1"].listing.State != choice.Removed {
		t.Errorf("removed %v", removed)
	}
	a.update(engineList(t, "false", "e1").Change, n, now.Add(time.Minute), startTimes)
	a.update(engineList(t, "false", "e2").Change, n, now.Add(removedRetention+time.Minute), startTimes)
	if len(a.byName) != 2 || len(a.byID) != 2 {
		t.Errorf("%d engines kept, including one removed long ago", len(a.byName))
	}
}

// An engine in an unknown zone must not count as one in the first zone of the settings, or it would get jobs that must
// not run there.
func TestAnEngineOfUnknownZoneAndKindMatchesNoKnownOne(t *testing.T) {
	r := newEngineTable()
	clock := newClock()
	lines, _ := r.update(
		engineList(t, "true", "e1").Change,
		newIdentifiers(choice.RawSettings{"localities": []any{"east"}, "kinds": []any{"small"}}),
		time.Now(),
		&startTimeConverter{clock: &clock, now: clock.now()},
	)
	if lines[0].Zone != unknownZone || lines[0].Kind != unknownKind {
		t.Errorf("%+v", lines[0])
	}
}

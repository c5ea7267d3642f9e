package choice

import (
	"flag"
	"fmt"
	"path/filepath"
	"slices"
	"testing"
)

// Streams of events that the module was told, and what it decided: it has to decide so for ever, to the bit of each
// mean. Where a decision is changed on purpose they are recorded anew, by the module as it stands before the next
// subsystem: go test ./choice -run Recorded -record.
var record = flag.Bool("record", false, "record the streams of testdata anew")

func streamPath(name string) string { return filepath.Join("testdata", name+".jsonl.gz") }

// TestRecordedStreamsAreDecidedAsBefore holds decisions and beliefs against the streams, and log lines apart from them.
func TestRecordedStreamsAreDecidedAsBefore(t *testing.T) {
	for name, play := range streams {
		t.Run(name, func(t *testing.T) {
			if *record {
				writeStream(t, streamPath(name), recordPlay(t, play))
			}
			steps := readStream(t, streamPath(name))
			t.Run("decisions", func(t *testing.T) { replay(t, steps, compareDecisions) })
			t.Run("log", func(t *testing.T) { replay(t, steps, compareLog) })
			t.Logf("%d events", len(steps))
		})
	}
}

// replay tells a new module the events of a stream and has each step compared with what was recorded.
func replay(t *testing.T, steps []recordedStep, compare func(recordedStep, []Action, *Controller) error) {
	t.Helper()
	if len(steps) == 0 {
		t.Fatal("the stream is empty")
	}
	var c Controller
	for i, step := range steps {
		acts := c.Decide(Nanos(step.At), step.Event.event(t))
		if err := compare(step, acts, &c); err != nil {
			t.Fatalf("event %d (%s): %v", i, step.Event.Kind, err)
		}
	}
}

func compareDecisions(step recordedStep, acts []Action, c *Controller) error {
	if got := digestOf(acts); got != step.Decisions {
		return fmt.Errorf("decided otherwise: %+v", acts)
	}
	if got := stateOf(c, Nanos(step.At)); got != step.State {
		return fmt.Errorf("decided alike, but what is believed differs")
	}
	return nil
}

func compareLog(step recordedStep, acts []Action, _ *Controller) error {
	if got := logTexts(acts); !slices.Equal(got, step.Log) {
		return fmt.Errorf("logged %q, not %q", got, step.Log)
	}
	return nil
}

// recordPlay has a stage played and gives the stream of its controller.
func recordPlay(t *testing.T, play func(*testing.T, func(*stage))) (lines [][]byte) {
	t.Helper()
	play(t, func(s *stage) {
		s.onDecide = func(ev Event, acts []Action) {
			lines = append(lines, encodeStep(t, recordedStep{At: int64(s.now), Event: recorded(ev, s.settings),
				Decisions: digestOf(acts),
				State:     stateOf(&s.c, s.now), Log: logTexts(acts)}))
		}
	})
	return lines
}

package choice

import (
	"flag"
	"fmt"
	"path/filepath"
	"slices"
	"testing"
)

// The streams in testdata record events and the resulting decisions, which must stay the same, with exact floats. After
// an intended change of decisions the streams are recorded anew, before the next subsystem is changed:
// go test ./choice -run Recorded -record.
var record = flag.Bool("record", false, "record the streams in testdata anew")

func streamPath(name string) string { return filepath.Join("testdata", name+".jsonl.gz") }

// TestRecordedStreamsAreDecidedAsBefore compares decisions and state with the streams, and separately log texts.
func TestRecordedStreamsAreDecidedAsBefore(t *testing.T) {
	for name, play := range streams {
		t.Run(name, func(t *testing.T) {
			if *record {
				writeStream(t, streamPath(name), recordStream(t, play))
			}
			steps := readStream(t, streamPath(name))
			t.Run("decisions", func(t *testing.T) { replay(t, steps, compareDecisions) })
			t.Run("log", func(t *testing.T) { replay(t, steps, compareLog) })
			t.Logf("%d events", len(steps))
		})
	}
}

// replay sends the events of a stream to a new controller and compares each step with what was recorded.
func replay(t *testing.T, steps []recordedStep, compare func(recordedStep, []Action, *Controller) error) {
	t.Helper()
	if len(steps) == 0 {
		t.Fatal("the stream is empty")
	}
	var c Controller
	for i, step := range steps {
		actions := c.Decide(Nanos(step.At), step.Event.event(t))
		if err := compare(step, actions, &c); err != nil {
			t.Fatalf("event %d (%s): %v", i, step.Event.Kind, err)
		}
	}
}

func compareDecisions(step recordedStep, actions []Action, c *Controller) error {
	if got := digestActions(actions); got != step.Decisions {
		return fmt.Errorf("decisions differ: %+v", actions)
	}
	if got := digestState(c, Nanos(step.At)); got != step.State {
		return fmt.Errorf("decisions are the same, but the state differs")
	}
	return nil
}

func compareLog(step recordedStep, actions []Action, _ *Controller) error {
	if got := logTexts(actions); !slices.Equal(got, step.Log) {
		return fmt.Errorf("logged %q, want %q", got, step.Log)
	}
	return nil
}

// recordStream runs a simulation and returns the recorded stream of its controller.
func recordStream(t *testing.T, play func(*testing.T, func(*simulation))) (lines [][]byte) {
	t.Helper()
	play(t, func(s *simulation) {
		s.onDecide = func(ev Event, actions []Action) {
			lines = append(lines, encodeStep(t, recordedStep{At: int64(s.now), Event: recorded(ev, s.settings),
				Decisions: digestActions(actions),
				State:     digestState(&s.c, s.now), Log: logTexts(actions)}))
		}
	})
	return lines
}

package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"
)

// engineCommand is the first argument that makes the test program run as an engine.
const engineCommand = "engine"

func TestMain(m *testing.M) {
	if len(os.Args) == 5 && os.Args[1] == engineCommand {
		incarnation, _ := strconv.Atoi(os.Args[3])       // written by this test
		seed, _ := strconv.ParseUint(os.Args[4], 10, 64) // likewise
		fmt.Fprintln(os.Stderr, EngineMain(os.Args[2], incarnation, seed, os.Stdout))
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// shortSeeds are the seeds of the short runs.
var shortSeeds = []uint64{1, 2}

// Short runs with few processes violate no invariant. "make soak" executes full runs.
func TestAShortRunBreaksNoInvariant(t *testing.T) {
	program := filepath.Join(t.TempDir(), "swiftreel")
	if out, err := exec.Command("go", "build", "-o", program, "swiftreel/cmd/swiftreel").CombinedOutput(); err != nil {
		t.Fatalf("%s%v", out, err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range shortSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			report, err := Run(Config{Program: program, EngineProgram: []string{self, engineCommand}, Seed: seed,
				Controllers: 4, Engines: 4, Clients: 2, Length: 20 * time.Second})
			if err != nil {
				t.Fatal(err)
			}
			for _, fault := range report.Faults {
				t.Log(fault)
			}
			for _, finding := range report.Findings {
				t.Error(finding)
			}
			if report.Outcomes[Served] == 0 || len(report.Faults) < 2 || len(report.Pairs) == 0 {
				t.Errorf("the run shows nothing: %+v", report)
			}
		})
	}
}

// runStart is when calls are sent in the tests of the check.
var runStart = time.Unix(5000, 0)

func after(d time.Duration) time.Time { return runStart.Add(d) }

// validRecords returns records of one call that was served in time.
func validRecords() *Records {
	r := newRecords()
	r.addChange(Change{Engine: "e0", State: "ready", At: after(-time.Minute)})
	r.addCall(&Call{ID: "a", Type: typeImport, Key: "k", Connection: "k-1", Timeout: time.Second,
		ConnectedAt: after(-time.Second), BegunAt: runStart, SentAt: runStart, EndedAt: after(100 * time.Millisecond),
		Outcome: Served, Answers: 1})
	r.addFetch(Fetch{ID: "a", Engine: "e0", At: after(10 * time.Millisecond), TimeLimit: 990 * time.Millisecond})
	r.addExecution(Execution{ID: "a", Engine: "e0", BeganAt: after(11 * time.Millisecond)})
	return r
}

// Check reports each violation under its rule, and nothing for records without violations.
func TestEachBrokenInvariantIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		corrupt func(r *Records)
		rule    string // empty: no violation
	}{
		"nothing":                     {func(*Records) {}, ""},
		"two answers":                 {func(r *Records) { r.calls[0].Answers = 2 }, "answer"},
		"malformed":                   {func(r *Records) { r.calls[0].Outcome = Malformed }, "answer"},
		"served without an execution": {func(r *Records) { r.executions = nil }, "answer"},
		"broken":                      {func(r *Records) { r.calls[0].Outcome = Broken }, "lost"},
		"never answered":              {func(r *Records) { r.calls[0].Outcome = Unanswered }, "lost"},
		"broken by a kill": {func(r *Records) {
			r.calls[0].Outcome = Broken
			r.addKill(0, after(50*time.Millisecond))
		}, ""},
		"broken by a kill before it was sent": {func(r *Records) {
			r.calls[0].Outcome = Broken
			r.addKill(0, after(-50*time.Millisecond))
		}, ""},
		"broken after the kill of an earlier process": {func(r *Records) {
			r.calls[0].Outcome = Broken
			r.addKill(0, after(-2*time.Second))
		}, "lost"},
		"broken by the kill of another controller": {func(r *Records) {
			r.calls[0].Outcome = Broken
			r.addKill(1, after(50*time.Millisecond))
		}, "lost"},
		"broken at a stop": {func(r *Records) {
			r.calls[0].Outcome = Broken
			r.addStop(0, after(-350*time.Millisecond))
		}, "lost"},
		"broken long after a stop": {func(r *Records) {
			r.calls[0].Outcome = Broken
			r.addStop(0, after(-3*time.Second))
		}, "lost"},
		"crossed": {func(r *Records) {
			r.calls[0].Outcome = Crossed
			r.fetches = nil
		}, ""},
		"crossed, but dispatched": {func(r *Records) { r.calls[0].Outcome = Crossed }, "lost"},
		"several crossed": {func(r *Records) {
			r.calls[0].Outcome = Crossed
			r.calls[0].BatchSize = 2
			r.fetches = nil
		}, "lost"},
		"several crossed a close that is logged as idle": {func(r *Records) {
			r.calls[0].Outcome = Crossed
			r.calls[0].BatchSize = 2
			r.calls[0].LocalAddress = "127.0.0.1:4"
			r.addCloseReason(0, "127.0.0.1:4", closedIdle)
			r.fetches = nil
		}, ""},
		"several crossed a close with input unread": {func(r *Records) {
			r.calls[0].Outcome = Crossed
			r.calls[0].BatchSize = 2
			r.calls[0].LocalAddress = "127.0.0.1:4"
			r.addCloseReason(0, "127.0.0.1:4", "idle open_calls=0 unread=true")
			r.fetches = nil
		}, "lost"},
		"closed unread during a flood of idle clients": {func(r *Records) {
			r.calls[0].Outcome = Broken
			r.calls[0].IsFirst = true
			r.fetches = nil
			r.addIdleFlood(0, Interval{after(-time.Second), after(time.Second)})
		}, ""},
		"closed during a flood, but dispatched": {func(r *Records) {
			r.calls[0].Outcome = Broken
			r.calls[0].IsFirst = true
			r.addIdleFlood(0, Interval{after(-time.Second), after(time.Second)})
		}, "lost"},
		"closed during a flood on a connection in use": {func(r *Records) {
			r.calls[0].Outcome = Broken
			r.fetches = nil
			r.addIdleFlood(0, Interval{after(-time.Second), after(time.Second)})
		}, "lost"},
		"late": {func(r *Records) { r.calls[0].EndedAt = after(2 * time.Second) }, "late"},
		"late by a pause": {func(r *Records) {
			r.calls[0].EndedAt = after(2 * time.Second)
			r.addPause(0, Interval{after(0), after(1900 * time.Millisecond)})
		}, ""},
		"late by accepts that failed": {func(r *Records) {
			r.calls[0].EndedAt = after(2 * time.Second)
			r.addAcceptOutage(0, Interval{after(-time.Second), after(1900 * time.Millisecond)})
		}, ""},
		"too much time while accepts failed": {func(r *Records) {
			r.fetches[0].TimeLimit = 2 * time.Second
			r.addAcceptOutage(0, Interval{after(-time.Second), after(time.Second)})
		}, "deadline"},
		"ran twice":       {func(r *Records) { r.addExecution(r.executions[0]) }, "duplicate"},
		"refused and ran": {func(r *Records) { r.calls[0].Outcome = Refused }, "duplicate"},
		"client was gone": {func(r *Records) {
			r.calls[0].Outcome = Left
			r.calls[0].EndedAt = after(-time.Second)
		}, "gone"},
		"too much time": {func(r *Records) { r.fetches[0].TimeLimit = 2 * time.Second }, "deadline"},
		"too much time by a late record": {func(r *Records) {
			r.fetches[0].TimeLimit = 2 * time.Second
			r.addStall(Interval{after(0), after(20 * time.Millisecond)})
		}, ""},
		"wrong place": {func(r *Records) {
			r.calls[0].Type = typeLocal
			r.fetches[0].Engine = "e2"
		}, "placement"},
		"drains": {func(r *Records) {
			r.addChange(Change{Engine: "e0", State: "draining", At: after(-time.Second)})
		}, "drain"},
		"drained a moment ago": {func(r *Records) {
			r.addChange(Change{Engine: "e0", State: "draining", At: after(-drainGrace / 2)})
		}, ""},
		"notified that it is ready again, while the line is still being written": {func(r *Records) {
			r.addChange(Change{Engine: "e0", State: "draining", At: after(-time.Second)})
			r.addChange(Change{Engine: "e0", State: "ready", BegunAt: after(9 * time.Millisecond), At: after(time.Second)})
		}, ""},
		"notified later that it is ready again": {func(r *Records) {
			r.addChange(Change{Engine: "e0", State: "draining", At: after(-time.Second)})
			r.addChange(Change{Engine: "e0", State: "ready", BegunAt: after(11 * time.Millisecond), At: after(time.Second)})
		}, "drain"},
		"another controller was notified that it drains": {func(r *Records) {
			r.addChange(Change{Engine: "e0", Controller: 1, State: "draining", At: after(-notificationTimeout - time.Second)})
		}, "drain"},
		"order": {func(r *Records) {
			r.calls = append([]*Call{{ID: "b", Type: typeImport, Key: "k", Connection: "k-1", Timeout: time.Second,
				SentAt: after(-time.Millisecond), EndedAt: after(time.Second / 2), Outcome: Served, Answers: 1}}, r.calls...)
			r.addFetch(Fetch{ID: "b", Engine: "e0", At: after(time.Second / 2), TimeLimit: time.Second / 2})
			r.addExecution(Execution{ID: "b", Engine: "e0", BeganAt: after(time.Second / 2)})
		}, "order"},
		"two of a key at once": {func(r *Records) {
			r.addCall(&Call{ID: "b", Type: typeImport, Key: "k", Connection: "k-1", Timeout: time.Second, SentAt: runStart,
				EndedAt: after(time.Second / 2), Outcome: Served, Answers: 1})
			r.addFetch(Fetch{ID: "b", Engine: "e0", At: after(30 * time.Millisecond)})
			r.addExecution(Execution{ID: "b", Engine: "e0", BeganAt: after(30 * time.Millisecond)})
		}, "order"},
		"one of a key after the other": {func(r *Records) {
			r.addCall(&Call{ID: "b", Type: typeImport, Key: "k", Connection: "k-1", Timeout: time.Second, SentAt: runStart,
				EndedAt: after(time.Second / 2), Outcome: Served, Answers: 1})
			r.addFetch(Fetch{ID: "b", Engine: "e0", At: after(51 * time.Millisecond)})
			r.addExecution(Execution{ID: "b", Engine: "e0", BeganAt: after(52 * time.Millisecond)})
		}, ""},
		"slow start": {func(r *Records) {
			r.addChange(Change{Engine: "e0", State: "ready", Start: runStart, At: runStart})
			for i := range int(slowStartLimit(0)) + 10 {
				r.addFetch(Fetch{ID: fmt.Sprint(i), Engine: "e0", At: after(time.Duration(i) * time.Millisecond)})
			}
		}, "failback"},
		"retries": {func(r *Records) {
			for range freeRetries + 2 {
				r.addFetch(r.fetches[0])
			}
		}, "retries"},
		"retries of two processes": {func(r *Records) {
			for range freeRetries {
				r.addFetch(r.fetches[0])
			}
			r.addStart(0, after(20*time.Millisecond))
			for range freeRetries {
				r.addFetch(Fetch{ID: "a", Engine: "e0", At: after(30 * time.Millisecond), TimeLimit: 900 * time.Millisecond})
			}
		}, ""},
		"retries of one process": {func(r *Records) {
			r.addStart(0, after(-time.Second))
			for range freeRetries + 2 {
				r.addFetch(r.fetches[0])
			}
		}, "retries"},
		"retries for a call that is being written": {func(r *Records) {
			r.calls[0].BegunAt = after(-20 * time.Second) // before the retry window, so that it adds nothing to the budget
			for range freeRetries + 1 {
				r.addFetch(r.fetches[0])
			}
			for i := range int(1/retryRatio) + 1 {
				r.addCall(&Call{ID: fmt.Sprint("b", i), Connection: "k-1", Timeout: time.Second,
					BegunAt: after(9 * time.Millisecond), SentAt: after(11 * time.Millisecond),
					EndedAt: after(time.Second / 2), Outcome: Failed, Answers: 1})
			}
		}, ""},
		"retries for calls that were written later": {func(r *Records) {
			r.calls[0].BegunAt = after(-20 * time.Second)
			for range freeRetries + 1 {
				r.addFetch(r.fetches[0])
			}
			for i := range int(1/retryRatio) + 1 {
				r.addCall(&Call{ID: fmt.Sprint("b", i), Connection: "k-1", Timeout: time.Second,
					BegunAt: after(11 * time.Millisecond), SentAt: after(11 * time.Millisecond),
					EndedAt: after(time.Second / 2), Outcome: Failed, Answers: 1})
			}
		}, "retries"},
		"process": {func(r *Records) { r.addFailure("crashed") }, "process"},
	} {
		r := validRecords()
		c.corrupt(r)
		rules := map[string]bool{}
		for _, finding := range Check(r) {
			rules[finding.Rule] = true
		}
		if c.rule == "" && len(rules) > 0 || c.rule != "" && (len(rules) != 1 || !rules[c.rule]) {
			t.Errorf("%s: found %v, want %q", name, rules, c.rule)
		}
	}
}

// The same seed always gives the same faults, some of which overlap.
func TestFaultsAreDrawnFromTheSeed(t *testing.T) {
	faults, again := DrawFaults(7, time.Minute, 12, 12, true), DrawFaults(7, time.Minute, 12, 12, true)
	overlapping := 0
	for i, fault := range faults {
		if fault != again[i] {
			t.Fatalf("%v and %v", fault, again[i])
		}
		if i > 0 && fault.At < faults[i-1].At+faults[i-1].Length {
			overlapping++
		}
	}
	if overlapping < len(faults)/3 {
		t.Errorf("%d of %d overlap", overlapping, len(faults))
	}
}

// Every pair of kinds of faults is drawn by some seed, the second at most maxPairDelay after the first, and with the
// same target if both affect controllers or both affect engines.
func TestEachPairOfFaultsIsPlaced(t *testing.T) {
	const seeds = 400
	drawn := map[string]bool{}
	for seed := range uint64(seeds) {
		first := map[int]Fault{}
		for _, fault := range DrawFaults(seed, time.Minute, 12, 12, true) {
			if fault.Pair == "" {
				continue
			}
			before, isSecond := first[fault.Placement]
			if !isSecond {
				first[fault.Placement] = fault
				continue
			}
			drawn[fault.Pair] = true
			haveSameTargetType := (engineFaultInjectors[before.Kind] == nil) == (engineFaultInjectors[fault.Kind] == nil)
			if fault.At-before.At > maxPairDelay || haveSameTargetType && fault.Target != before.Target {
				t.Fatalf("seed %d: %v and %v", seed, before, fault)
			}
		}
	}
	for _, pair := range faultPairs(true) {
		if !drawn[pair.name()] {
			t.Errorf("never drawn: %s", pair.name())
		}
	}
}

// Each kind of fault has an aspect, and an injector for either engines or controllers.
func TestEachKindOfFaultIsPlayed(t *testing.T) {
	for _, pair := range faultPairs(true) {
		kind := pair.first
		_, hasAspect := aspectOf[kind]
		_, isOfEngine := engineFaultInjectors[kind]
		_, isOfController := controllerFaultInjectors[kind]
		if !hasAspect || isOfEngine == isOfController {
			t.Errorf("%s: aspect %v, at an engine %v, at a controller %v", kind, hasAspect, isOfEngine, isOfController)
		}
	}
}

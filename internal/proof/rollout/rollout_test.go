package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"swiftreel/internal/golden"
	"swiftreel/internal/rollout"
	"swiftreel/internal/rulecheck"
)

// TestScheduleIsThatOfItsSeed guards against a change of the drawn schedules, after which the seeds printed by earlier
// runs would no longer reproduce their faults.
func TestScheduleIsThatOfItsSeed(t *testing.T) {
	var text bytes.Buffer
	for seed := range uint64(4) {
		faults, err := json.Marshal(schedule(seed+1, 3))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "%s\n", faults)
	}
	golden.Check(t, "schedules.txt", text.Bytes())
}

func TestEachFailureOfAScenarioIsNamed(t *testing.T) {
	good := result{
		scenario: scenario{wantedPhase: rollout.PhaseDone, maxStage: 2},
		phase:    rollout.PhaseDone,
		stage:    2,
		jobs:     minJobs,
	}
	if list := good.failures(); len(list) != 0 {
		t.Errorf("a good one: %q", list)
	}
	for want, change := range map[string]func(*result){
		"it broke":                     func(r *result) { r.err = errors.New("it broke") },
		"wanted done":                  func(r *result) { r.phase = rollout.PhaseReverted },
		"does not end":                 func(r *result) { r.wantedPhase, r.phase = "", rollout.PhaseBaking },
		"stopped at stage 3 only":      func(r *result) { r.stage = 3 },
		"1 connections broke":          func(r *result) { r.brokenConnections = 1 },
		"only 99 jobs":                 func(r *result) { r.jobs = minJobs - 1 },
		rulecheck.Violation{}.String(): func(r *result) { r.violations = []rulecheck.Violation{{}} },
	} {
		r := good
		change(&r)
		if list := r.failures(); len(list) != 1 || !strings.Contains(list[0], want) {
			t.Errorf("%q: %q", want, list)
		}
	}
	program := good
	program.program = "/p"
	program.brokenConnections = 1
	if list := program.failures(); len(list) != 0 {
		t.Errorf("a change of the program may break connections: %q", list)
	}
}

func TestOrdersOutOfOrderAreFound(t *testing.T) {
	log := func(fences ...string) string {
		text := "time=x level=INFO msg=supervising\n"
		for _, f := range fences {
			text += "time=x level=INFO msg=order_accepted fence=" + f + " ordered_by=x\n"
		}
		return text
	}
	for text, want := range map[string]struct {
		orders int
		isFine bool
	}{
		log():                          {0, true},
		log("1.1.1", "1.1.2", "1.2.1"): {3, true},
		log("1.1.2", "1.1.1"):          {1, false},
		log("1.1.1", "1.1.1"):          {1, false},
		log("x"):                       {0, false},
	} {
		if orders, err := checkFences(text); (err == nil) != want.isFine || orders != want.orders {
			t.Errorf("%s: %d orders, %v", text, orders, err)
		}
	}
}

func TestFiguresOfASpan(t *testing.T) {
	second := int64(time.Second)
	var log []rulecheck.Entry
	for i := range int64(100) {
		job := fmt.Sprint(i)
		key := ""
		if i%10 == 0 {
			key = "k"
		}
		at := 10*second + i*second/10
		log = append(log,
			rulecheck.Entry{Event: rulecheck.Accepted, Job: job, Key: key, TimeNS: at},
			rulecheck.Entry{Event: rulecheck.Answered, Job: job, Answer: rulecheck.Done, TimeNS: at + second/100})
	}
	f := figuresOf(log, time.Unix(10, 0), time.Unix(20, 0))
	want := figures{perSecond: 10, done: 1, p50MS: 10, p99MS: 10, gapMS: 100, keyedP99MS: 10}
	if f != want {
		t.Errorf("%+v, not %+v", f, want)
	}
	if f := figuresOf(log, time.Unix(30, 0), time.Unix(40, 0)); f != (figures{}) {
		t.Errorf("of nothing: %+v", f)
	}
}

// TestVirtualRolloutsAreThoseRecorded compares a few changes with and without harm to their recorded results.
func TestVirtualRolloutsAreThoseRecorded(t *testing.T) {
	var text bytes.Buffer
	for _, harm := range []float64{0, 0.05} {
		for seed := range uint64(6) {
			r := newVirtualFleet(seed, 3, 20, harm).simulateRollout(300)
			fmt.Fprintf(&text, "harm %g, seed %d: %s, fixed test stops %t, %d new jobs, %d s: %s\n",
				harm, seed, r.phase, r.fixedTestStops, r.newJobs, r.seconds, r.outcome)
		}
	}
	golden.Check(t, "virtual.txt", text.Bytes())
}

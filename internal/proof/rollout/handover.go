package main

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/rulecheck"
	"swiftreel/internal/testcluster"
)

const (
	handoverSeed    = 77
	handoverClients = 30
	handoverPause   = 140 * time.Millisecond
	handoverEngines = 2
	// handoverSwitches is the number of program changes of the controller in each way.
	handoverSwitches = 3
	// steadyLoadTime is the duration of load before the switches and after each one.
	steadyLoadTime = 1500 * time.Millisecond

	maxGapMS = 500  // longest time without an answer
	minDone  = 0.99 // least fraction of jobs done, of all answers
)

// errNotRunning is returned when the controller has no process that could be restarted.
var errNotRunning = errors.New("controller has no running process")

// handover is a cluster of one controller, whose program is changed under load.
type handover struct {
	cluster *testcluster.Cluster
	member  *testcluster.Member
	passed  bool // no check has failed
}

// fail prints why a check failed and marks the hand-over as failed.
func (h *handover) fail(reason ...any) {
	fmt.Println(append([]any{"FAILED: hand-over:"}, reason...)...)
	h.passed = false
}

// checkHandover changes the program of a controller under load, first with a new process that takes over from the old
// one, then for comparison by SIGTERM and a restart. It prints the figures and reports whether all checks passed.
func checkHandover(base, next string) bool {
	h := &handover{passed: true}
	cluster, err := testcluster.Config{Program: base, Seed: handoverSeed, Controllers: 1, Engines: handoverEngines}.Start()
	if err != nil {
		h.fail(err)
		return false
	}
	defer cluster.Close()
	h.cluster = cluster
	h.member = cluster.Members[0]
	load := cluster.StartLoad(handoverSeed, handoverClients, handoverPause, false)
	time.Sleep(steadyLoadTime)
	marks := []time.Time{time.Now()}
	if err := h.switchBeside(base, next); err != nil {
		h.fail(err)
		return false
	}
	brokenBeside := load.Broken.Load()
	marks = append(marks, time.Now())
	if err := h.switchByRestart(); err != nil {
		h.fail(err)
		return false
	}
	marks = append(marks, time.Now())
	load.Stop()
	broken := []int64{brokenBeside, load.Broken.Load() - brokenBeside}
	if err := cluster.Stop(); err != nil {
		h.fail(err)
	}
	log := cluster.Events.Entries()
	for _, v := range rulecheck.Check(testcluster.Rules, log) {
		h.fail(v)
	}
	h.printFigures(log, marks, broken)
	return h.passed
}

// printFigures prints the figures of both ways, delimited by the marks, and checks those of the first.
func (h *handover) printFigures(log []rulecheck.Entry, marks []time.Time, broken []int64) {
	fmt.Printf("hand-over of the program, one controller, %d switches each way:\n", handoverSwitches)
	for i, name := range []string{"beside the old one", "SIGTERM and a new start"} {
		f := figuresOf(log, marks[i], marks[i+1])
		fmt.Println(f.line(name, broken[i]))
		isBeside := i == 0
		if isBeside && (f.gapMS > maxGapMS || f.done < minDone) {
			fmt.Println("FAILED: a gap of over 500 ms, or under 99% done")
			h.passed = false
		}
	}
}

// switchBeside orders another program several times, as a coordinator does.
func (h *handover) switchBeside(base, next string) error {
	for i := range handoverSwitches {
		status, err := h.cluster.Status(h.member)
		if err != nil {
			return err
		}
		program := []string{next, base}[i%2]
		if err := h.cluster.OrderProgram(h.member, orderFence(int64(i)+1), program); err != nil {
			return err
		}
		h.awaitServing(func(pid, draining int) bool { return pid != status.PID && draining == 0 })
		time.Sleep(steadyLoadTime)
	}
	return nil
}

// switchByRestart terminates the controller several times. Its supervisor restarts it.
func (h *handover) switchByRestart() error {
	for range handoverSwitches {
		status, err := h.cluster.Status(h.member)
		if err != nil {
			return err
		}
		if status.PID == 0 {
			return errNotRunning
		}
		_ = syscall.Kill(status.PID, syscall.SIGTERM) // if it has already exited, it is restarted as well
		h.awaitServing(func(pid, _ int) bool { return pid != status.PID })
		time.Sleep(steadyLoadTime)
	}
	return nil
}

// awaitServing waits until the controller serves and isWanted accepts its process and number of draining processes.
func (h *handover) awaitServing(isWanted func(pid, draining int) bool) {
	err := h.cluster.WaitUntil(awaitTimeout, func() bool {
		status, err := h.cluster.Status(h.member)
		return err == nil && status.Serving && isWanted(status.PID, len(status.DrainingPIDs))
	})
	if err != nil {
		h.fail(err, h.member.Supervisor.Log())
	}
}

// orderFence returns the fence of an order that is sent without a coordinator.
func orderFence(revision int64) change.Fence {
	return change.Fence{Number: 1, Term: 1, Revision: revision}
}

// figures describes the jobs that were answered in a period of time. Jobs with an ordering key are measured separately:
// in a new process they wait until the old one has exited.
type figures struct {
	perSecond  float64
	done       float64 // fraction of all answers
	p50MS      float64
	p99MS      float64
	gapMS      float64 // the longest time without an answer
	keyedP99MS float64
}

func (f figures) line(name string, broken int64) string {
	return fmt.Sprintf("  %-24s %4.0f jobs/s, done %.2f%%, p50 %.1f ms, p99 %.1f ms, longest time without an answer "+
		"%4.0f ms, cut off %d; with an ordered key p99 %.0f ms",
		name, f.perSecond, 100*f.done, f.p50MS, f.p99MS, f.gapMS, broken, f.keyedP99MS)
}

// figuresOf computes the figures of a period from a cluster's log. Without jobs both with and without a key, only the
// gap is set.
func figuresOf(log []rulecheck.Entry, from, to time.Time) figures {
	var f figures
	accepted := map[string]rulecheck.Entry{}
	lastNS := from.UnixNano()
	done := 0
	var plainMS, keyedMS []float64
	for _, e := range log {
		if e.Event == rulecheck.Accepted {
			accepted[e.Job] = e
		}
		isInSpan := e.TimeNS >= from.UnixNano() && e.TimeNS < to.UnixNano()
		if e.Event != rulecheck.Answered || !isInSpan {
			continue
		}
		latencyMS := milliseconds(e.TimeNS - accepted[e.Job].TimeNS)
		if accepted[e.Job].Key != "" {
			keyedMS = append(keyedMS, latencyMS)
		} else {
			plainMS = append(plainMS, latencyMS)
		}
		f.gapMS = max(f.gapMS, milliseconds(e.TimeNS-lastNS))
		lastNS = e.TimeNS
		if e.Answer == rulecheck.Done {
			done++
		}
	}
	if len(plainMS) == 0 || len(keyedMS) == 0 {
		return f
	}
	slices.Sort(plainMS)
	slices.Sort(keyedMS)
	jobs := float64(len(plainMS) + len(keyedMS))
	f.perSecond = jobs / to.Sub(from).Seconds()
	f.done = float64(done) / jobs
	f.p50MS = plainMS[len(plainMS)/2]
	f.p99MS = plainMS[len(plainMS)*99/100]
	f.keyedP99MS = keyedMS[len(keyedMS)*99/100]
	return f
}

func milliseconds(ns int64) float64 {
	return float64(ns) / 1e6
}

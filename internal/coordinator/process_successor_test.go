package coordinator_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/fake"
	"swiftreel/internal/operator"
	"swiftreel/internal/rulecheck"
	"swiftreel/internal/supervisor"
	"swiftreel/internal/testcluster"
)

// A key whose job still runs under the older process of a controller goes on under the newer one only once that is
// over.
func TestAKeyWaitsForThePredecessor(t *testing.T) {
	t.Parallel()
	w, err := testcluster.Config{Program: currentProgram, Seed: 1, Controllers: 1, Engines: 1}.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	m := w.Members[0]
	w.Faults.SetWorkDuration(6 * time.Second) // longer than a controller has to end that is not supervised
	began := func(job string) (n int) {
		for _, e := range w.Events.Entries() {
			if e.Job == job && e.Event == rulecheck.Began {
				n++
			}
		}
		return n
	}
	ready := func() (c *fake.Client) {
		waitUntil(t, w, "a process that is ready", func() bool {
			c, err = fake.Dial(m.ClientAddress)
			if err != nil {
				return false
			}
			is, err := c.Ready()
			return is && err == nil
		})
		return c
	}
	ask := func(c *fake.Client, job string) {
		w.Events.Add(
			rulecheck.Entry{
				Event:      rulecheck.Accepted,
				Job:        job,
				Type:       "import",
				Key:        "k",
				Front:      m.Name,
				DeadlineNS: time.Now().Add(8 * time.Second).UnixNano(),
			},
		)
		fields := []string{"call", job, "ttl", "8000", "org", "acme", "work", "4", "est_mb", "8", "row", "k"}
		if _, err := c.Send("import", "SELECT 1 FROM a_1.b", fields...); err != nil {
			t.Fatal(err)
		}
	}
	answer := func(c *fake.Client, job string) {
		t.Helper()
		a, err := c.Read(20 * time.Second)
		if err != nil || a.Error != "" {
			t.Errorf("%s: %+v %v", job, a, err)
		}
		w.Events.Add(rulecheck.Entry{Event: rulecheck.Answered, Job: job, Answer: rulecheck.Done})
	}
	first, second := "0000000000000001", "0000000000000002"
	a := ready()
	ask(a, first)
	waitUntil(t, w, "the first begins", func() bool { return began(first) == 1 })
	was, err := w.Status(m)
	if err != nil {
		t.Fatal(err)
	}
	sendOrder(t, m, was, otherProgram)
	waitUntil(t, w, "the other program serves", func() bool {
		s, err := w.Status(m)
		return err == nil && s.Version == "other" && s.Serving && len(s.DrainingPIDs) == 1
	})
	if !strings.Contains(m.Supervisor.Log(), "msg=state_restored types=2") {
		t.Error("the newer one is not taught")
	}
	w.Faults.SetWorkDuration(4 * time.Millisecond)
	b := ready()
	ask(b, second)
	answer(a, first)
	answer(b, second)
	waitUntil(t, w, "the older one has ended", func() bool {
		s, err := w.Status(m)
		return err == nil && len(s.DrainingPIDs) == 0
	})
	a.Conn.Close()
	b.Conn.Close()
	if err := w.Stop(); err != nil {
		t.Error(err)
	}
	if began(second) != 1 {
		t.Errorf("the second began %d times", began(second))
	}
	for _, v := range rulecheck.Check(testcluster.Rules, w.Events.Entries()) {
		t.Error(v)
	}
}

// sendOrder has a supervisor run another program, past any coordinator.
func sendOrder(t *testing.T, m *testcluster.Member, was supervisor.Status, path string) {
	t.Helper()
	want := was.Spec
	want.Program.Path = path
	var err error
	if want.Program.Digest, err = change.FileDigest(path); err != nil {
		t.Fatal(err)
	}
	fleet := coordinator.NewFleetClient(
		[]operator.Member{{Name: m.Name, Listen: m.SupervisorAddress}},
		2*time.Second,
		2*time.Second,
	)
	order := change.Order{Format: 1, CoordinatorID: "x", Member: m.Name, Spec: want}
	order.Fence = change.Fence{Number: 1, Term: 1, Revision: 1}
	if errs := fleet.SendOrders(context.Background(), map[int]change.Order{0: order}); len(errs) > 0 {
		t.Fatal(errs)
	}
}

// An engine just started while an older and a newer process of one controller live: together they keep rule 4.
func TestAStartingEngineIsSparedByBothProcesses(t *testing.T) {
	t.Parallel()
	w, err := testcluster.Config{
		Program: currentProgram, Seed: 10, Controllers: 1, Engines: 2, EnginesWarmUp: true,
	}.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	w.Faults.SetWorkDuration(120 * time.Millisecond)
	l := w.StartLoad(10, 60, 10*time.Millisecond, false)
	m := w.Members[0]
	waitUntil(t, w, "jobs are done", func() bool { return l.Done.Load() > 200 })
	s, err := w.Status(m)
	if err != nil {
		t.Fatal(err)
	}
	w.ListRestarted("e2")
	sendOrder(t, m, s, otherProgram)
	waitUntil(t, w, "both live", func() bool {
		s, err := w.Status(m)
		return err == nil && s.Version == "other" && len(s.DrainingPIDs) == 1
	})
	w.ListRestarted("e2") // once more, while they do
	waitUntil(t, w, "the older one has ended", func() bool {
		s, err := w.Status(m)
		return err == nil && len(s.DrainingPIDs) == 0
	})
	cold := func() (n int) {
		started := int64(0)
		for _, e := range w.Events.Entries() {
			if e.Event == rulecheck.Listed && e.Engine == "e2" {
				started = e.Started
			}
			if e.Event == rulecheck.Began && e.Engine == "e2" && started != 0 &&
				e.TimeNS < started+testcluster.WarmUpRules().WarmUp {
				n++
			}
		}
		return n
	}
	was := cold()
	waitUntil(t, w, "the cold engine is given work by the newer one", func() bool { return cold() > was+5 })
	l.Stop()
	if err := w.Stop(); err != nil {
		t.Error(err)
	}
	for _, v := range rulecheck.Check(testcluster.WarmUpRules(), w.Events.Entries()) {
		t.Error(v)
	}
	tight := testcluster.WarmUpRules()
	tight.WarmUpWorkPerCore /= 100
	if !slices.ContainsFunc(
		rulecheck.Check(tight, w.Events.Entries()),
		func(v rulecheck.Violation) bool { return v.Rule == 4 },
	) {
		t.Error("so little was sent to it that nothing is shown")
	}
}

// What the older process has learned of engines goes over: one that it set aside is aside for the newer one from its
// start.
func TestAnEjectedEngineIsEjectedForTheSuccessor(t *testing.T) {
	t.Parallel()
	w, err := testcluster.Config{Program: currentProgram, Seed: 11, Controllers: 1, Engines: 3}.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	l := w.StartLoad(11, 10, 10*time.Millisecond, false)
	m := w.Members[0]
	w.Faults.SetFailing("e2", true)
	var was supervisor.Status
	waitUntil(t, w, "it is set aside", func() bool {
		was, err = w.Status(m)
		return err == nil && was.EjectedEngines == 1
	})
	broken := func() (n int) {
		for _, e := range w.Events.Entries() {
			if e.Event == rulecheck.Began && e.Engine == "e2" {
				n++
			}
		}
		return n
	}
	l.Stop() // no job of the older one's is to count below
	sendOrder(t, m, was, otherProgram)
	waitUntil(t, w, "the newer one serves", func() bool {
		s, err := w.Status(m)
		return err == nil && s.Version == "other" && s.Serving
	})
	if s, err := w.Status(m); err != nil || s.EjectedEngines != 1 ||
		!strings.Contains(m.Supervisor.Log(), "msg=state_restored types=2 engines=3") {
		t.Errorf("%d aside, %v: %s", s.EjectedEngines, err, m.Supervisor.Log())
	}
	before := broken()
	l = w.StartLoad(12, 10, 10*time.Millisecond, false)
	waitUntil(t, w, "jobs are done", func() bool { return l.Done.Load() > 100 })
	if n := broken() - before; n > 0 {
		t.Errorf("%d jobs were sent to it", n)
	}
	stopAndCheckRules(t, w, l)
}

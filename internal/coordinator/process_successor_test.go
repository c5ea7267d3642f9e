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

// While a job of a key still runs under the draining process of a controller, the new process does not start a further
// job of that key.
func TestAKeyWaitsForThePredecessor(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, testcluster.Config{Program: currentProgram, Seed: 1, Controllers: 1, Engines: 1})
	m := cluster.Members[0]
	cluster.Faults.SetWorkDuration(6 * time.Second) // longer than the time that an unsupervised controller has to stop
	began := func(job string) (n int) {
		for _, e := range cluster.Events.Entries() {
			if e.Job == job && e.Event == rulecheck.Began {
				n++
			}
		}
		return n
	}
	ready := func() (c *fake.Client) {
		waitUntil(t, cluster, "a process that is ready", func() bool {
			var err error
			if c, err = fake.Dial(m.ClientAddress); err != nil {
				return false
			}
			is, err := c.Ready()
			return is && err == nil
		})
		return c
	}
	sendJob := func(c *fake.Client, job string) {
		cluster.Events.Add(
			rulecheck.Entry{
				Event:      rulecheck.Accepted,
				Job:        job,
				Type:       "import",
				Key:        "k",
				OrderScope: m.Name,
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
		cluster.Events.Add(rulecheck.Entry{Event: rulecheck.Answered, Job: job, Answer: rulecheck.Done})
	}
	first, second := "0000000000000001", "0000000000000002"
	a := ready()
	sendJob(a, first)
	waitUntil(t, cluster, "the first begins", func() bool { return began(first) == 1 })
	was, err := cluster.Status(m)
	if err != nil {
		t.Fatal(err)
	}
	sendOrder(t, m, was, otherProgram)
	waitUntil(t, cluster, "the other program serves", func() bool {
		s, err := cluster.Status(m)
		return err == nil && s.Version == "other" && s.Serving && len(s.DrainingPIDs) == 1
	})
	if !strings.Contains(m.Supervisor.Log(), "msg=state_restored types=2") {
		t.Error("the new process has not received the predecessor's state")
	}
	cluster.Faults.SetWorkDuration(4 * time.Millisecond)
	b := ready()
	sendJob(b, second)
	answer(a, first)
	answer(b, second)
	waitUntil(t, cluster, "the old process has ended", func() bool {
		s, err := cluster.Status(m)
		return err == nil && len(s.DrainingPIDs) == 0
	})
	a.Conn.Close()
	b.Conn.Close()
	if err := cluster.Stop(); err != nil {
		t.Error(err)
	}
	if began(second) != 1 {
		t.Errorf("the second began %d times", began(second))
	}
	for _, v := range rulecheck.Check(testcluster.Rules, cluster.Events.Entries()) {
		t.Error(v)
	}
}

// sendOrder orders a supervisor to run another program, without a coordinator.
func sendOrder(t *testing.T, m *testcluster.Member, was supervisor.Status, path string) {
	t.Helper()
	want := was.Spec
	want.Program.Path = path
	var err error
	if want.Program.Digest, err = change.FileDigest(path); err != nil {
		t.Fatal(err)
	}
	sendSpec(t, m, want)
}

// sendSpec orders a supervisor to run a spec, without a coordinator.
func sendSpec(t *testing.T, m *testcluster.Member, want change.Spec) {
	t.Helper()
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

// An engine restarts while the old and the new process of a controller both run: together they keep rule 4, which
// limits the work on an engine that warms up.
func TestAStartingEngineIsSparedByBothProcesses(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, testcluster.Config{
		Program: currentProgram, Seed: 10, Controllers: 1, Engines: 2, EnginesWarmUp: true,
	})
	cluster.Faults.SetWorkDuration(120 * time.Millisecond)
	load := cluster.StartLoad(10, 60, 10*time.Millisecond, false)
	m := cluster.Members[0]
	waitUntil(t, cluster, "jobs are done", func() bool { return load.Done.Load() > 200 })
	s, err := cluster.Status(m)
	if err != nil {
		t.Fatal(err)
	}
	cluster.ListRestarted("e2")
	sendOrder(t, m, s, otherProgram)
	waitUntil(t, cluster, "both processes run", func() bool {
		s, err := cluster.Status(m)
		return err == nil && s.Version == "other" && len(s.DrainingPIDs) == 1
	})
	cluster.ListRestarted("e2") // again, while both run
	waitUntil(t, cluster, "the old process has ended", func() bool {
		s, err := cluster.Status(m)
		return err == nil && len(s.DrainingPIDs) == 0
	})
	coldJobs := func() (n int) {
		started := int64(0)
		for _, e := range cluster.Events.Entries() {
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
	was := coldJobs()
	waitUntil(t, cluster, "the new process sends work to the engine that warms up", func() bool {
		return coldJobs() > was+5
	})
	load.Stop()
	if err := cluster.Stop(); err != nil {
		t.Error(err)
	}
	for _, v := range rulecheck.Check(testcluster.WarmUpRules(), cluster.Events.Entries()) {
		t.Error(v)
	}
	tight := testcluster.WarmUpRules()
	tight.WarmUpWorkPerCore /= 100
	if !slices.ContainsFunc(
		rulecheck.Check(tight, cluster.Events.Entries()),
		func(v rulecheck.Violation) bool { return v.Rule == 4 },
	) {
		t.Error("too little work was sent to the engine for the check to be meaningful")
	}
}

// The state of engines is transferred between processes: an engine that the old process has ejected is ejected for the
// new process from its start.
func TestAnEjectedEngineIsEjectedForTheSuccessor(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, testcluster.Config{Program: currentProgram, Seed: 11, Controllers: 1, Engines: 3})
	load := cluster.StartLoad(11, 10, 10*time.Millisecond, false)
	m := cluster.Members[0]
	cluster.Faults.SetFailing("e2", true)
	var was supervisor.Status
	waitUntil(t, cluster, "the engine is ejected", func() bool {
		was = statusOf(t, cluster)
		return was.EjectedEngines == 1
	})
	broken := func() (n int) {
		for _, e := range cluster.Events.Entries() {
			if e.Event == rulecheck.Began && e.Engine == "e2" {
				n++
			}
		}
		return n
	}
	load.Stop() // so that no job of the old process counts below
	sendOrder(t, m, was, otherProgram)
	waitUntil(t, cluster, "the new process serves", func() bool {
		s, err := cluster.Status(m)
		return err == nil && s.Version == "other" && s.Serving
	})
	if s, err := cluster.Status(m); err != nil || s.EjectedEngines != 1 ||
		!strings.Contains(m.Supervisor.Log(), "msg=state_restored types=2 engines=3") {
		t.Errorf("%d ejected, %v: %s", s.EjectedEngines, err, m.Supervisor.Log())
	}
	before := broken()
	load = cluster.StartLoad(12, 10, 10*time.Millisecond, false)
	waitUntil(t, cluster, "jobs are done", func() bool { return load.Done.Load() > 100 })
	if n := broken() - before; n > 0 {
		t.Errorf("%d jobs were sent to the ejected engine", n)
	}
	stopAndCheckRules(t, cluster, load)
}

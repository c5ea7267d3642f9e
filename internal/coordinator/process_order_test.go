package coordinator_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/fake"
	"swiftreel/internal/rulecheck"
	"swiftreel/internal/supervisor"
	"swiftreel/internal/testcluster"
)

const (
	writtenKeys     = 12
	importTTL       = 8 * time.Second
	afterNewConn    = 250 * time.Millisecond // clients keep this distance after a job of a key on a new connection
	betweenImports  = 60 * time.Millisecond  // and this one otherwise
	importsObserved = 60                     // imports done that show that a state lasts
	stopTime        = time.Second            // of a process: several imports of each key then lie unread
)

// keyWriters are clients that send imports of the same keys over new and over kept connections by turns, so that two
// processes on one address both get jobs of a key.
type keyWriters struct {
	cluster *testcluster.Cluster
	member  *testcluster.Member
	lastJob atomic.Int64
	stop    chan struct{}
	clients sync.WaitGroup

	done, throttled, failed, broken atomic.Int64
}

func startKeyWriters(cluster *testcluster.Cluster) *keyWriters {
	w := &keyWriters{cluster: cluster, member: cluster.Members[0], stop: make(chan struct{})}
	for i := range writtenKeys {
		w.clients.Go(func() { w.write(fmt.Sprint("key", i)) })
	}
	return w
}

func (w *keyWriters) write(key string) {
	var kept *fake.Client
	defer func() {
		if kept != nil {
			_ = kept.Conn.Close() // the answers have been read
		}
	}()
	for !w.stopped() {
		if kept == nil || kept.IsClosed() {
			kept = w.connect(kept)
			<-w.send(kept, key, afterNewConn)
			continue
		}
		fresh := w.connect(nil)
		first := w.send(fresh, key, afterNewConn)
		second := first
		if !kept.IsClosed() {
			second = w.send(kept, key, betweenImports)
		}
		<-first
		<-second
		_ = fresh.Conn.Close() // its answer has been read
	}
}

func (w *keyWriters) stopped() bool {
	select {
	case <-w.stop:
		return true
	default:
		return false
	}
}

// connect closes a former connection and opens a new one.
func (w *keyWriters) connect(former *fake.Client) *fake.Client {
	if former != nil {
		_ = former.Conn.Close() // it ended
	}
	for {
		if conn, err := fake.Dial(w.member.ClientAddress); err == nil {
			return conn
		}
		time.Sleep(time.Millisecond)
	}
}

// send sends an import of a key, keeps the distance to the next one, and returns a channel that is closed once the
// import has ended.
func (w *keyWriters) send(conn *fake.Client, key string, distance time.Duration) (ended chan struct{}) {
	ended = make(chan struct{})
	job := fmt.Sprintf("%016x", w.lastJob.Add(1))
	w.cluster.Events.Add(rulecheck.Entry{Event: rulecheck.Accepted, Job: job, Type: "import", Key: key,
		OrderScope: w.member.Name, DeadlineNS: time.Now().Add(importTTL).UnixNano()})
	_, err := conn.Send("import", "SELECT 1 FROM a_1.b", "call", job, "ttl", fmt.Sprint(importTTL.Milliseconds()),
		"org", "acme", "work", "4", "est_mb", "8", "row", key)
	go func() {
		defer close(ended)
		w.awaitAnswer(conn, job, err)
	}()
	time.Sleep(distance)
	return ended
}

func (w *keyWriters) awaitAnswer(conn *fake.Client, job string, sendErr error) {
	answer, err := conn.Read(importTTL + time.Second)
	entry := rulecheck.Entry{Event: rulecheck.Answered, Job: job}
	switch {
	case sendErr != nil || err != nil:
		w.broken.Add(1)
		entry.Event = rulecheck.ClientLeft
	case answer.Error == "":
		w.done.Add(1)
		entry.Answer = rulecheck.Done
	case answer.Error == "Overloaded":
		w.throttled.Add(1)
		entry.Answer = rulecheck.Throttled
	default:
		w.failed.Add(1)
		entry.Answer = rulecheck.Cancelled
	}
	w.cluster.Events.Add(entry)
}

// awaitMoreDone waits until importsObserved further imports are done.
func (w *keyWriters) awaitMoreDone(t *testing.T) {
	t.Helper()
	before := w.done.Load()
	waitUntil(t, w.cluster, "imports are done", func() bool { return w.done.Load() >= before+importsObserved })
}

// finish stops the clients and the cluster, and checks what happened against the rules.
func (w *keyWriters) finish(t *testing.T) {
	t.Helper()
	w.awaitMoreDone(t)
	close(w.stop)
	w.clients.Wait()
	if err := w.cluster.Stop(); err != nil {
		t.Error(err)
	}
	checkOrderAtEngines(t, w.cluster.Events.Entries())
	rules := testcluster.Rules
	rules.Types = maps.Clone(rules.Types)
	rules.Types["import"] = rulecheck.Type{Effect: rulecheck.RunOnce} // the order is checked above
	for _, v := range rulecheck.Check(rules, w.cluster.Events.Entries()) {
		t.Error(v)
	}
	t.Logf("imports: %d done, %d throttled, %d failed, %d broken", w.done.Load(), w.throttled.Load(), w.failed.Load(),
		w.broken.Load())
	if t.Failed() {
		t.Log(w.member.Supervisor.Log())
	}
}

// checkOrderAtEngines checks that the jobs of each key ran one at a time and in the order in which they were sent.
// rulecheck also wants an answer to have been read before the next job begins; clients on two connections read answers
// some microseconds later than engines get the next job.
func checkOrderAtEngines(t *testing.T, entries []rulecheck.Entry) {
	t.Helper()
	sent := map[string]rulecheck.Entry{}      // by job
	running := map[string]string{}            // job by key
	lastBegan := map[string]rulecheck.Entry{} // as sent, by key
	for _, entry := range entries {
		switch entry.Event {
		case rulecheck.Accepted:
			sent[entry.Job] = entry
		case rulecheck.Began:
			job := sent[entry.Job]
			if other := running[job.Key]; other != "" {
				t.Errorf("job %s of %s begins while job %s runs", job.Job, job.Key, other)
			}
			if last := lastBegan[job.Key]; last.TimeNS > job.TimeNS {
				t.Errorf("job %s of %s begins after job %s, which was sent later", job.Job, job.Key, last.Job)
			}
			running[job.Key] = job.Job
			lastBegan[job.Key] = job
		case rulecheck.Ended:
			running[sent[entry.Job].Key] = ""
		default:
		}
	}
}

// requireAdmittedServed fails the test if an import that was admitted was throttled or cancelled. A process that stops
// admits no calls after a while (calls_after_stop), whatever their keys.
func (w *keyWriters) requireAdmittedServed(t *testing.T) {
	t.Helper()
	log := w.member.Supervisor.Log()
	if strings.Contains(log, "jobs_throttled_") || w.failed.Load() > 0 {
		t.Errorf("%d imports were throttled, %d failed: %s", w.throttled.Load(), w.failed.Load(), log)
	}
}

// startOrderTest starts a cluster of one controller with clients of ordered keys.
func startOrderTest(t *testing.T) (*testcluster.Cluster, *keyWriters) {
	t.Helper()
	t.Parallel()
	cluster := startCluster(t, testcluster.Config{Program: currentProgram, Seed: 20, Controllers: 1, Engines: 2})
	cluster.Faults.SetWorkDuration(30 * time.Millisecond)
	writers := startKeyWriters(cluster)
	writers.awaitMoreDone(t)
	return cluster, writers
}

func statusOf(t *testing.T, cluster *testcluster.Cluster) supervisor.Status {
	t.Helper()
	var status supervisor.Status
	waitUntil(t, cluster, "a status", func() (answered bool) {
		var err error
		status, err = cluster.Status(cluster.Members[0])
		return err == nil
	})
	return status
}

// orderProgram orders the first member to run a program, as the given change of the fleet.
func orderProgram(t *testing.T, cluster *testcluster.Cluster, number int64, path string) {
	t.Helper()
	fence := change.Fence{Number: number, Term: 1, Revision: 1}
	if err := cluster.OrderProgram(cluster.Members[0], fence, path); err != nil {
		t.Fatal(err)
	}
}

// awaitOnly waits until the first member runs only one process, which is of the given version.
func awaitOnly(t *testing.T, cluster *testcluster.Cluster, version string) {
	t.Helper()
	waitUntil(t, cluster, "only "+version+" runs", func() bool {
		s, err := cluster.Status(cluster.Members[0])
		return err == nil && s.Version == version && s.Serving && len(s.DrainingPIDs) == 0
	})
}

// awaitNextProcess waits until the supervisor of the first member has started a process beside the one with the given
// ID, and returns the ID of the new one.
func awaitNextProcess(t *testing.T, cluster *testcluster.Cluster, current int) (next int) {
	t.Helper()
	parent := cluster.Members[0].Supervisor.Pid()
	waitUntil(t, cluster, "a next process", func() bool {
		lists, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", parent))
		if err != nil {
			t.Fatal(err)
		}
		for _, list := range lists {
			text, _ := os.ReadFile(list) // the thread may have ended
			for child := range strings.FieldsSeq(string(text)) {
				if pid, _ := strconv.Atoi(child); pid != current {
					next = pid
				}
			}
		}
		return next != 0
	})
	return next
}

// Guards against imports of a key that overtake each other, or wait for keys that they do not share, while the old and
// the new program both take jobs (review/1).
func TestImportsKeepTheirOrderInAChangeOfTheProgram(t *testing.T) {
	cluster, writers := startOrderTest(t)
	orderProgram(t, cluster, 1, otherProgram)
	awaitOnly(t, cluster, "other")
	writers.finish(t)
	writers.requireAdmittedServed(t)
}

// Guards against a predecessor that does not order its jobs again after the next process has died unpromoted.
func TestImportsKeepTheirOrderIfTheNextProcessDies(t *testing.T) {
	cluster, writers := startOrderTest(t)
	old := statusOf(t, cluster)
	orderProgram(t, cluster, 1, otherProgram)
	next := awaitNextProcess(t, cluster, old.PID)
	keeper := cluster.Members[0].Supervisor
	keeper.Signal(syscall.SIGSTOP) // so that it does not promote the process
	writers.awaitMoreDone(t)
	signalProcess(t, next, syscall.SIGKILL)
	writers.awaitMoreDone(t)
	keeper.Signal(syscall.SIGCONT)
	awaitOnly(t, cluster, "other")
	writers.finish(t)
}

// Guards against a next process that is discarded after it has taken jobs.
func TestImportsKeepTheirOrderIfTheNextProcessIsDiscarded(t *testing.T) {
	cluster, writers := startOrderTest(t)
	old := statusOf(t, cluster)
	orderProgram(t, cluster, 1, otherProgram)
	awaitNextProcess(t, cluster, old.PID)
	keeper := cluster.Members[0].Supervisor
	keeper.Signal(syscall.SIGSTOP)
	writers.awaitMoreDone(t)
	keeper.Signal(syscall.SIGCONT)
	orderProgram(t, cluster, 2, currentProgram)
	awaitOnly(t, cluster, old.Version)
	writers.finish(t)
}

// Guards against a state of the first handover that is left in the second: a change, its rollback and the change again.
func TestImportsKeepTheirOrderInChangesInARow(t *testing.T) {
	cluster, writers := startOrderTest(t)
	first := statusOf(t, cluster).Version
	for i, path := range []string{otherProgram, currentProgram, otherProgram} {
		orderProgram(t, cluster, int64(i+1), path)
		version := map[string]string{currentProgram: first, otherProgram: "other"}[path]
		waitUntil(t, cluster, "the ordered program serves", func() bool {
			s, err := cluster.Status(cluster.Members[0])
			return err == nil && s.Version == version && s.Serving
		})
	}
	awaitOnly(t, cluster, "other")
	writers.finish(t)
	writers.requireAdmittedServed(t)
}

// Guards against a change of settings that disturbs the order of keys: one process serves throughout.
func TestImportsKeepTheirOrderInAChangeOfSettings(t *testing.T) {
	cluster, writers := startOrderTest(t)
	before := statusOf(t, cluster)
	spec := before.Spec
	spec.Topology = json.RawMessage(`{"budget_free":7}`)
	sendSpec(t, cluster.Members[0], spec)
	waitUntil(t, cluster, "the settings are in force", func() bool {
		return statusOf(t, cluster).RunningSpec == spec.Digest()
	})
	if now := statusOf(t, cluster).PID; now != before.PID {
		t.Errorf("process %d serves in place of %d", now, before.PID)
	}
	writers.finish(t)
	writers.requireAdmittedServed(t)
}

// Guards against imports of a key that lay unread while their process was stopped, and run in another order.
func TestImportsKeepTheirOrderIfTheirProcessWasStopped(t *testing.T) {
	cluster, writers := startOrderTest(t)
	pid := statusOf(t, cluster).PID
	for range 3 {
		stopFor(t, pid, stopTime)
		writers.awaitMoreDone(t)
	}
	writers.finish(t)
	writers.requireAdmittedServed(t)
}

// Guards against a predecessor that was stopped through the handover, and dispatches what it finds when it goes on.
func TestImportsKeepTheirOrderIfThePredecessorWasStopped(t *testing.T) {
	cluster, writers := startOrderTest(t)
	old := statusOf(t, cluster)
	signalProcess(t, old.PID, syscall.SIGSTOP)
	orderProgram(t, cluster, 1, otherProgram)
	awaitPromotion(t, cluster)
	signalProcess(t, old.PID, syscall.SIGCONT)
	awaitOnly(t, cluster, "other")
	writers.finish(t)
}

// Guards against processes that were stopped while both admitted jobs: first the predecessor, in the next change the
// successor.
func TestImportsKeepTheirOrderIfOneOfBothProcessesIsStopped(t *testing.T) {
	cluster, writers := startOrderTest(t)
	first := statusOf(t, cluster)
	orderProgram(t, cluster, 1, otherProgram)
	awaitPromotion(t, cluster)
	stopFor(t, first.PID, stopTime)
	awaitOnly(t, cluster, "other")
	writers.awaitMoreDone(t)
	orderProgram(t, cluster, 2, currentProgram)
	next := awaitNextProcess(t, cluster, statusOf(t, cluster).PID)
	waitUntil(t, cluster, "the next process serves", func() bool { return statusOf(t, cluster).PID == next })
	stopFor(t, next, stopTime)
	awaitOnly(t, cluster, first.Version)
	writers.finish(t)
}

// awaitPromotion waits until the first member's controller runs the other program.
func awaitPromotion(t *testing.T, cluster *testcluster.Cluster) {
	t.Helper()
	waitUntil(t, cluster, "the next process serves", func() bool {
		s, err := cluster.Status(cluster.Members[0])
		return err == nil && s.Version == "other" && s.Serving
	})
}

// stopFor stops a process for a while.
func stopFor(t *testing.T, pid int, duration time.Duration) {
	t.Helper()
	signalProcess(t, pid, syscall.SIGSTOP)
	time.Sleep(duration)
	signalProcess(t, pid, syscall.SIGCONT)
}

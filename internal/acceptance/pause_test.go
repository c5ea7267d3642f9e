package acceptance

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"swiftreel/internal/fake"
)

const (
	pauseRounds    = 30
	pauseLength    = 400 * time.Millisecond // longer than the drain grace period
	pausedClients  = 12
	callsPerClient = 3
)

// A controller is paused (SIGSTOP) for longer than the drain grace period. Meanwhile an engine begins to drain, and
// calls arrive. When the process resumes, the readers of clients and of the feed wake up in any order. The failure: a
// call that is read first is dispatched to the draining engine before the feed's line is read. In soaks with drains
// during pauses (seeds 8001 to 8003) such calls reached an engine 445 to 963 ms after it was listed as draining, a few
// milliseconds after a SIGCONT; in 12 of 12 calls the endpoint list was 1.23 s old, and the decision 9 to 197 us.
func TestNothingIsSentToAnEngineThatBeganToDrainInAPause(t *testing.T) {
	feed, err := fake.StartDiscovery("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(feed.Close)
	engines := []*recordingEngine{startEngine(t, time.Millisecond, false), startEngine(t, time.Millisecond, false)}
	entry := func(index int, state string) string {
		return endpoint(fmt.Sprint("e", index), engines[index].Address(), state, 0)
	}
	feed.AddEvent(true, "["+entry(0, "ready")+","+entry(1, "ready")+"]")
	c := newController(t, 1, 0)
	c.writeConfig(feed.Address())
	c.start()
	waitFor(t, "not ready", c.ready)
	var clients []*fake.Client
	for range pausedClients {
		clients = append(clients, c.dial(t))
	}
	calls := 0
	sendAll := func() {
		for _, client := range clients {
			for range callsPerClient {
				calls++
				sendJob(t, client, jobID(calls), 1)
			}
		}
	}
	answerAll := func() {
		for _, client := range clients {
			for range callsPerClient {
				if _, err := client.Read(answerTimeout); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	for round := range pauseRounds {
		drains := round % len(engines)
		sendAll()
		answerAll() // opens connections to both engines, which stay open
		c.Signal(syscall.SIGSTOP)
		feed.AddEvent(false, "["+entry(drains, "draining")+"]")
		sendAll()
		time.Sleep(pauseLength)
		before := len(engines[drains].dispatches())
		resumedAt := time.Now()
		c.Signal(syscall.SIGCONT)
		answerAll()
		if sent := engines[drains].dispatches()[before:]; len(sent) > 0 {
			t.Errorf("round %d: %d calls reach an engine that has been draining for %v", round, len(sent), pauseLength)
			logLateCalls(t, c, sent, resumedAt)
		}
		feed.AddEvent(false, "["+entry(drains, "ready")+"]")
	}
}

// logLateCalls logs when calls arrived after the controller resumed, and the controller's log.
func logLateCalls(t *testing.T, c *controller, calls []dispatch, resumedAt time.Time) {
	t.Helper()
	for _, call := range calls {
		t.Logf("call %s arrived at %s, %v after the controller resumed", call.id, call.at, call.at.Sub(resumedAt))
	}
	t.Logf("log of the controller:\n%s", c.Log())
}

const (
	revocationRounds = 12
	waitingJobs      = 20
)

// A controller is paused while jobs wait for a full engine. Meanwhile their clients revoke them, and the engine answers
// its open dispatches. The failure: when the process resumes, it reads the engine's answers first and dispatches jobs
// that were revoked long before. In one soak (seed 8002, with drains during pauses) a call reached its engine right
// after a SIGCONT, 1.17 s after its client had revoked it and 22 us after the decision to dispatch it.
func TestNothingIsSentForClientsThatCancelledInAPause(t *testing.T) {
	e := startEngine(t, time.Millisecond, true)
	c := newController(t, 1, 0)
	c.writeConfig(freeAddress(t), listEvent(endpoint("e1", e.Address(), "ready", 0)))
	c.start()
	waitFor(t, "not ready", c.ready)
	fillingClient := c.dial(t)
	jobs := 0
	for round := range revocationRounds {
		for range jobsToFillEngine {
			jobs++
			sendJob(t, fillingClient, jobID(jobs), 1000)
		}
		_, _ = fillingClient.Ready() // the answer shows that the jobs were accepted
		cancels := map[*fake.Client]uint32{}
		cancelled := map[string]bool{}
		for range waitingJobs {
			client := c.dial(t)
			jobs++
			cancels[client] = sendJob(t, client, jobID(jobs), 1000)
			_, _ = client.Ready()
			cancelled[jobID(jobs)] = true
		}
		c.Signal(syscall.SIGSTOP)
		for client, id := range cancels {
			if err := client.Revoke(id); err != nil {
				t.Fatal(err)
			}
		}
		e.release()
		time.Sleep(pauseLength)
		before := len(e.dispatches()) // includes dispatches that were in transit when the pause began
		c.Signal(syscall.SIGCONT)
		for range jobsToFillEngine {
			if _, err := fillingClient.Read(answerTimeout); err != nil {
				t.Fatal(err)
			}
		}
		late := 0
		for _, d := range e.dispatches()[before:] {
			if cancelled[d.id] {
				late++
			}
		}
		if late > 0 {
			t.Errorf("round %d: %d jobs reach the engine %v after their clients have revoked them", round, late, pauseLength)
		}
		e.hold()
	}
}

const (
	// longPause is longer than the time after which a change counts as notified, whether or not the feed delivered it.
	longPause = 8 * time.Second
	// resumeTime is how long after a pause input still counts as sent during the pause. The controller resubscribes to
	// the feed later than that.
	resumeTime = 35 * time.Millisecond
)

// A controller is paused for longer than the time after which a change of its feed counts as notified. Meanwhile the
// feed's connection closes, and an engine begins to drain. Calls that arrive when the process resumes must wait until
// it has resubscribed to the feed: with the endpoint list from before the pause they would go to the draining engine.
func TestAfterALongPauseCallsWaitForTheFeed(t *testing.T) {
	feed, err := fake.StartDiscovery("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(feed.Close)
	drains, stays := startEngine(t, time.Millisecond, false), startEngine(t, time.Millisecond, false)
	other := endpoint("e2", stays.Address(), "ready", 0)
	feed.AddEvent(true, "["+endpoint("e1", drains.Address(), "ready", 0)+","+other+"]")
	c := newController(t, 1, 0)
	c.writeConfig(feed.Address())
	c.start()
	waitFor(t, "not ready", c.ready)
	var clients []*fake.Client
	for i := range pausedClients {
		client := c.dial(t)
		clients = append(clients, client)
		sendJob(t, client, jobID(1+i), 1)
		if _, err := client.Read(answerTimeout); err != nil {
			t.Fatal(err)
		}
	}
	c.Signal(syscall.SIGSTOP)
	feed.DropConnections()
	feed.AddEvent(false, "["+endpoint("e1", drains.Address(), "draining", 0)+"]")
	time.Sleep(longPause)
	before := len(drains.dispatches())
	c.Signal(syscall.SIGCONT)
	time.Sleep(resumeTime)
	for i, client := range clients {
		sendJob(t, client, jobID(1000+i), 1)
	}
	for _, client := range clients {
		answer, err := client.Read(answerTimeout)
		if err != nil {
			t.Fatal(err)
		}
		if answer.Error != "" {
			t.Errorf("answer %s, although an engine is ready", answer.Error)
		}
	}
	if sent := drains.dispatches()[before:]; len(sent) > 0 {
		t.Errorf("%d calls reach an engine that has been draining for %v", len(sent), longPause)
	}
}

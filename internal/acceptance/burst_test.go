package acceptance

import (
	"fmt"
	"net"
	"testing"
	"time"

	"swiftreel/internal/client"
	"swiftreel/internal/fake"
)

const (
	jobsToFillEngine = 26 // the capacity of an engine
	leavingClients   = 60
	firstLeavingJob  = 0xff0000
	bufferedMessages = 2000 // sent before a close, so that the controller does not see the close at once
	answerTimeout    = 20 * time.Second
)

func jobID(number int) string { return fmt.Sprintf("%016x", number) }

// Many clients leave at once while their jobs wait for a full engine, which then becomes free. None of their jobs may
// be dispatched, not even when the first leave frees the engine and the other leaves have not been read yet: the
// controller must check a job's client right before it sends the job.
func TestNothingIsSentForClientsThatLeftInABurst(t *testing.T) {
	for name, leave := range map[string]func(*fake.Client){
		"close": func(c *fake.Client) { c.Conn.Close() },
		"reset": func(c *fake.Client) { c.Conn.(*net.TCPConn).SetLinger(0); c.Conn.Close() },
		"revoke": func(c *fake.Client) {
			_ = c.Revoke(1)  // if the connection broke, the client has left too
			_, _ = c.Ready() // the answer shows that the revoke was read
		},
		"unread": leaveBehindBuffered,
	} {
		t.Run(name, func(t *testing.T) { leaveInABurst(t, leave) })
	}
}

// leaveBehindBuffered closes a connection after sending much input that the controller has not read yet.
func leaveBehindBuffered(c *fake.Client) {
	var text []byte
	for id := range uint32(bufferedMessages) {
		text = client.AppendHeartbeat(text, 10+id)
	}
	c.Conn.Write(text)
	c.Conn.(*net.TCPConn).CloseWrite()
}

func leaveInABurst(t *testing.T, leave func(*fake.Client)) {
	t.Helper()
	e := startEngine(t, time.Millisecond, true)
	c := newController(t, 1, 0)
	c.writeConfig(freeAddress(t), listEvent(endpoint("e1", e.Address(), "ready", 0)))
	c.start()
	waitFor(t, "not ready", c.ready)
	stayingClient := c.dial(t)
	for i := range jobsToFillEngine {
		sendJob(t, stayingClient, jobID(1+i), 1000)
	}
	var waiting []*fake.Client
	for i := range leavingClients {
		leavingClient := c.dial(t)
		sendJob(t, leavingClient, jobID(firstLeavingJob+i), 1000)
		_, _ = leavingClient.Ready() // the answer shows that the job was accepted
		waiting = append(waiting, leavingClient)
	}
	before := map[string]bool{}
	for _, d := range e.dispatches() {
		before[d.id] = true
	}
	if len(before) == jobsToFillEngine+leavingClients {
		t.Fatal("no job is waiting")
	}
	// Clients with dispatched jobs leave last, since their leave frees the engine for jobs of clients that have not left.
	for _, isDispatched := range []bool{false, true} {
		for i, leavingClient := range waiting {
			if before[jobID(firstLeavingJob+i)] == isDispatched {
				leave(leavingClient)
			}
		}
	}
	e.release()
	awaitAnswers(t, stayingClient, jobsToFillEngine) // by then all jobs that could be dispatched have been
	sendJob(t, stayingClient, jobID(0xee), 10)
	if a, err := stayingClient.Read(answerTimeout); err != nil || a.Error != "" {
		t.Fatal(a, err)
	}
	for _, d := range e.dispatches() {
		if !before[d.id] && d.id >= jobID(firstLeavingJob) {
			t.Errorf("job %s is dispatched although its client has left", d.id)
		}
	}
}

// awaitAnswers reads a number of answers, successful or not.
func awaitAnswers(t *testing.T, c *fake.Client, count int) {
	t.Helper()
	for range count {
		if _, err := c.Read(answerTimeout); err != nil {
			t.Fatal(err)
		}
	}
}

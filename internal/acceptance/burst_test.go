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
	jobsThatFill     = 26 // an engine takes no more at once
	clientsThatGo    = 60
	firstJobOfGoers  = 0xff0000
	bufferedMessages = 2000 // before a close, so that it is not seen at once
	answerTimeout    = 20 * time.Second
)

func jobID(number int) string { return fmt.Sprintf("%016x", number) }

// A hundred clients leave at once while their jobs wait for an engine that is full; then it is free again. Nothing of
// theirs is sent: what would go out in the moment of the first leave is looked at before it goes.
func TestNothingIsSentForClientsThatLeftInABurst(t *testing.T) {
	for name, leave := range map[string]func(*fake.Client){
		"close": func(c *fake.Client) { c.Conn.Close() },
		"reset": func(c *fake.Client) { c.Conn.(*net.TCPConn).SetLinger(0); c.Conn.Close() },
		"revoke": func(c *fake.Client) {
			_ = c.Revoke(1)  // a connection that broke has left too
			_, _ = c.Ready() // its answer shows that the revoke was read
		},
		"unread": leaveBehindBuffered,
	} {
		t.Run(name, func(t *testing.T) { leaveInABurst(t, leave) })
	}
}

// leaveBehindBuffered closes a connection behind much that the controller has not read yet.
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
	until(t, "not ready", c.ready)
	stays := c.dial(t)
	for i := range jobsThatFill {
		sendJob(t, stays, jobID(1+i), 1000)
	}
	var waiting []*fake.Client
	for i := range clientsThatGo {
		goes := c.dial(t)
		sendJob(t, goes, jobID(firstJobOfGoers+i), 1000)
		_, _ = goes.Ready() // its answer shows that the job was accepted
		waiting = append(waiting, goes)
	}
	before := map[string]bool{}
	for _, d := range e.dispatches() {
		before[d.id] = true
	}
	if len(before) == jobsThatFill+clientsThatGo {
		t.Fatal("nothing waits")
	}
	for _, isDispatched := range []bool{false, true} { // those that free the engine last: who has not left may be sent
		for i, goes := range waiting {
			if before[jobID(firstJobOfGoers+i)] == isDispatched {
				leave(goes)
			}
		}
	}
	e.release()
	awaitAnswers(t, stays, jobsThatFill) // then whatever could be sent has been
	sendJob(t, stays, jobID(0xee), 10)
	if a, err := stays.Read(answerTimeout); err != nil || a.Error != "" {
		t.Fatal(a, err)
	}
	for _, d := range e.dispatches() {
		if !before[d.id] && d.id >= jobID(firstJobOfGoers) {
			t.Errorf("%s is sent for a client that has left", d.id)
		}
	}
}

// awaitAnswers reads so many answers, whatever they are.
func awaitAnswers(t *testing.T, c *fake.Client, count int) {
	t.Helper()
	for range count {
		if _, err := c.Read(answerTimeout); err != nil {
			t.Fatal(err)
		}
	}
}

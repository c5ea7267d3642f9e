package acceptance

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"swiftreel/internal/client"
	"swiftreel/internal/fake"
)

const (
	idleClients = 400
	descriptors = 128
	minAnswered = 200 // of the 250 clients that send a heartbeat
	followLimit = 7 * time.Second
)

// Idle clients of all kinds fill the descriptors while discovery is down. It returns elsewhere: it is followed, a new
// engine is reached, new clients and those that stayed are served, and the process lives.
func TestIdleClientsFillTheDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	old := startEngine(t, time.Millisecond, false)
	added := startEngine(t, time.Millisecond, false)
	c := newController(t, 1, 0)
	c.descriptors = descriptors
	known := listEvent(endpoint("e1", old.Address(), "ready", 0))
	c.writeConfig(freeAddress(t), known) // nobody is there
	c.start()
	until(t, "not ready", c.ready)
	idle := fillDescriptors(t, c)
	discovery, err := fake.StartDiscovery("127.0.0.1:0", 2)
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	discovery.AddEvent(false, "["+endpoint("e2", added.Address(), "ready", 0)+
		","+endpoint("e1", old.Address(), "draining", 0)+"]")
	c.writeConfig(discovery.Address(), known)
	reloaded := time.Now()
	c.Signal(syscall.SIGHUP)
	until(t, "discovery is not followed where it moved", func() bool { return len(discovery.Subscriptions()) > 0 })
	if late := time.Since(reloaded); late > followLimit {
		t.Errorf("followed after %v", late)
	}
	until(t, "the new engine is not used", func() bool { return newClientIsServed(t, c) && len(added.dispatches()) > 0 })
	served, closed := useIdleClients(t, idle)
	t.Logf("%d of %d that rested are served, %d had made way", served, len(idle), closed)
	if served == 0 || c.Exited() {
		t.Errorf("%d served, ended: %v", served, c.Exited())
	}
}

// fillDescriptors connects clients of four kinds, and returns those that got an answer to a heartbeat and rest now.
func fillDescriptors(t *testing.T, target *controller) []*fake.Client {
	t.Helper()
	fields := []string{"call", "00000000000000aa", "ttl", "8000", "org", "one"}
	request := client.AppendCall(nil, 1, "look", fields, []byte("SELECT 1"))
	var idle []*fake.Client
	for i := range idleClients {
		one := target.dial(t)
		switch i % 8 {
		case 0: // sends nothing
		case 1:
			one.Conn.Write(request[:20])
		case 2: // sends much and goes
			sendMuchAndClose(one, i)
		default:
			if ready, err := one.Ready(); err == nil && ready {
				idle = append(idle, one)
			}
		}
	}
	if len(idle) < minAnswered {
		t.Errorf("only %d of 250 clients got an answer", len(idle))
	}
	return idle
}

func sendMuchAndClose(one *fake.Client, index int) {
	for id := range uint32(100) {
		fields := []string{"call", fmt.Sprintf("%08x%08x", index, id), "ttl", "100", "org", "one"}
		one.Conn.Write(client.AppendCall(nil, id, "look", fields, []byte("SELECT 1 FROM a_1.b")))
	}
	one.Conn.Close()
}

// newClientIsServed reports whether a job over a new connection is done.
func newClientIsServed(t *testing.T, c *controller) bool {
	t.Helper()
	one, err := fake.Dial(c.address)
	if err != nil {
		return false
	}
	defer one.Conn.Close()
	sendJob(t, one, jobID(int(time.Now().UnixNano())), 5)
	answer, err := one.Read(5 * time.Second)
	return err == nil && answer.Error == ""
}

// useIdleClients has each client that rested request a job. Those whose connection made way for others see its end;
// all others have to be served.
func useIdleClients(t *testing.T, idle []*fake.Client) (served, closed int) {
	t.Helper()
	for i, one := range idle {
		fields := []string{"call", fmt.Sprintf("dd%014x", i), "ttl", "8000", "org", "one", "work", "5"}
		if _, err := one.Send("look", "SELECT 1 FROM a_1.b", fields...); err != nil {
			closed++
			continue
		}
		answer, err := one.Read(8 * time.Second)
		switch {
		case err != nil:
			closed++
		case answer.Error == "":
			served++
		default:
			t.Errorf("%+v on a connection that rested", answer)
		}
	}
	return served, closed
}

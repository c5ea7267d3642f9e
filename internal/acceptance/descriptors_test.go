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
	idleClients         = 400
	descriptors         = 128
	minHeartbeatAnswers = 200 // of the 250 clients that send a heartbeat
	maxFollowTime       = 7 * time.Second
)

// Clients of several kinds use up the descriptors while discovery is down. Discovery comes back at another address. The
// controller must follow it, use a new engine, serve new clients and those that kept their connection, and not exit.
func TestIdleClientsFillTheDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	old := startEngine(t, time.Millisecond, false)
	added := startEngine(t, time.Millisecond, false)
	c := newController(t, 1, 0)
	c.descriptors = descriptors
	known := listEvent(endpoint("e1", old.Address(), "ready", 0))
	c.writeConfig(freeAddress(t), known) // nothing listens there
	c.start()
	waitFor(t, "not ready", c.ready)
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
	waitFor(t, "discovery is not followed at its new address", func() bool { return len(discovery.Subscriptions()) > 0 })
	if late := time.Since(reloaded); late > maxFollowTime {
		t.Errorf("followed after %v", late)
	}
	waitFor(t, "the new engine is not used", func() bool { return newClientIsServed(t, c) && len(added.dispatches()) > 0 })
	served, closed := useIdleClients(t, idle)
	t.Logf("%d of %d idle clients are served, connections of %d were closed", served, len(idle), closed)
	if served == 0 || c.Exited() {
		t.Errorf("%d idle clients served, process exited: %v", served, c.Exited())
	}
}

// fillDescriptors connects clients of four kinds, and returns the idle ones whose heartbeat was answered.
func fillDescriptors(t *testing.T, target *controller) []*fake.Client {
	t.Helper()
	fields := []string{"call", "00000000000000aa", "ttl", "8000", "org", "one"}
	request := client.AppendCall(nil, 1, "look", fields, []byte("SELECT 1"))
	var idle []*fake.Client
	for i := range idleClients {
		conn := target.dial(t)
		switch i % 8 {
		case 0: // sends nothing
		case 1:
			conn.Conn.Write(request[:20])
		case 2: // sends many calls and disconnects
			sendMuchAndClose(conn, i)
		default:
			if ready, err := conn.Ready(); err == nil && ready {
				idle = append(idle, conn)
			}
		}
	}
	if len(idle) < minHeartbeatAnswers {
		t.Errorf("only %d of 250 clients got an answer", len(idle))
	}
	return idle
}

func sendMuchAndClose(conn *fake.Client, index int) {
	for id := range uint32(100) {
		fields := []string{"call", fmt.Sprintf("%08x%08x", index, id), "ttl", "100", "org", "one"}
		conn.Conn.Write(client.AppendCall(nil, id, "look", fields, []byte("SELECT 1 FROM a_1.b")))
	}
	conn.Conn.Close()
}

// newClientIsServed reports whether a job over a new connection is done.
func newClientIsServed(t *testing.T, c *controller) bool {
	t.Helper()
	conn, err := fake.Dial(c.address)
	if err != nil {
		return false
	}
	defer conn.Conn.Close()
	sendJob(t, conn, jobID(int(time.Now().UnixNano())), 5)
	answer, err := conn.Read(5 * time.Second)
	return err == nil && answer.Error == ""
}

// useIdleClients requests a job with each idle client. Clients whose connection the controller closed for others see
// the close; all others must be served.
func useIdleClients(t *testing.T, idle []*fake.Client) (served, closed int) {
	t.Helper()
	for i, conn := range idle {
		fields := []string{"call", fmt.Sprintf("dd%014x", i), "ttl", "8000", "org", "one", "work", "5"}
		if _, err := conn.Send("look", "SELECT 1 FROM a_1.b", fields...); err != nil {
			closed++
			continue
		}
		answer, err := conn.Read(8 * time.Second)
		switch {
		case err != nil:
			closed++
		case answer.Error == "":
			served++
		default:
			t.Errorf("%+v on a connection that was idle", answer)
		}
	}
	return served, closed
}

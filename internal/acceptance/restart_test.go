package acceptance

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"swiftreel/internal/fake"
)

const (
	soonReady     = 10 * time.Second // nine in ten must be
	lastReady     = 30 * time.Second // all must be
	giveUpReady   = 40 * time.Second
	restartPause  = 20 * time.Millisecond // from one process that is ended to the next
	requestPause  = 50 * time.Millisecond
	requestAnswer = 2 * time.Second
)

// Twenty processes are killed at once, and then ended one by one under load, while discovery is down and the engines
// hang: nine in ten are ready within 10 s, all within 30 s.
func TestRestartsWithDiscoveryDownAndEnginesHanging(t *testing.T) {
	const fleet = 20
	hanging := []*recordingEngine{startEngine(t, 0, true), startEngine(t, 0, true)}
	silent, err := net.Listen("tcp", "127.0.0.1:0") // discovery accepts connections and sends nothing
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	known := listEvent(endpoint("e1", hanging[0].Address(), "ready", 0), endpoint("e2", hanging[1].Address(), "ready", 0))
	all := startFleet(t, fleet, silent.Addr().String(), known)
	done := make(chan struct{})
	var load sync.WaitGroup
	for i, c := range all {
		load.Go(func() { requestUntil(done, c.address, i, &load) })
	}
	checkRestarts(t, "killed", restartAll(all, 0, func(c *controller) { c.Kill() }))
	checkRestarts(t, "ended", restartAll(all, restartPause, func(c *controller) {
		c.Signal(syscall.SIGTERM)
		if err := c.WaitExit(); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
	}))
	close(done)
	load.Wait()
}

// requestUntil sends a job over a new connection again and again. Every second one is not waited for.
func requestUntil(done <-chan struct{}, address string, index int, load *sync.WaitGroup) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(requestPause):
		}
		one, err := fake.Dial(address)
		if err != nil {
			continue
		}
		fields := []string{"call", fmt.Sprintf("%08x%08x", index, n), "ttl", "1500", "org", "one", "work", "50"}
		_, _ = one.Send("look", "SELECT 1 FROM a_1.b", fields...) // its controller may end meanwhile
		if n%2 != 0 {
			one.Conn.Close()
			continue
		}
		load.Go(func() {
			_, _ = one.Read(requestAnswer) // likewise
			one.Conn.Close()
		})
	}
}

// restartAll ends each process in some way, one a pause after the other, and starts it again. It returns how long
// each took from its start until it was ready.
func restartAll(all []*controller, pause time.Duration, end func(*controller)) []time.Duration {
	took := make([]time.Duration, len(all))
	var restarts sync.WaitGroup
	for i, c := range all {
		restarts.Go(func() {
			end(c)
			start := time.Now()
			c.start()
			for !c.ready() && time.Since(start) < giveUpReady {
				time.Sleep(5 * time.Millisecond)
			}
			took[i] = time.Since(start)
		})
		time.Sleep(pause)
	}
	restarts.Wait()
	return took
}

func checkRestarts(t *testing.T, name string, took []time.Duration) {
	t.Helper()
	soon, last := 0, time.Duration(0)
	for _, d := range took {
		last = max(last, d)
		if d <= soonReady {
			soon++
		}
	}
	t.Logf("%s: %d of %d ready within 10 s, the last after %v", name, soon, len(took), last.Round(time.Millisecond))
	if soon < len(took)*9/10 || last > lastReady {
		t.Errorf("%s: %d of %d ready within 10 s, the last after %v", name, soon, len(took), last)
	}
}

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
	quickReadyTime  = 10 * time.Second // for nine in ten processes
	maxReadyTime    = 30 * time.Second // for all processes
	readyTimeout    = 40 * time.Second
	restartInterval = 20 * time.Millisecond // from the end of one process to that of the next
	requestInterval = 50 * time.Millisecond
	requestTimeout  = 2 * time.Second
)

// Under load, twenty processes are killed at once and later terminated one by one, and restarted each time, while
// discovery sends nothing and the engines hang. Nine in ten must be ready within 10 s, and all within 30 s.
func TestRestartsWithDiscoveryDownAndEnginesHanging(t *testing.T) {
	const fleet = 20
	hanging := []*recordingEngine{startEngine(t, 0, true), startEngine(t, 0, true)}
	silent, err := net.Listen("tcp", "127.0.0.1:0") // discovery that accepts connections and sends nothing
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
	checkRestarts(t, "ended", restartAll(all, restartInterval, func(c *controller) {
		c.Signal(syscall.SIGTERM)
		if err := c.WaitExit(); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
	}))
	close(done)
	load.Wait()
}

// requestUntil repeatedly requests a job over a new connection. It closes every second connection without waiting for
// the answer.
func requestUntil(done <-chan struct{}, address string, index int, load *sync.WaitGroup) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(requestInterval):
		}
		conn, err := fake.Dial(address)
		if err != nil {
			continue
		}
		fields := []string{"call", fmt.Sprintf("%08x%08x", index, n), "ttl", "1500", "org", "one", "work", "50"}
		_, _ = conn.Send("look", "SELECT 1 FROM a_1.b", fields...) // the controller may exit meanwhile
		if n%2 != 0 {
			conn.Conn.Close()
			continue
		}
		load.Go(func() {
			_, _ = conn.Read(requestTimeout) // likewise
			conn.Conn.Close()
		})
	}
}

// restartAll ends each process with end, with a pause between them, and restarts it. It returns the times from start
// to ready.
func restartAll(all []*controller, pause time.Duration, end func(*controller)) []time.Duration {
	took := make([]time.Duration, len(all))
	var restarts sync.WaitGroup
	for i, c := range all {
		restarts.Go(func() {
			end(c)
			start := time.Now()
			c.start()
			for !c.ready() && time.Since(start) < readyTimeout {
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
		if d <= quickReadyTime {
			soon++
		}
	}
	t.Logf("%s: %d of %d ready within 10 s, the last after %v", name, soon, len(took), last.Round(time.Millisecond))
	if soon < len(took)*9/10 || last > maxReadyTime {
		t.Errorf("%s: %d of %d ready within 10 s, the last after %v", name, soon, len(took), last)
	}
}

package acceptance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"swiftreel/internal/fake"
)

const (
	warmUpWork    = time.Second // work of each job
	lowRate       = 1.2         // jobs per second
	highRate      = 5           // jobs per second, at every fourth controller
	minDispatches = 5           // to the engine that warms up, so that it is used
)

// Twenty processes with uneven load share an engine that warms up. The sum of their dispatches in any window must stay
// within the engine's limit, and the engine must be used.
func TestAnEngineThatWarmsUpStandsUnderTwentyProcesses(t *testing.T) {
	const fleet = 20
	discovery, err := fake.StartDiscovery("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	warm := ""
	for i := range 3 {
		if i > 0 {
			warm += ","
		}
		warm += endpoint(fmt.Sprintf("e%d", i), startEngine(t, warmUpWork, false).Address(), "ready", 0)
	}
	known := discovery.AddEvent(true, "["+warm+"]")
	load := startUnevenLoad(t, startFleet(t, fleet, discovery.Address(), known))
	waitFor(t, "no load", func() bool { return load.served.Load() > 40 })
	e := startEngine(t, warmUpWork, false)
	started := time.Now()
	discovery.AddEvent(false, "["+endpoint("cold", e.Address(), "ready", started.UnixMilli())+"]")
	waitFor(t, "not warm", func() bool { return time.Since(started) > warmUpTime })
	load.stop()
	var times []time.Duration // times of dispatches during warm-up, since the engine's start
	for _, d := range e.dispatches() {
		if after := d.at.Sub(started); after < warmUpTime {
			times = append(times, after)
		}
	}
	utilization := maxUtilization(times)
	t.Logf("N=%.1f: %d calls in %v, at most %.2f of the limit in a window",
		windowLimitAtStart(), len(times), warmUpTime, utilization)
	if utilization > 1 || len(times) < minDispatches {
		t.Errorf("%d calls to the engine that warms up, at most %.2f of the limit in a window", len(times), utilization)
	}
}

// windowLimitAtStart returns how many dispatches an engine may get in a window right after its start.
func windowLimitAtStart() float64 {
	return overloadMultiple * startCapacity * engineCores * warmUpWindow.Seconds() / warmUpWork.Seconds()
}

// maxUtilization returns the maximum fraction of an engine's limit that dispatches reach in any window. dispatches are
// times since the engine's start. The limit includes a margin of two standard deviations of the count, plus a constant.
func maxUtilization(dispatches []time.Duration) float64 {
	utilization := 0.0
	for i, first := range dispatches {
		limit := windowLimitAtStart() * (1 + (1/startCapacity-1)*first.Seconds()/warmUpTime.Seconds())
		count := 0
		for _, at := range dispatches[i:] {
			if at-first < warmUpWindow {
				count++
			}
		}
		utilization = max(utilization, float64(count)/(limit+2*math.Sqrt(limit)+2))
	}
	return utilization
}

// unevenLoad is a load with one client per controller, at different rates.
type unevenLoad struct {
	served  atomic.Int64 // jobs
	done    chan struct{}
	clients sync.WaitGroup
}

func startUnevenLoad(t *testing.T, fleet []*controller) *unevenLoad {
	t.Helper()
	l := &unevenLoad{done: make(chan struct{})}
	for i, c := range fleet {
		rate := lowRate
		if i%4 == 0 {
			rate = highRate
		}
		l.clients.Go(func() { l.run(t, c.address, i, rate) })
	}
	return l
}

func (l *unevenLoad) stop() {
	close(l.done)
	l.clients.Wait()
}

// run requests jobs at a mean rate per second, without waiting for answers.
func (l *unevenLoad) run(t *testing.T, address string, index int, rate float64) {
	t.Helper()
	random := rand.New(rand.NewPCG(7, uint64(index)))
	client, err := fake.Dial(address)
	if err != nil {
		t.Error(err)
		return
	}
	defer client.Conn.Close()
	go l.countAnswers(client)
	for n := 0; ; n++ {
		select {
		case <-l.done:
			return
		case <-time.After(time.Duration(random.ExpFloat64() / rate * float64(time.Second))):
		}
		fields := []string{"call", fmt.Sprintf("%08x%08x", index, n), "ttl", "8000", "org", "one",
			"work", fmt.Sprint(warmUpWork.Milliseconds()), "est_mb", "8"}
		_, _ = client.Send("look", "SELECT 1 FROM a_1.b", fields...) // a lost request is not counted as served
	}
}

// countAnswers counts served jobs until the connection closes.
func (l *unevenLoad) countAnswers(client *fake.Client) {
	for {
		answer, err := client.Read(time.Minute)
		if err != nil {
			return
		}
		if answer.Error == "" {
			l.served.Add(1)
		}
	}
}

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
	warmUpWork    = time.Second // of each job
	lowRate       = 1.2         // jobs a second
	highRate      = 5           // likewise, at every fourth controller
	minDispatches = 5           // at the engine that warms up: it is used
)

// Twenty processes, an engine that warms up, traffic that is uneven: what all send in any window stays within what it
// stands, and the engine is used.
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
	until(t, "no load", func() bool { return load.served.Load() > 40 })
	e := startEngine(t, warmUpWork, false)
	started := time.Now()
	discovery.AddEvent(false, "["+endpoint("cold", e.Address(), "ready", started.UnixMilli())+"]")
	until(t, "not warm", func() bool { return time.Since(started) > warmUpTime })
	load.stop()
	var since []time.Duration // of dispatches while it warms up, from its start
	for _, d := range e.dispatches() {
		if after := d.at.Sub(started); after < warmUpTime {
			since = append(since, after)
		}
	}
	used := maxUse(since)
	t.Logf("N=%.1f: %d calls in %v, at most %.2f of what stands in a window",
		dispatchesAtStart(), len(since), warmUpTime, used)
	if used > 1 || len(since) < minDispatches {
		t.Errorf("%d calls to the engine that warms up, at most %.2f of what stands", len(since), used)
	}
}

// dispatchesAtStart is how many dispatches an engine can take in a window just after its start.
func dispatchesAtStart() float64 {
	return overloadMultiple * startCapacity * engineCores * warmUpWindow.Seconds() / warmUpWork.Seconds()
}

// maxUse is the greatest part of an engine's limit that dispatches made up in a window. The limit has a margin of two
// standard deviations of counts; dispatches are given by their times since its start.
func maxUse(dispatches []time.Duration) float64 {
	used := 0.0
	for i, first := range dispatches {
		stands := dispatchesAtStart() * (1 + (1/startCapacity-1)*first.Seconds()/warmUpTime.Seconds())
		count := 0
		for _, at := range dispatches[i:] {
			if at-first < warmUpWindow {
				count++
			}
		}
		used = max(used, float64(count)/(stands+2*math.Sqrt(stands)+2))
	}
	return used
}

// unevenLoad is one client at each controller.
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

// run sends jobs at a mean rate a second, whether the ones before are answered or not.
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
		_, _ = client.Send("look", "SELECT 1 FROM a_1.b", fields...) // one that is lost is not served
	}
}

// countAnswers reads until the connection ends.
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

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/fake"
)

// Bad clients, bad engines, a feed that breaks and moves, and reloads all affect one controller at the same time. Each
// job of a typical client is answered once with an engine's result for it, and no bad client is served. Nothing is
// leaked: startController checks goroutines and descriptors, the counters check jobs, ids and bytes.
func TestAllFaultsAtOnce(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runFaults(t, seed) })
	}
}

func runFaults(t *testing.T, seed uint64) {
	t.Helper()
	leakCounters := func() [4]uint64 {
		return [4]uint64{
			counters.Value("jobs_left"),
			counters.Value("bytes_left"),
			counters.Value("dispatch_out_of_turn"),
			counters.Value("action_for_no_job"),
		}
	}
	before := leakCounters()
	w := startControllerWith(t, fake.NewFaultyEngine(seed).Handle, "e1", "e2", "e3")
	var typicalClients, others sync.WaitGroup
	stopped := make(chan struct{})
	for i := range uint64(4) { // typical clients
		typicalClients.Go(func() { w.sendTypicalJobs(1000*seed+i, 60) })
	}
	for i := range uint64(3) { // bad ones
		others.Go(func() {
			for random := rand.New(rand.NewPCG(seed, i)); ; {
				select {
				case <-stopped:
					return
				default:
				}
				if fake.MisbehavingClient(w.address, random) {
					t.Error("a bad client was served")
				}
			}
		})
	}
	feeds := []*fake.Discovery{w.feed}
	others.Go(func() { feeds = w.disturbFeed(rand.New(rand.NewPCG(seed, 9)), stopped) })
	typicalClients.Wait()
	close(stopped)
	others.Wait()
	w.finish()
	for _, f := range feeds[1:] {
		f.Close()
	}
	if after := leakCounters(); after != before {
		t.Errorf("leaked or out of turn: %v, before %v", after, before)
	}
}

// sendTypicalJobs sends n jobs, up to 8 at a time, and checks each answer.
func (w *testController) sendTypicalJobs(first uint64, n int) {
	c := w.dial()
	defer c.Conn.Close()
	open := map[uint32]string{}
	for submitted := 0; submitted < n || len(open) > 0; {
		if submitted < n && len(open) < 8 {
			id := fmt.Sprintf("%016x", first<<20+uint64(submitted))
			number, err := c.Send("lookup", "SELECT 1 FROM a_1.b",
				"call", id, "ttl", "1500", "org", "acme", "work", "20", "est_mb", "8")
			if err != nil {
				w.t.Error(err)
				return
			}
			open[number] = id
			submitted++
			continue
		}
		a, err := c.Read(20 * time.Second)
		id, isOpen := open[a.ID]
		switch {
		case err != nil:
			w.t.Errorf("%d answers pending: %v", len(open), err)
			return
		case !isOpen:
			w.t.Errorf("second or unexpected answer: %+v", a)
		case a.Error == "" && string(a.Body) != fake.FaultyEngineRows(id):
			w.t.Errorf("result that no engine sent for this job: %.60q", a.Body)
		case a.Error != "" && a.Error != "Overloaded" && a.Error != "Internal":
			w.t.Errorf("%+v", a)
		}
		delete(open, a.ID)
	}
}

// disturbFeed breaks, replays and moves the feed, and reloads complete and truncated files.
func (w *testController) disturbFeed(random *rand.Rand, over <-chan struct{}) []*fake.Discovery {
	feeds := []*fake.Discovery{w.feed}
	known := strings.TrimSuffix(
		strings.SplitN(readText(w.config), `"events":[`, 2)[1],
		"]},\"settings\":"+testSettings+"}",
	)
	for {
		select {
		case <-over:
			return feeds
		case <-time.After(time.Duration(20+random.IntN(60)) * time.Millisecond):
		}
		now := feeds[len(feeds)-1]
		switch random.IntN(6) {
		case 0:
			now.DropConnections()
		case 1:
			now.Replay(false)
		case 2:
			now.Replay(true)
		case 3:
			now.Write("noise\n")
		case 4: // truncated file
			if err := os.WriteFile(w.config, []byte(readText(w.config)[:200]), 0o600); err != nil {
				w.t.Error(err)
			}
			w.sendSIGHUP()
			w.writeConfig(now.Address(), known)
		case 5:
			moved, err := fake.StartDiscovery("127.0.0.1:0", 1)
			if err != nil {
				w.t.Error(err)
				return feeds
			}
			feeds = append(feeds, moved)
			moved.AddKnownEvent(known)
			w.writeConfig(moved.Address(), known)
			w.sendSIGHUP()
			now.Close()
		}
	}
}

func (w *testController) sendSIGHUP() {
	select {
	case w.reload <- syscall.SIGHUP:
	default: // a signal is already pending
	}
}

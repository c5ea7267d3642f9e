package testcluster

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"swiftreel/internal/fake"
	"swiftreel/internal/rulecheck"
)

// Load is clients that ask a town's controllers for jobs until stopped. A client goes on to another connection where its
// own breaks, and away from a controller that says that it stops.
type Load struct {
	town   *Cluster
	seed   uint64
	pause  time.Duration
	stop   chan struct{}
	wait   sync.WaitGroup
	workMS int // ms that jobs say they take

	Done, Throttled, Cancelled, Broken atomic.Int64 // Broken: the connection, before the answer
}

// NewLoad starts clients at each controller; uneven: the first has double, the last a third.
func (t *Cluster) StartLoad(seed uint64, clients int, pause time.Duration, uneven bool) *Load {
	l := &Load{town: t, workMS: int(max(1, t.Faults.WorkDuration().Milliseconds())), seed: seed, pause: pause, stop: make(chan struct{})}
	for i, m := range t.Members {
		n := clients
		if uneven && i == 0 {
			n *= 2
		} else if uneven && i == len(t.Members)-1 {
			n = max(1, n/3)
		}
		for c := range n {
			l.wait.Go(func() { l.runClient(m, fmt.Sprintf("%02d%02d", i, c), rand.New(rand.NewPCG(seed, uint64(i*100+c)))) })
		}
	}
	return l
}

// Stop has all clients end after the job in hand.
func (l *Load) Stop() {
	close(l.stop)
	l.wait.Wait()
}

func (l *Load) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// restReady is how many jobs go over a connection before its controller is asked again whether they are welcome.
const jobsPerHeartbeat = 5

func (l *Load) runClient(m *Member, name string, chance *rand.Rand) {
	for !l.stopped() {
		c, err := fake.Dial(m.ClientAddress)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		for n := 0; !l.stopped(); n++ {
			if n%jobsPerHeartbeat == 0 {
				if ready, err := c.Ready(); !ready || err != nil {
					break
				}
			}
			if !l.runJob(c, name, chance) {
				break
			}
			time.Sleep(l.pause/2 + time.Duration(chance.Int64N(int64(l.pause))))
		}
		c.Conn.Close()
		if !l.stopped() {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// says is the work that jobs tell of themselves: as it was when the load began.
func (l *Load) claimedWork() string { return fmt.Sprint(l.workMS) }

// job asks for one; it tells whether the connection still serves.
func (l *Load) runJob(c *fake.Client, name string, chance *rand.Rand) bool {
	job := fmt.Sprintf("%s%012x", name, l.town.lastJob.Add(1))
	typ, ttl, key := "lookup", 2*time.Second, ""
	fields := []string{"call", job, "ttl", "2000", "org", "acme", "work", l.claimedWork(), "est_mb", "8"}
	if n := chance.IntN(10); n < 4 {
		if typ, ttl, fields[3] = "import", 4*time.Second, "4000"; n == 0 {
			key = "k" + name
			fields = append(fields, "row", key)
		}
	}
	l.town.Events.Add(rulecheck.Entry{What: rulecheck.Taken, Job: job, Type: typ, Key: key, Front: name, Until: time.Now().Add(ttl).UnixNano()})
	id, err := c.Send(typ, "SELECT 1 FROM a_1.b", fields...)
	if err == nil {
		a, bad := c.Read(ttl + 5*time.Second)
		if err = bad; err == nil && a.ID != id {
			err = fmt.Errorf("an answer to %d", a.ID)
		}
		if err == nil {
			how := rulecheck.Cancelled
			switch a.Error {
			case "":
				how = rulecheck.Done
				l.Done.Add(1)
			case "Overloaded":
				how = rulecheck.Throttled
				l.Throttled.Add(1)
			default:
				l.Cancelled.Add(1)
			}
			l.town.Events.Add(rulecheck.Entry{What: rulecheck.Answered, Job: job, Answer: how})
			return true
		}
	}
	l.Broken.Add(1)
	l.town.Events.Add(rulecheck.Entry{What: rulecheck.Left, Job: job})
	return false
}

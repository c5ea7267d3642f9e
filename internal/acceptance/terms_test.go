package acceptance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"swiftreel/internal/client"
	"swiftreel/internal/fake"
)

// A hundred clients leave at once while their jobs wait for an engine that is full; then it is free again. Nothing of
// theirs is sent: what would go out in the moment of the first leave is looked at before it goes.
func TestNothingIsSentForClientsThatLeftInABurst(t *testing.T) {
	for name, leave := range map[string]func(*fake.Client){
		"close":  func(c *fake.Client) { c.Conn.Close() },
		"reset":  func(c *fake.Client) { c.Conn.(*net.TCPConn).SetLinger(0); c.Conn.Close() },
		"revoke": func(c *fake.Client) { c.Revoke(1); c.Ready() }, // its answer shows that the revoke was read
		"unread": func(c *fake.Client) { // the close lies behind much that is unread
			var b []byte
			for id := range uint32(2000) {
				b = client.AppendHeartbeat(b, 10+id)
			}
			c.Conn.Write(b)
			c.Conn.(*net.TCPConn).CloseWrite()
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newBackend(t, time.Millisecond, true)
			c := newController(t, 1, 0)
			c.write(address(t), event(1, true, entry("e1", e.Address(), "ready", 0)))
			c.start()
			until(t, "not ready", c.ready)
			stay, err := fake.Dial(c.listen)
			if err != nil {
				t.Fatal(err)
			}
			defer stay.Conn.Close()
			for i := range 26 { // fill the engine
				ask(t, stay, "look", fmt.Sprintf("%016x", 1+i), 1000)
			}
			var waiting []*fake.Client
			for i := range 60 {
				w, err := fake.Dial(c.listen)
				if err != nil {
					t.Fatal(err)
				}
				defer w.Conn.Close()
				ask(t, w, "look", fmt.Sprintf("%016x", 0xff0000+i), 1000)
				w.Ready() // its answer shows that the job was taken
				waiting = append(waiting, w)
			}
			before := map[string]bool{}
			for _, f := range e.fetches() {
				before[f.id] = true
			}
			if len(before) == 86 {
				t.Fatal("nothing waits")
			}
			for _, w := range waiting {
				leave(w)
			}
			e.release()
			for range 26 { // until all of who stayed is answered, whatever could be sent has been
				if _, err := stay.Read(20 * time.Second); err != nil {
					t.Fatal(err)
				}
			}
			ask(t, stay, "look", fmt.Sprintf("%016x", 0xee), 10)
			if a, err := stay.Read(20 * time.Second); err != nil || a.Error != "" {
				t.Fatal(a, err)
			}
			for _, f := range e.fetches() {
				if !before[f.id] && f.id >= fmt.Sprintf("%016x", 0xff0000) {
					t.Errorf("%s is sent for a client that has left", f.id)
				}
			}
		})
	}
}

// Twenty processes, a cold engine, traffic that is uneven: what all send in any window stays within what stands, and the
// engine is used.
func TestAColdEngineStandsUnderTwentyProcesses(t *testing.T) {
	const fleet, work = 20, time.Second
	warm := []*backend{newBackend(t, work, false), newBackend(t, work, false), newBackend(t, work, false)}
	cold := newBackend(t, work, false)
	feed, err := fake.StartDiscovery("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer feed.Close()
	var hosts []string
	for i, e := range warm {
		hosts = append(hosts, entry(fmt.Sprintf("e%d", i), e.Address(), "ready", 0))
	}
	known := feed.AddEvent(true, "["+join(hosts)+"]")
	all := newFleet(t, fleet, feed.Address(), known)
	stop := make(chan struct{})
	var load sync.WaitGroup
	var served atomic.Int64
	for i, c := range all {
		rate := 1.2
		if i%4 == 0 {
			rate = 5
		}
		load.Go(func() {
			chance := rand.New(rand.NewPCG(7, uint64(i)))
			caller, err := fake.Dial(c.listen)
			if err != nil {
				t.Error(err)
				return
			}
			defer caller.Conn.Close()
			go func() { // reads what comes, until the connection ends
				for {
					if a, err := caller.Read(time.Minute); err != nil {
						return
					} else if a.Error == "" {
						served.Add(1)
					}
				}
			}()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(chance.ExpFloat64() / rate * float64(time.Second))):
				}
				caller.Send("look", "SELECT 1 FROM a_1.b", "call", fmt.Sprintf("%08x%08x", i, n), "ttl", "8000", "org", "one", "work", fmt.Sprint(work.Milliseconds()), "est_mb", "8")
			}
		})
	}
	until(t, "no load", func() bool { return served.Load() > 40 })
	born := time.Now()
	feed.AddEvent(false, "["+entry("cold", cold.Address(), "ready", born.UnixMilli())+"]")
	until(t, "not warm", func() bool { return time.Since(born) > warmFor })
	close(stop)
	load.Wait()
	var times []time.Time
	for _, f := range cold.fetches() {
		if f.at.Sub(born) < warmFor {
			times = append(times, f.at)
		}
	}
	n, most := fallMultiple*startCapacity*cores*fallWindow.Seconds()/work.Seconds(), 0.0
	for i, first := range times {
		now := n * (1 + (1/startCapacity-1)*first.Sub(born).Seconds()/warmFor.Seconds())
		count := 0
		for _, at := range times[i:] {
			if at.Sub(first) < fallWindow {
				count++
			}
		}
		most = max(most, float64(count)/(now+2*math.Sqrt(now)+2))
	}
	t.Logf("N=%.1f: %d calls in %v, at most %.2f of what stands in a window", n, len(times), warmFor, most)
	if most > 1 || len(times) < 5 {
		t.Errorf("%d calls to the cold engine, at most %.2f of what stands", len(times), most)
	}
}

func join(list []string) (text string) {
	for i, s := range list {
		if i > 0 {
			text += ","
		}
		text += s
	}
	return text
}

// Idle clients of all kinds fill the descriptors while the feed is down. The feed returns elsewhere: it is followed, a new
// engine is reached, new clients and those that stayed are served, and the process lives.
func TestIdleClientsFillTheDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	old, fresh := newBackend(t, time.Millisecond, false), newBackend(t, time.Millisecond, false)
	c := newController(t, 1, 0)
	c.descriptors = 128
	known := event(1, true, entry("e1", old.Address(), "ready", 0))
	c.write(address(t), known) // nobody is there
	c.start()
	until(t, "not ready", c.ready)
	var idle []*fake.Client
	half := client.AppendCall(nil, 1, "look", []string{"call", "00000000000000aa", "ttl", "8000", "org", "one"}, []byte("SELECT 1"))
	for i := range 400 {
		d, err := fake.Dial(c.listen)
		if err != nil {
			t.Fatal(err)
		}
		defer d.Conn.Close()
		switch i % 8 {
		case 0: // says nothing
		case 1:
			d.Conn.Write(half[:20])
		case 2: // sends much and goes
			for id := range uint32(100) {
				d.Conn.Write(client.AppendCall(nil, id, "look", []string{"call", fmt.Sprintf("%08x%08x", i, id), "ttl", "100", "org", "one"}, []byte("SELECT 1 FROM a_1.b")))
			}
			d.Conn.Close()
		default:
			if is, err := d.Ready(); err == nil && is {
				idle = append(idle, d)
			}
		}
	}
	if len(idle) < 200 {
		t.Errorf("only %d of 250 clients got an answer", len(idle))
	}
	feed, err := fake.StartDiscovery("127.0.0.1:0", 2)
	if err != nil {
		t.Fatal(err)
	}
	defer feed.Close()
	feed.AddEvent(false, "["+entry("e2", fresh.Address(), "ready", 0)+","+entry("e1", old.Address(), "draining", 0)+"]")
	c.write(feed.Address(), known)
	at := time.Now()
	c.Signal(syscall.SIGHUP)
	until(t, "the feed is not followed where it moved", func() bool { return len(feed.Subscriptions()) > 0 })
	if late := time.Since(at); late > 7*time.Second {
		t.Errorf("followed after %v", late)
	}
	seen := func() int { return len(fresh.fetches()) }
	until(t, "the new engine is not used", func() bool {
		d, err := fake.Dial(c.listen)
		if err != nil {
			return false
		}
		defer d.Conn.Close()
		ask(t, d, "look", fmt.Sprintf("%016x", time.Now().UnixNano()), 5)
		a, err := d.Read(5 * time.Second)
		return err == nil && a.Error == "" && seen() > 0
	})
	served, ended := 0, 0
	for i, d := range idle { // those that made way see an end; all others are served
		if _, err := d.Send("look", "SELECT 1 FROM a_1.b", "call", fmt.Sprintf("dd%014x", i), "ttl", "8000", "org", "one", "work", "5"); err != nil {
			ended++
			continue
		}
		if a, err := d.Read(8 * time.Second); err != nil {
			ended++
		} else if a.Error == "" {
			served++
		} else {
			t.Errorf("%+v on a connection that rested", a)
		}
	}
	t.Logf("%d of %d that rested are served, %d had made way", served, len(idle), ended)
	if served == 0 || c.Exited() {
		t.Errorf("%d served, ended: %v", served, c.Exited())
	}
}

// Twenty processes are killed at once, and then ended one by one under load, while discovery is down and the engines hang:
// nine in ten are ready within 10 s, all within 30 s.
func TestRestartsWithDiscoveryDownAndEnginesHanging(t *testing.T) {
	const fleet = 20
	hung := []*backend{newBackend(t, 0, true), newBackend(t, 0, true)}
	mute, err := net.Listen("tcp", "127.0.0.1:0") // the feed takes connections and says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close()
	known := event(1, true, entry("e1", hung[0].Address(), "ready", 0), entry("e2", hung[1].Address(), "ready", 0))
	all := newFleet(t, fleet, mute.Addr().String(), known)
	stop := make(chan struct{})
	var load sync.WaitGroup
	for i, c := range all {
		load.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				if d, err := fake.Dial(c.listen); err == nil {
					d.Send("look", "SELECT 1 FROM a_1.b", "call", fmt.Sprintf("%08x%08x", i, n), "ttl", "1500", "org", "one", "work", "50")
					if n%2 == 0 {
						load.Go(func() { d.Read(2 * time.Second); d.Conn.Close() })
					} else {
						d.Conn.Close()
					}
				}
			}
		})
	}
	restart := func(how string, end func(*controller)) {
		var took [fleet]time.Duration
		var each sync.WaitGroup
		for i, c := range all {
			each.Go(func() {
				end(c)
				at := time.Now()
				c.start()
				for !c.ready() && time.Since(at) < 40*time.Second {
					time.Sleep(5 * time.Millisecond)
				}
				took[i] = time.Since(at)
			})
			if how == "ended" {
				time.Sleep(20 * time.Millisecond) // one after the other
			}
		}
		each.Wait()
		soon, most := 0, time.Duration(0)
		for _, d := range took {
			if most = max(most, d); d <= 10*time.Second {
				soon++
			}
		}
		t.Logf("%s: %d of %d ready within 10 s, the last after %v", how, soon, fleet, most.Round(time.Millisecond))
		if soon < fleet*9/10 || most > 30*time.Second {
			t.Errorf("%s: %d of %d ready within 10 s, the last after %v", how, soon, fleet, most)
		}
	}
	restart("killed", func(c *controller) { c.Kill() })
	restart("ended", func(c *controller) {
		c.Signal(syscall.SIGTERM)
		if err := c.WaitExit(); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
	})
	close(stop)
	load.Wait()
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"swiftreel/internal/assignment"
	"swiftreel/internal/canary"
	"swiftreel/internal/change"
	"swiftreel/internal/leader"
	"swiftreel/internal/monotonic"
	"swiftreel/internal/operator"
	"swiftreel/internal/supervisor"
)

// What owning costs by the number of listeners: three voters are processes of their own (this program, with the real
// modules), listeners are keepers' doors in one process, with the real fence. And the plain way: a file that all poll.

const (
	costFor   = 4 * time.Second // measured, once it has settled
	cpuMost   = 0.5             // of a core, at 300 listeners
	groupsOf  = 6               // types and tenants that each tells of
	jobsASec  = 7
	tellsUpTo = 60 // buckets of latency
)

// stub is a keeper's door: it tells a status and hears words.
type stub struct {
	name  string
	began time.Time
	mu    sync.Mutex
	word  assignment.Accepted
	words int
}

func (s *stub) handler(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		n := uint64(time.Since(s.began).Seconds()*jobsASec) + 1
		st := supervisor.Status{Format: change.Format, Name: s.name, Life: s.name, BootNS: monotonic.Now(), Word: s.word.ValidAt(monotonic.Now()), Serves: true, EngineCount: 300, Started: 1, Work: map[canary.Group]canary.Work{}}
		for g := range groupsOf {
			took := make([]uint64, tellsUpTo)
			took[g*5] = n
			st.Work[canary.Group{Type: fmt.Sprint("type", g%3), Tenant: fmt.Sprint("tenant", g)}] = canary.Work{Jobs: n, Within: n, Done: n, Dispatches: n, Took: took}
		}
		json.NewEncoder(w).Encode(st)
	})
	mux.HandleFunc("POST /v1/word", func(w http.ResponseWriter, r *http.Request) {
		word, err := assignment.Read(r.Body)
		s.mu.Lock()
		defer s.mu.Unlock()
		if err == nil {
			s.word, err = s.word.Accept(word, s.name, s.name, monotonic.Now())
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		s.words++
		w.WriteHeader(http.StatusNoContent)
	})
}

// counted counts the bytes of a listener's connections.
type counted struct {
	net.Listener
	n *atomic.Int64
}

type countedConn struct {
	net.Conn
	n *atomic.Int64
}

func (l counted) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.n}, err
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// stands is this program as a voter, or as one that polls.
func stands(as, file string) error {
	if as == "poll" {
		return poll(file)
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	f, err := operator.Load(file)
	if err != nil {
		return err
	}
	m, _ := f.Fleet.Find(as)
	addr := map[string]string{}
	for _, m := range f.Fleet.Members {
		addr[m.Name] = m.At()
	}
	node, err := leader.Open(as, filepath.Join(filepath.Dir(file), as+".db"), addr, leader.DefaultTiming())
	if err != nil {
		return err
	}
	d, err := leader.NewDuties(node, f.Fleet, filepath.Dir(file))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	(&stub{name: as, began: time.Now()}).handler(mux)
	node.RegisterHandlers(mux)
	d.RegisterHandlers(mux)
	l, err := net.Listen("tcp4", m.Listen)
	if err != nil {
		return err
	}
	go d.Run(context.Background())
	return http.Serve(l, mux)
}

// costs measures; it tells whether the figures hold.
func costs() bool {
	ok := true
	for _, n := range []int{5, 50, 300} {
		cpu, bytes, words, err := cost(n)
		if err != nil {
			fmt.Println("FAILED: costs:", err)
			return false
		}
		plain, err := polled(n)
		if err != nil {
			fmt.Println("FAILED: costs:", err)
			return false
		}
		fmt.Printf("an owner of %3d listeners, parts handed out each second: %5.1f ms CPU a second, %6.1f kB a second to and from listeners, %.2f words a listener and second; polling one file, all %d: %.1f ms CPU a second\n",
			n, 1000*cpu, bytes/1e3, words, n, 1000*plain)
		if cpu > cpuMost || words < 0.5 {
			fmt.Printf("FAILED: over %.0f%% of a core, or words do not arrive\n", 100*cpuMost)
			ok = false
		}
	}
	return ok
}

func cost(n int) (cpu, bytes, words float64, err error) {
	dir, err := os.MkdirTemp("", "costs")
	if err != nil {
		return 0, 0, 0, err
	}
	defer os.RemoveAll(dir)
	var fleet operator.Fleet
	var passed atomic.Int64
	var stubs []*stub
	for i := range n {
		s := &stub{name: fmt.Sprint("l", i), began: time.Now()}
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return 0, 0, 0, err
		}
		defer l.Close()
		mux := http.NewServeMux()
		s.handler(mux)
		go http.Serve(counted{l, &passed}, mux)
		stubs = append(stubs, s)
		fleet.Members = append(fleet.Members, operator.Member{Name: s.name, Listen: l.Addr().String()})
	}
	for i := range 3 {
		l, err := net.Listen("tcp4", "127.0.0.1:0") // an address that was free a moment ago
		if err != nil {
			return 0, 0, 0, err
		}
		name := fmt.Sprint("v", i)
		fleet.Members, fleet.Voters = append(fleet.Members, operator.Member{Name: name, Listen: l.Addr().String()}), append(fleet.Voters, name)
		l.Close()
	}
	fleet.Parts, fleet.DrainMS = &operator.Parts{LifeMS: 5000}, 1000
	text, err := json.Marshal(map[string]any{"fleet": fleet})
	file := filepath.Join(dir, "operator.json")
	if err == nil {
		err = os.WriteFile(file, text, 0o600)
	}
	if err != nil {
		return 0, 0, 0, err
	}
	own, err := os.Executable()
	if err != nil {
		return 0, 0, 0, err
	}
	var procs []*exec.Cmd
	for _, name := range fleet.Voters {
		c := exec.Command(own, "-as", name, "-file", file)
		c.Stderr = os.Stderr
		if err := c.Start(); err != nil {
			return 0, 0, 0, err
		}
		defer c.Wait()
		defer c.Process.Kill()
		procs = append(procs, c)
	}
	ids := map[uint64]string{1: "v0", 2: "v1", 3: "v2"}
	acts := -1
	for stop := time.Now().Add(20 * time.Second); acts < 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(stop) {
			return 0, 0, 0, fmt.Errorf("nobody owns %d listeners", n)
		}
		for i, m := range fleet.Members[n:] {
			text, _ := json.Marshal(map[string]any{"id": i + 1, "names": ids})
			if a, err := http.Post("http://"+m.Listen+"/v1/owner/found", "application/json", strings.NewReader(string(text))); err == nil {
				a.Body.Close() // 409: it is a member already
			}
			var v leader.Status
			if a, err := http.Get("http://" + m.Listen + "/v1/owner"); err == nil {
				json.NewDecoder(a.Body).Decode(&v)
				a.Body.Close()
			}
			if v.Active {
				acts = i
			}
		}
	}
	heard := func() (words int) {
		for _, s := range stubs {
			s.mu.Lock()
			words += s.words
			s.mu.Unlock()
		}
		return words
	}
	for stop := time.Now().Add(20 * time.Second); heard() < 2*n; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(stop) {
			return 0, 0, 0, fmt.Errorf("%d listeners heard %d words", n, heard())
		}
	}
	used, came, got, from := cpuOf(procs[acts].Process.Pid), passed.Load(), heard(), time.Now()
	time.Sleep(costFor)
	span := time.Since(from).Seconds()
	return (cpuOf(procs[acts].Process.Pid) - used) / span, float64(passed.Load()-came) / span, float64(heard()-got) / span / float64(n), nil
}

// cpuOf is what a process has used, in seconds, to a hundredth.
func cpuOf(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	return (user + system) / 100
}

// polled is what all of so many pollers use, of a core.
func polled(n int) (float64, error) {
	own, err := os.Executable()
	if err != nil {
		return 0, err
	}
	text, err := exec.Command(own, "-as", "poll", "-file", strconv.Itoa(n)).Output()
	if err != nil {
		return 0, err
	}
	return strconv.ParseFloat(strings.TrimSpace(string(text)), 64)
}

// poll has so many read one file each second, and one write it, for a while; it prints the part of a core that all used.
func poll(n string) error {
	count, err := strconv.Atoi(n)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp("", "polled")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	const span = 2 * time.Second
	var wait sync.WaitGroup
	end := time.Now().Add(span)
	for i := range count + 1 {
		wait.Go(func() {
			for time.Sleep(time.Duration(i) * time.Second / time.Duration(count+1)); time.Now().Before(end); time.Sleep(time.Second) {
				if i == 0 {
					os.WriteFile(f.Name(), make([]byte, 4096), 0o600)
				} else {
					os.ReadFile(f.Name())
				}
			}
		})
	}
	wait.Wait()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return err
	}
	fmt.Println((time.Duration(u.Utime.Nano() + u.Stime.Nano())).Seconds() / span.Seconds())
	return nil
}

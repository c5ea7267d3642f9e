//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"swiftreel/internal/fake"
)

// rig holds what a case has started, and its record.
type rig struct {
	root    string // of the repository
	dir     string // temporary
	trouble bool
	start   time.Time

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	groups []int // process groups to kill at the end
	ending sync.Once
}

// current is the rig of this process. A case that cannot run is ended through it from any goroutine, so that no process
// is left behind.
var current *rig

// cannotRun ends a case that cannot run.
func cannotRun(format string, values ...any) {
	reason := fmt.Sprintf(format, values...)
	fmt.Println("cannot run:", reason)
	if current != nil {
		current.log("CANNOT RUN: %s", reason)
		current.end()
	}
	os.Exit(exitNotRun)
}

func must[T any](value T, err error) T {
	if err != nil {
		cannotRun("%v", err)
	}
	return value
}

// newRig returns a rig that appends to a record.
func newRig(record string) *rig {
	executable := must(os.Executable())
	root := filepath.Dir(filepath.Dir(filepath.Dir(executable))) // ROOT/review/bin/cases
	file := must(os.OpenFile(record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644))
	// What a killed supervisor leaves becomes a child of this process, which waits for its end.
	must(0, unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0))
	current = &rig{root: root, dir: must(os.MkdirTemp("", "review")), trouble: os.Getenv("TROUBLE") != "0",
		start: time.Now(), record: bufio.NewWriter(file), file: file}
	return current
}

// play runs a case and returns its exit code.
func (r *rig) play(run func(*rig) []string) (code int) {
	defer r.end()
	watchdog := time.AfterFunc(maxDuration, func() { cannotRun("over its time") })
	defer watchdog.Stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-interrupted
		cannotRun("interrupted")
	}()
	r.log("trouble: %v", r.trouble)
	broken := run(r)
	if len(broken) == 0 {
		r.log("HELD")
		fmt.Println("held")
		return exitHeld
	}
	for _, text := range broken {
		r.log("BROKEN: %s", text)
		fmt.Println("broken:", text)
	}
	return exitBroken
}

// endTimeout bounds the wait for the end of killed processes.
const endTimeout = 5 * time.Second

// end kills all processes that the case has started, waits until they are gone, and closes the record.
func (r *rig) end() {
	r.ending.Do(func() {
		r.mu.Lock()
		groups := r.groups
		r.mu.Unlock()
		for stop := time.Now().Add(endTimeout); ; time.Sleep(10 * time.Millisecond) {
			left := 0
			for _, group := range groups {
				_ = syscall.Kill(-group, syscall.SIGKILL)
				_, _ = syscall.Wait4(-group, nil, syscall.WNOHANG, nil)
				if syscall.Kill(-group, 0) == nil {
					left++
				}
			}
			if left == 0 || time.Now().After(stop) {
				r.log("%d process groups left", left)
				break
			}
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		_ = r.file.Close()
		_ = os.RemoveAll(r.dir)
	})
}

// log writes a line into the record, with the time since the start in ms.
func (r *rig) log(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.1f ", float64(time.Since(r.start).Microseconds())/1000)
	fmt.Fprintf(r.record, format+"\n", values...)
	_ = r.record.Flush()
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() string {
	listener := must(net.Listen("tcp4", "127.0.0.1:0"))
	defer listener.Close()
	return listener.Addr().String()
}

// runCommand returns the command of the deploy file that starts a controller.
func (r *rig) runCommand() string {
	text := must(os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml")))
	match := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if match == nil {
		cannotRun("deploy/balancer.toml names no run")
	}
	return string(match[1])
}

// process is a program that the case has started, in a process group of its own.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
}

// startProcess starts a command line by /bin/sh -c from the root of the repository. Its log goes into the record.
func (r *rig) startProcess(name, line string, environment ...string) *process {
	command := exec.Command("/bin/sh", "-c", line)
	command.Dir = r.root
	command.Env = append(os.Environ(), environment...)
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	reader, writer, err := os.Pipe()
	if err != nil {
		cannotRun("%v", err)
	}
	command.Stdout = writer
	command.Stderr = writer
	if err := command.Start(); err != nil {
		cannotRun("%v", err)
	}
	_ = writer.Close()
	r.mu.Lock()
	r.groups = append(r.groups, command.Process.Pid)
	r.mu.Unlock()
	r.log("started %s: pid %d: %s", name, command.Process.Pid, line)
	p := &process{command: command, ended: make(chan struct{})}
	go func() {
		lines := bufio.NewScanner(reader)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			r.log("log of %s: %s", name, lines.Text())
		}
	}()
	go func() {
		err := command.Wait()
		r.log("%s has ended: %v", name, err)
		close(p.ended)
	}()
	return p
}

// awaitReady waits until a controller answers heartbeats with true.
func (r *rig) awaitReady(address string) {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		client, err := fake.Dial(address)
		if err != nil {
			continue
		}
		ready, err := client.Ready()
		_ = client.Conn.Close()
		if err == nil && ready {
			return
		}
	}
	cannotRun("no controller is ready at %s", address)
}

// host is an entry of the list of engines.
type host struct {
	Host   string `json:"host"`
	Dial   string `json:"dial"`
	Site   string `json:"site"`
	Class  string `json:"class"`
	Block  int    `json:"block"`
	Health string `json:"health"`
	Share  int    `json:"share"`
	BornMS int64  `json:"born_ms"`
}

// object is a JSON object.
type object = map[string]any

// settings returns settings like those of a small deployment, with the given reservation types. domain holds, for each
// type, the number of its threads and whether it is a load.
func settings(classes []object, threads []int, loads []bool) object {
	none := make([]bool, len(classes))
	return object{
		"balancers": 1, "me": 0, "step_ns": 5e6, "discovery": "automatic", "over_share_worth": 0.2,
		"localities": []string{"east"}, "locality": 0, "kinds": []string{"std"},
		"tenants": []object{{"name": "acme", "quota_per_s": 200, "share": 1}},
		"classes": classes,
		"domain": object{"class_threads": threads, "cpu_of_kind": []int{16}, "size_mb": []int{32768},
			"max_grant_share": 0.4, "grants_count": true, "takes_priority": true, "says_cost": true,
			"memory_short": "queue", "note_period_ns": 0, "writes_tables": loads, "waits_for_loads": none},
		"limits": object{"cancel": true, "probes": true, "most_tries": 4, "retry_after": true,
			"max_retry_after_ns": 1e9, "dial_timeout_ns": 250e6, "conn_idle_ns": 15e9, "max_streams": 100,
			"max_open": 20000},
		"telemetry": object{"via": "on_probe", "fields": []string{"concurrent"}},
		"tariffs":   object{"probe": 0.01, "cross_zone": 0.02},
		"invariants": object{"answer_slack_ns": 20e6, "drain_grace_ns": 250e6, "start_capacity": 0.36,
			"warm_within_ns": 14e9, "fall_multiple": 2.5, "fall_ns": 2e9, "order_pause_ns": 300e6},
	}
}

// writeConfig writes a controller's configuration and returns its path.
func (r *rig) writeConfig(name, listen, feed string, known string, settings object) string {
	return r.writeJSON(name+".json", object{
		"name": name, "listen": listen, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"feed":   feed, "known": object{"n": 1, "events": []json.RawMessage{json.RawMessage(known)}},
		"settings": settings,
	})
}

func (r *rig) writeJSON(name string, value any) string {
	path := filepath.Join(r.dir, name)
	if err := os.WriteFile(path, must(json.MarshalIndent(value, "", " ")), 0o600); err != nil {
		cannotRun("%v", err)
	}
	return path
}

// startFeed starts the feed with the first event, which lists the engines and is returned.
func (r *rig) startFeed(hosts []host) (feed *fake.Discovery, known string) {
	feed = must(fake.StartDiscovery("127.0.0.1:0", 1))
	return feed, feed.AddEvent(true, string(must(json.Marshal(hosts))))
}

func readyHost(name, address string) host {
	return host{Host: name, Dial: address, Site: "east", Class: "std", Health: "ready", Share: 1}
}

func shorten(text string) string { return strings.TrimSpace(text[:min(len(text), 200)]) }

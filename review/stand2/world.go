//go:build review2

// Command stand2 plays the cases of the second review: it starts the project's controller with the command of the
// deploy file and stands in for its clients, its engines and its endpoint feed. Every address is a loopback one.
//
// It is built by review/build-2.sh only, since the tag review2 keeps it out of the default build and test run.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// record is the file record.txt beside the script of a case. It is safe for concurrent use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.started).Milliseconds()
	fmt.Fprintf(r.file, "%7d ms  %s\n", at, fmt.Sprintf(format, values...))
}

// errSetup means that a case could not run.
var errSetup = errors.New("the case could not run")

func setupf(format string, values ...any) error {
	return fmt.Errorf("%w: %s", errSetup, fmt.Sprintf(format, values...))
}

// world is a controller with the stand-ins around it.
type world struct {
	rec     *record
	trouble bool
	folder  string // temporary
	clients string // address of the controller for MessagePack-RPC
	sparql  string // address of the controller for SPARQL
	feed    *feed
	engines []*engine

	controller *exec.Cmd
	ended      chan error
}

// options are what differs between the cases.
type options struct {
	engines  int
	answer   answerFunc
	settings func(settings map[string]any) // changes the settings; may be nil
	sparql   bool
	marked   bool // updates have an Idempotency-Key
	memoryMB int
}

// newWorld starts the stand-ins and the controller and waits until it is ready.
func newWorld(rec *record, trouble bool, o options) (*world, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, setupf("%v", err)
	}
	w := &world{rec: rec, trouble: trouble, folder: folder}
	if w.clients, err = freeAddress(); err != nil {
		return w, err
	}
	if w.sparql, err = freeAddress(); err != nil {
		return w, err
	}
	if w.feed, err = startFeed(rec); err != nil {
		return w, err
	}
	for i := range o.engines {
		e, err := startEngine(fmt.Sprintf("e%d", i+1), rec, o.answer)
		if err != nil {
			return w, err
		}
		w.engines = append(w.engines, e)
	}
	if err := w.writeFiles(o); err != nil {
		return w, err
	}
	return w, w.startController(o)
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", setupf("%v", err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// writeFiles writes the configuration, with the figures of a small deployment, and the operator's file.
func (w *world) writeFiles(o options) error {
	var hosts []any
	endpoints := map[string]string{}
	for _, e := range w.engines {
		hosts = append(hosts, map[string]any{"host": e.name, "dial": e.line.Addr().String(), "site": "room-a",
			"class": "std-16", "block": 0, "health": "ready", "share": 1, "born_ms": 0})
		endpoints[e.name] = "http://" + e.http.Addr().String() + "/sparql"
	}
	settings := baseSettings()
	if o.settings != nil {
		o.settings(settings)
	}
	memory := 192
	if o.memoryMB > 0 {
		memory = o.memoryMB
	}
	config := map[string]any{
		"name": "n1", "listen": w.clients, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": memory, "sockets": 1024},
		"feed":   w.feed.listener.Addr().String(),
		"known": map[string]any{"n": 1, "events": []any{map[string]any{"n": 1,
			"members": map[string]any{"seq": 1, "whole": true, "hosts": hosts}}}},
		"settings": settings,
	}
	if err := writeJSON(filepath.Join(w.folder, "config.json"), config); err != nil {
		return err
	}
	operator := map[string]any{}
	if o.sparql {
		operator["sparql"] = map[string]any{
			"listen": w.sparql, "tenant": "acme", "endpoints": endpoints,
			"types": []any{
				map[string]any{"forms": []any{"UPDATE"}, "type": "import", "marked": o.marked},
				map[string]any{"most_work_ms": 1000, "type": "lookup"},
				map[string]any{"type": "report"},
			},
		}
	}
	return writeJSON(filepath.Join(w.folder, "operator.json"), operator)
}

func writeJSON(path string, value any) error {
	text, err := json.MarshalIndent(value, "", " ")
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		return setupf("%v", err)
	}
	return nil
}

const second = 1_000_000_000 // ns

// baseSettings are those of a deployment with six engines of 16 cores and three controllers.
func baseSettings() map[string]any {
	return map[string]any{
		"balancers": 3, "me": 0, "step_ns": 5_000_000, "discovery": "automatic", "over_share_worth": 0.2,
		"localities": []any{"room-a"}, "locality": 0, "kinds": []any{"std-16"}, "family": "queries",
		"clients": map[string]any{"marks_retry": true}, "weight_source": "off", "worth_by": "request",
		"tenants": []any{
			map[string]any{"name": "acme", "quota_per_s": 300, "share": 0.6},
			map[string]any{"name": "bodegas", "quota_per_s": 200, "share": 0.4}},
		"classes": []any{
			map[string]any{"name": "lookup", "idempotency": "repeatable", "key_scope": "all", "aim_ns": second / 2,
				"aim_stretch": 2, "gain": 1, "late_worth": 0.1, "give_up_ns": 5 * second / 2},
			map[string]any{"name": "report", "idempotency": "repeatable", "key_scope": "all", "aim_ns": 3 * second / 2,
				"aim_stretch": 2.5, "gain": 12, "late_worth": 0.3, "give_up_ns": 20 * second},
			map[string]any{"name": "import", "idempotency": "once", "key_scope": "all", "aim_ns": 3 * second,
				"aim_stretch": 2.5, "gain": 20, "late_worth": 0.6, "give_up_ns": 25 * second, "fifo_by_key": true}},
		"domain": map[string]any{"class_threads": []any{1, 3, 2}, "cpu_of_kind": []any{16}, "size_mb": []any{32768},
			"max_grant_share": 0.4, "grants_count": true, "takes_priority": true, "says_cost": true,
			"memory_short": "queue", "note_period_ns": 2 * second, "writes_tables": []any{false, false, true},
			"waits_for_loads": []any{false, false, false}},
		"limits": map[string]any{"cancel": true, "probes": true, "most_tries": 4, "retry_after": true,
			"max_retry_after_ns": second, "dial_timeout_ns": second / 4, "conn_idle_ns": 15 * second,
			"max_streams": 100, "max_open": 20000, "second_copies": false, "peer_messages": false},
		"telemetry": map[string]any{"via": "on_probe", "fields": []any{"concurrent"}},
		"tariffs":   map[string]any{"probe": 0.01, "cross_zone": 0.02},
		"invariants": map[string]any{"answer_slack_ns": 20_000_000, "drain_grace_ns": second / 4,
			"start_capacity": 0.36, "warm_within_ns": 14 * second, "fall_multiple": 2.5, "fall_ns": 2 * second,
			"order_pause_ns": 0},
	}
}

// runCommand returns the command run of deploy/balancer.toml.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", setupf("%v", err)
	}
	match := regexp.MustCompile(`(?m)^run = ("(?:[^"\\]|\\.)*")`).FindSubmatch(text)
	if match == nil {
		return "", setupf("deploy/balancer.toml names no run")
	}
	command, err := strconv.Unquote(string(match[1]))
	if err != nil {
		return "", setupf("%v", err)
	}
	return command, nil
}

const readyTimeout = 20 * time.Second

func (w *world) startController(o options) error {
	command, err := runCommand()
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.folder, "controller.log"))
	if err != nil {
		return setupf("%v", err)
	}
	defer log.Close()
	w.controller = exec.Command("/bin/sh", "-c", command)
	w.controller.Env = append(os.Environ(), "ROUTER_CONFIG="+filepath.Join(w.folder, "config.json"),
		"ROUTER_OPERATOR="+filepath.Join(w.folder, "operator.json"), "TMPDIR="+w.folder)
	w.controller.Stdout, w.controller.Stderr = log, log
	if err := w.controller.Start(); err != nil {
		return setupf("%v", err)
	}
	started.Store(w.controller.Process)
	w.ended = make(chan error, 1)
	ended, controller := w.ended, w.controller
	go func() { ended <- controller.Wait() }()
	address := w.clients
	if o.sparql {
		address = w.sparql
	}
	for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if w.isServing() {
			conn, err := net.DialTimeout("tcp4", address, time.Second)
			if err == nil {
				_ = conn.Close()
				w.rec.line("controller %d is ready", w.controller.Process.Pid)
				return nil
			}
		}
		select {
		case err := <-w.ended:
			w.ended <- err
			return setupf("the controller ended: %v", err)
		default:
		}
		if time.Since(start) > readyTimeout {
			return setupf("the controller is not ready after %v", readyTimeout)
		}
	}
}

// started is the controller's process, for an early end of the case.
var started atomic.Pointer[os.Process]

func killStarted() {
	if process := started.Load(); process != nil {
		_ = process.Kill()
	}
}

// isServing reports whether the controller has logged that it serves.
func (w *world) isServing() bool {
	text, err := os.ReadFile(filepath.Join(w.folder, "controller.log"))
	return err == nil && strings.Contains(string(text), "serving ")
}

// signal sends a signal to the controller, which run has put in the place of its shell.
func (w *world) signal(signal syscall.Signal, name string) {
	w.rec.line("signal %s to the controller", name)
	_ = w.controller.Process.Signal(signal)
}

// hasEnded reports whether the controller has ended.
func (w *world) hasEnded() bool {
	select {
	case err := <-w.ended:
		w.ended <- err
		return true
	default:
		return false
	}
}

// close ends everything that was started.
func (w *world) close() {
	if w.controller != nil && w.controller.Process != nil && w.ended != nil {
		_ = w.controller.Process.Signal(syscall.SIGCONT)
		_ = w.controller.Process.Signal(syscall.SIGTERM)
		select {
		case <-w.ended:
		case <-time.After(6 * time.Second):
			_ = w.controller.Process.Kill()
			<-w.ended
		}
	}
	for _, e := range w.engines {
		e.close()
	}
	if w.feed != nil {
		w.feed.close()
	}
	if keep := os.Getenv("KEEP_LOG"); keep != "" { // for a look by hand
		if text, err := os.ReadFile(filepath.Join(w.folder, "controller.log")); err == nil {
			_ = os.WriteFile(keep, text, 0o600)
		}
	}
	_ = os.RemoveAll(w.folder)
}

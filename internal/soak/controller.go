package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"swiftreel/internal/fake"
	"swiftreel/internal/testcluster"
)

// connectGrace is how long after SIGTERM clients still connect, as docs/protocol.md specifies. They use open
// connections until these are closed or the process is killed.
const connectGrace = 400 * time.Millisecond

const (
	readyTimeout = 10 * time.Second
	pollInterval = 5 * time.Millisecond
)

// Controller is a controller of a run. Its process may be replaced. The methods that act on the process must be called
// by one goroutine at a time; those that clients call are safe for concurrent use.
type Controller struct {
	index       int
	count       int
	address     string // for clients
	configFile  string
	program     string
	env         []string
	records     *Records
	feed        *Feed
	feedServers []*feedServer // servers of its feed, of which it uses one at a time
	faults      aspects

	configMu  sync.Mutex // held while the configuration is written
	feedIndex int        // index of the feed server in use

	mu                      sync.Mutex
	process                 *testcluster.Process // nil before the first start
	acceptsConnectionsUntil time.Time            // until when clients connect
	acceptsRequestsUntil    time.Time            // until when clients send calls
}

// beyondRun is longer than any run.
const beyondRun = 24 * time.Hour

// current returns the current process, or nil before the first start.
func (c *Controller) current() *testcluster.Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.process
}

// currentFeedServer returns the feed server in use.
func (c *Controller) currentFeedServer() *feedServer {
	c.configMu.Lock()
	defer c.configMu.Unlock()
	return c.feedServers[c.feedIndex]
}

// writeConfig writes the configuration, with all events so far. It advances the feed server in use by the given number
// of steps.
func (c *Controller) writeConfig(steps int) error {
	c.configMu.Lock()
	defer c.configMu.Unlock()
	c.feedIndex = (c.feedIndex + steps) % len(c.feedServers)
	known := c.feed.known(c.index)
	text := fmt.Sprintf(configText, fmt.Sprint("c", c.index), c.address, c.index+1, memoryLimitMB, maxDescriptors,
		c.feedServers[c.feedIndex].listener.Addr(), len(known), strings.Join(known, ","), settings(c.count, c.index))
	next := c.configFile + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, c.configFile) // atomic, so that a starting process reads either the old or the new file
}

// runCommand is the shell command that runs the program as it is deployed, so that a SIGHUP before the program handles
// signals does not end it.
const runCommand = "trap '' HUP; exec %s"

// launch starts a process and waits until the shell has executed the program, so that signals reach the program.
func (c *Controller) launch() (*testcluster.Process, error) {
	if err := c.writeConfig(0); err != nil {
		return nil, err
	}
	env := append([]string{"ROUTER_CONFIG=" + c.configFile, "FAULT_SYSCALLS=" + c.syscallFaultsFile()}, c.env...)
	c.records.addStart(c.index, time.Now())
	process, err := testcluster.StartProcess("/bin/sh", env, "-c", fmt.Sprintf(runCommand, c.program))
	if err != nil {
		return nil, err
	}
	executable := fmt.Sprintf("/proc/%d/exe", process.Pid())
	for stop := time.Now().Add(readyTimeout); ; {
		path, err := os.Readlink(executable)
		if err == nil && path == c.program || process.Exited() {
			return process, nil
		}
		if time.Now().After(stop) {
			process.Kill()
			return nil, fmt.Errorf("controller %d: the shell has not executed the program", c.index)
		}
	}
}

// start starts a process and waits until it is ready. Meanwhile it sends SIGHUP repeatedly.
func (c *Controller) start() error {
	process, err := c.launch()
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.process = process
	c.mu.Unlock()
	for stop := time.Now().Add(readyTimeout); !c.isReady(); time.Sleep(pollInterval) {
		process.Signal(syscall.SIGHUP)
		if time.Now().After(stop) || process.Exited() {
			return fmt.Errorf("controller %d is not ready: %s", c.index, process.Log())
		}
	}
	c.setAccepting(time.Now().Add(beyondRun), time.Now().Add(beyondRun))
	return nil
}

// startAndTerminate starts a process and sends SIGTERM after a delay, usually before it is ready. The signal may kill
// the process if it does not handle signals yet.
func (c *Controller) startAndTerminate(delay time.Duration) error {
	process, err := c.launch()
	if err != nil {
		return err
	}
	time.Sleep(delay)
	now := time.Now()
	c.records.addStop(c.index, now)
	process.Signal(syscall.SIGHUP)
	process.Signal(syscall.SIGTERM)
	for !process.Exited() {
		if time.Since(now) > killDelay {
			process.Kill()
			return fmt.Errorf("controller %d has not exited %v after SIGTERM during its start", c.index, killDelay)
		}
		time.Sleep(pollInterval)
	}
	c.checkLog(process)
	return nil
}

func (c *Controller) isReady() bool {
	client, err := fake.Dial(c.address)
	if err != nil {
		return false
	}
	defer client.Conn.Close()
	ready, err := client.Ready()
	return ready && err == nil
}

func (c *Controller) setAccepting(connects, requests time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acceptsConnectionsUntil = connects
	c.acceptsRequestsUntil = requests
}

// acceptsConnections reports whether clients may connect.
func (c *Controller) acceptsConnections() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.acceptsConnectionsUntil)
}

// acceptsRequests reports whether clients may send.
func (c *Controller) acceptsRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.acceptsRequestsUntil)
}

// stopSignals are series of signals that a process may get when it is stopped: a configuration may be reloaded at the
// same time, and SIGTERM may be sent twice.
var stopSignals = [][]syscall.Signal{
	{syscall.SIGTERM},
	{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP},
	{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
}

const signalInterval = 2 * time.Millisecond

// terminate stops the process with one of the series of stopSignals, waits for its exit and records failures.
func (c *Controller) terminate(series int) {
	process := c.current()
	now := time.Now()
	c.setAccepting(now.Add(connectGrace), now.Add(beyondRun))
	c.records.addStop(c.index, now)
	for i, signal := range stopSignals[series%len(stopSignals)] {
		if i > 0 {
			time.Sleep(signalInterval)
		}
		process.Signal(signal)
	}
	c.awaitExit(process, now)
}

// killDelay is when a controller is killed if it has not exited after SIGTERM. As docs/protocol.md specifies, this is
// no sooner than the longest deadline, capped at 3 s, plus 0.7 s. Calls that are unanswered by then count as lost.
const killDelay = 3700 * time.Millisecond

// awaitExit waits for the exit of a process after SIGTERM, and kills it after killDelay. Time in which the process is
// paused does not count.
func (c *Controller) awaitExit(process *testcluster.Process, stoppedAt time.Time) {
	defer c.setAccepting(time.Time{}, time.Time{})
	for !process.Exited() {
		if time.Since(stoppedAt)-c.records.pausedSince(c.index, stoppedAt) > killDelay {
			c.records.addStopKill()
			c.checkLog(process)
			process.Kill()
			return
		}
		time.Sleep(pollInterval)
	}
	if err := process.WaitExit(); err != nil {
		c.records.addFailure(fmt.Sprintf("controller %d exits with %v: %s", c.index, err, lastLines(process.Log())))
	}
	c.checkLog(process)
}

// kill kills the process, to simulate a crash.
func (c *Controller) kill() {
	process := c.current()
	c.setAccepting(time.Time{}, time.Time{})
	c.records.addKill(c.index, time.Now())
	c.checkLog(process)
	process.Kill()
}

// pause suspends the process for a time.
func (c *Controller) pause(length time.Duration) {
	process := c.current()
	end := c.records.beginPause(c.index)
	defer end()
	process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	process.Signal(syscall.SIGCONT)
}

// syscallFaultsFile returns the path of the file from which a build with the tag fault reads its failing system calls.
func (c *Controller) syscallFaultsFile() string { return c.configFile + ".syscalls" }

// injectSyscallFault makes system calls fail for half the length of a fault, or steps the wall clock. The step of the
// clock remains.
func (c *Controller) injectSyscallFault(f Fault) error {
	errors := []string{"ENOBUFS", "ENFILE", "SLOW", "ENETUNREACH", "EADDRNOTAVAIL", "SLOW", "EHOSTUNREACH", "ETIMEDOUT"}
	steps := []string{"1h", "-1h", "5s", "-5s"}
	draw := int(f.Length / time.Millisecond)
	text := map[string]string{
		faultDialFails:   "dial " + errors[draw%len(errors)],
		faultAcceptFails: "accept " + errors[draw%2],
		faultClockStep:   "clock " + steps[draw%len(steps)],
	}[f.Kind]
	if err := os.WriteFile(c.syscallFaultsFile(), []byte(text), 0o600); err != nil {
		return err
	}
	from := time.Now()
	time.Sleep(f.Length / 2)
	if f.Kind == faultClockStep {
		return nil
	}
	if f.Kind == faultAcceptFails {
		defer func() { c.records.addAcceptOutage(c.index, Interval{From: from, To: time.Now()}) }()
	}
	return os.WriteFile(c.syscallFaultsFile(), nil, 0o600)
}

// sighupsPerMove is how many SIGHUPs are sent for a new configuration.
const sighupsPerMove = 5

// moveFeed writes a configuration with the other feed server and sends SIGHUP.
func (c *Controller) moveFeed() error {
	if err := c.writeConfig(1); err != nil {
		return err
	}
	process := c.current()
	for range sighupsPerMove {
		process.Signal(syscall.SIGHUP)
	}
	return nil
}

// failureTexts are log texts that show a failure of the program.
var failureTexts = []string{
	"panic:", "fatal error", "rule_violated", "answer_overdue", "module_fault", "rules_violated=", "DATA RACE",
}

// connClose matches the log line that says why a connection was closed, and whether calls were open or input unread.
var connClose = regexp.MustCompile(`msg=client_conn_closed reason=(\S+) address=(\S+) (open_calls=\d+ unread=\w+)`)

// closedIdle is the logged reason for the close of an idle connection without open calls or unread input.
const closedIdle = "idle open_calls=0 unread=false"

// checkLog records the lines of a process's log that show a failure, and the connections that it closed.
func (c *Controller) checkLog(process *testcluster.Process) {
	log := process.Log()
	for line := range strings.Lines(log) {
		for _, fault := range failureTexts {
			if strings.Contains(line, fault) {
				c.records.addFailure(fmt.Sprintf("controller %d logs %s", c.index, strings.TrimSpace(line)))
			}
		}
	}
	for _, match := range connClose.FindAllStringSubmatch(log, -1) {
		reason, address, found := match[1], match[2], match[3]
		c.records.addCloseReason(c.index, address, reason+" "+found)
	}
}

// saveLog appends the process's log to a file in a directory.
func (c *Controller) saveLog(folder string) {
	path := filepath.Join(folder, fmt.Sprintf("c%d.log", c.index))
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return // the check does not need the file
	}
	defer file.Close()
	_, _ = file.WriteString(c.current().Log()) // likewise
}

// lastLines returns the end of a log.
func lastLines(log string) string {
	const retained = 600
	return log[max(0, len(log)-retained):]
}

package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"swiftreel/internal/fake"
	"swiftreel/internal/testcluster"
)

// Times after SIGTERM in which clients still come, as the protocol page states them, less a margin.
const (
	connectsFor = 200 * time.Millisecond
	requestsFor = 400 * time.Millisecond
)

const (
	readyWithin = 10 * time.Second
	pollEvery   = 5 * time.Millisecond
)

// Controller is a controller of a run: its process, which may be replaced. Its methods that act on the process are for
// one goroutine; those that clients call are safe for concurrent use.
type Controller struct {
	index      int
	count      int
	address    string // for clients
	configFile string
	program    string
	env        []string
	records    *Records
	feed       *Feed
	entrances  []*entrance // the feed's places
	place      int         // of the feed now

	process *testcluster.Process

	mu         sync.Mutex
	acceptsNew time.Time // clients connect until then
	accepts    time.Time // clients send until then
}

// farAhead is later than any run lasts.
const farAhead = 24 * time.Hour

// writeConfig writes the configuration, with all events so far.
func (c *Controller) writeConfig() error {
	known := c.feed.known(c.index)
	text := fmt.Sprintf(configText, fmt.Sprint("c", c.index), c.address, c.index+1, memoryLimitMB, maxDescriptors,
		c.entrances[c.place].listener.Addr(), len(known), strings.Join(known, ","), settings(c.count, c.index))
	return os.WriteFile(c.configFile, []byte(text), 0o600)
}

// start starts a process and waits until it is ready.
func (c *Controller) start() error {
	if err := c.writeConfig(); err != nil {
		return err
	}
	env := append([]string{"ROUTER_CONFIG=" + c.configFile, "FAULT_SYSCALLS=" + c.steeringFile()}, c.env...)
	c.records.addStart(c.index, time.Now())
	process, err := testcluster.StartProcess(c.program, env)
	if err != nil {
		return err
	}
	c.process = process
	for stop := time.Now().Add(readyWithin); !c.isReady(); time.Sleep(pollEvery) {
		if time.Now().After(stop) || process.Exited() {
			return fmt.Errorf("controller %d is not ready: %s", c.index, process.Log())
		}
	}
	c.setAccepting(time.Now().Add(farAhead), time.Now().Add(farAhead))
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
	c.acceptsNew = connects
	c.accepts = requests
}

// acceptsConnections reports whether clients may connect.
func (c *Controller) acceptsConnections() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.acceptsNew)
}

// acceptsRequests reports whether clients may send.
func (c *Controller) acceptsRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.accepts)
}

// terminate sends SIGTERM, waits for the end and records what was wrong with it.
func (c *Controller) terminate() {
	now := time.Now()
	c.setAccepting(now.Add(connectsFor), now.Add(requestsFor))
	c.records.addStop(c.index, now)
	c.process.Signal(syscall.SIGTERM)
	c.awaitEnd(now)
}

const (
	// killedAfter is when a controller that has not ended is killed after SIGTERM: 3.7 s as the protocol page states it,
	// and a margin for busy machines. What it owes by then, it owes its clients.
	killedAfter = 4 * time.Second
	// exitWithin is how long a controller that is not killed may take to end.
	exitWithin = 8 * time.Second
)

// awaitEnd waits for the end of a process that was told to end. Every other controller is killed if it has not ended
// by then; the time goes on while it is paused.
func (c *Controller) awaitEnd(stoppedAt time.Time) {
	for !c.process.Exited() {
		waited := time.Since(stoppedAt) - c.records.pausedSince(c.index, stoppedAt)
		if c.index%2 == 0 && waited > killedAfter {
			c.records.addStopKill()
			c.checkLog()
			c.process.Kill()
			return
		}
		if waited > exitWithin {
			c.records.addFailure(fmt.Sprintf("controller %d has not ended %v after SIGTERM", c.index, exitWithin))
			c.process.Kill()
			return
		}
		time.Sleep(pollEvery)
	}
	if err := c.process.WaitExit(); err != nil {
		c.records.addFailure(fmt.Sprintf("controller %d ends with %v: %s", c.index, err, lastLines(c.process.Log())))
	}
	c.checkLog()
}

// kill ends the process as a crash does.
func (c *Controller) kill() {
	c.setAccepting(time.Time{}, time.Time{})
	c.records.addKill(c.index, time.Now())
	c.checkLog()
	c.process.Kill()
}

// pause stops the process for a time.
func (c *Controller) pause(length time.Duration) {
	process := c.process
	from := time.Now()
	process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	process.Signal(syscall.SIGCONT)
	c.records.addPause(c.index, Interval{from, time.Now()})
}

// steeringFile is where a build with the tag fault reads which system calls fail.
func (c *Controller) steeringFile() string { return c.configFile + ".syscalls" }

// steer has system calls fail for the length of a fault, or sets the wall clock: that stays.
func (c *Controller) steer(t Fault) error {
	errors := []string{"ENOBUFS", "ENFILE", "SLOW", "ENETUNREACH", "EADDRNOTAVAIL", "SLOW", "EHOSTUNREACH", "ETIMEDOUT"}
	steps := []string{"1h", "-1h", "5s", "-5s"}
	draw := int(t.Length / time.Millisecond)
	text := map[string]string{
		faultDialFails:   "dial " + errors[draw%len(errors)],
		faultAcceptFails: "accept " + errors[draw%2],
		faultClockStep:   "clock " + steps[draw%len(steps)],
	}[t.Kind]
	if err := os.WriteFile(c.steeringFile(), []byte(text), 0o600); err != nil {
		return err
	}
	from := time.Now()
	time.Sleep(t.Length / 2)
	if t.Kind == faultClockStep {
		return nil
	}
	if t.Kind == faultAcceptFails {
		defer func() { c.records.addAcceptOutage(c.index, Interval{From: from, To: time.Now()}) }()
	}
	return os.WriteFile(c.steeringFile(), nil, 0o600)
}

// move writes a configuration by which the feed is elsewhere, and sends SIGHUP.
func (c *Controller) move() error {
	c.place = (c.place + 1) % len(c.entrances)
	if err := c.writeConfig(); err != nil {
		return err
	}
	c.process.Signal(syscall.SIGHUP)
	return nil
}

// failureTexts are texts of a log that show a fault of the program.
var failureTexts = []string{
	"panic:", "fatal error", "rule_violated", "answer_overdue", "module_fault", "rules_violated=", "DATA RACE",
}

// checkLog records the lines of the process's log that show a fault.
func (c *Controller) checkLog() {
	for line := range strings.Lines(c.process.Log()) {
		for _, fault := range failureTexts {
			if strings.Contains(line, fault) {
				c.records.addFailure(fmt.Sprintf("controller %d logs %s", c.index, strings.TrimSpace(line)))
			}
		}
	}
}

// saveLog writes the process's log into a folder.
func (c *Controller) saveLog(folder string) {
	path := filepath.Join(folder, fmt.Sprintf("c%d.log", c.index))
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return // the verdict does not depend on it
	}
	defer file.Close()
	_, _ = file.WriteString(c.process.Log()) // likewise
}

// lastLines is the end of a log.
func lastLines(log string) string {
	const retained = 600
	return log[max(0, len(log)-retained):]
}

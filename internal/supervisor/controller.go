package supervisor

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"regexp"
	"sync"
	"syscall"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/handover"
	"swiftreel/internal/jobstats"
)

const (
	// operatorFileVariable is the environment variable that holds the path of a controller's operator file.
	operatorFileVariable = "ROUTER_OPERATOR"
	logBufferBytes       = 64 << 10
)

// reportAddressLine matches the log line in which a controller announces the address of its report, and whether it
// links to the process that it replaces. Controllers of earlier versions do not.
var reportAddressLine = regexp.MustCompile(`msg=serving_tally address=(\S+)(?: handover=(\d+))?`)

// controller is a process of the controller program. It is owned by the goroutine of Run, except for the fields that
// are marked as guarded by the supervisor's lock.
type controller struct {
	command        *exec.Cmd
	program        change.Program
	operatorFile   string
	config         controllerConfig // the contents of operatorFile
	startedAt      time.Time
	drainStartedAt time.Time     // when SIGTERM was sent
	exited         chan struct{} // closed once the process has exited
	exitErr        error         // set before exited is closed

	report            jobstats.Report // the last one received; guarded by the supervisor's lock
	appliedAssignment assignmentID    // the assignment whose share the process applies; guarded by the supervisor's lock
	successorNoticed  bool            // it knows that a successor runs that does not link to it

	onAddress func() // called once the address is known
	mu        sync.Mutex
	address   string // host:port where the process serves its report; empty until the process has logged it
	links     bool   // it links to the process that it replaces
}

// start starts the process and copies its log to logOutput until it exits.
func (c *controller) start(environment []string, logOutput io.Writer) error {
	reader, writer, err := os.Pipe()
	if err != nil {
		return err
	}
	c.command = exec.Command(c.program.Path)
	c.command.Env = environment
	c.command.Stdout = logOutput
	c.command.Stderr = writer
	err = c.command.Start()
	_ = writer.Close() // the process has its own copy
	if err != nil {
		_ = reader.Close() // nothing was written to it
		return err
	}
	go c.awaitExit(reader, logOutput)
	return nil
}

// awaitExit copies the log until the process closes it, then waits for the process to exit.
func (c *controller) awaitExit(log io.ReadCloser, logOutput io.Writer) {
	c.copyLog(log, logOutput)
	_ = log.Close() // it was read to the end
	c.exitErr = c.command.Wait()
	close(c.exited)
}

func (c *controller) copyLog(log io.Reader, logOutput io.Writer) {
	lines := bufio.NewReaderSize(log, logBufferBytes)
	for {
		line, err := lines.ReadString('\n')
		if match := reportAddressLine.FindStringSubmatch(line); match != nil {
			c.setAddress(match[1], match[2] != "")
		}
		_, _ = io.WriteString(logOutput, line) // a failing log writer must not stop the controller
		if err != nil {
			return
		}
	}
}

func (c *controller) setAddress(address string, links bool) {
	c.mu.Lock()
	c.address = address
	c.links = links
	c.mu.Unlock()
	c.onAddress()
}

// servesUnlinked reports whether the process may admit jobs without a link to the process that it replaces.
func (c *controller) servesUnlinked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.address != "" && !c.links
}

// identity identifies the process for its successor; false until its address is known.
func (c *controller) identity() (handover.Predecessor, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return handover.Predecessor{PID: c.command.Process.Pid, Address: c.address}, c.address != ""
}

func (c *controller) hasExited() bool {
	select {
	case <-c.exited:
		return true
	default:
		return false
	}
}

// reload makes the process read its operator file again.
func (c *controller) reload() {
	_ = c.command.Process.Signal(syscall.SIGHUP) // fails only after the process has exited, which reapExited detects
}

// terminate makes the process finish its outstanding jobs and exit.
func (c *controller) terminate() {
	_ = c.command.Process.Signal(syscall.SIGTERM) // fails only after the process has exited
}

// kill kills the process and waits for it to exit.
func (c *controller) kill() {
	_ = c.command.Process.Kill() // fails only after the process has exited
	<-c.exited
}

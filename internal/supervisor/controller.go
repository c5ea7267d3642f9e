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
	"swiftreel/internal/jobstats"
)

const (
	// operatorFileVariable tells a controller its operator file.
	operatorFileVariable = "ROUTER_OPERATOR"
	logBufferBytes       = 64 << 10
)

// reportAddressLine is the log line by which a controller says where it serves its report.
var reportAddressLine = regexp.MustCompile(`msg=serving_tally address=(\S+)`)

// controller is a process of the controller program. Run's goroutine owns it; fields under the supervisor's lock say
// so.
type controller struct {
	command        *exec.Cmd
	program        change.Program
	operatorFile   string
	config         controllerConfig // what operatorFile says
	startedAt      time.Time
	drainStartedAt time.Time     // when SIGTERM was sent
	exited         chan struct{} // closed once the process has exited
	exitErr        error         // set before exited is closed

	report    jobstats.Report // the last one; under the supervisor's lock
	shareFrom assignmentID    // whose share the process has taken over; under the supervisor's lock

	mu      sync.Mutex
	address string // of its report; empty until it has logged it
}

// start starts the process. What it logs is copied to logOutput until it exits.
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
	_ = writer.Close() // the process has a copy of its own
	if err != nil {
		_ = reader.Close() // nothing was written to it
		return err
	}
	go c.awaitExit(reader, logOutput)
	return nil
}

// awaitExit copies the log until the process closes it, then waits for its exit.
func (c *controller) awaitExit(log io.ReadCloser, logOutput io.Writer) {
	c.copyLog(log, logOutput)
	_ = log.Close() // all of it has been read
	c.exitErr = c.command.Wait()
	close(c.exited)
}

func (c *controller) copyLog(log io.Reader, logOutput io.Writer) {
	lines := bufio.NewReaderSize(log, logBufferBytes)
	for {
		line, err := lines.ReadString('\n')
		if match := reportAddressLine.FindStringSubmatch(line); match != nil {
			c.mu.Lock()
			c.address = match[1]
			c.mu.Unlock()
		}
		_, _ = io.WriteString(logOutput, line) // a log that cannot be written must not stop the controller
		if err != nil {
			return
		}
	}
}

// hasExited reports whether the process has exited.
func (c *controller) hasExited() bool {
	select {
	case <-c.exited:
		return true
	default:
		return false
	}
}

// reload has the process read its operator file again.
func (c *controller) reload() {
	_ = c.command.Process.Signal(syscall.SIGHUP) // fails only once the process has exited, which is noticed elsewhere
}

// terminate has the process finish what it owes and exit.
func (c *controller) terminate() {
	_ = c.command.Process.Signal(syscall.SIGTERM) // fails only once the process has exited
}

// kill ends the process and waits for its exit.
func (c *controller) kill() {
	_ = c.command.Process.Kill() // fails only once the process has exited
	<-c.exited
}

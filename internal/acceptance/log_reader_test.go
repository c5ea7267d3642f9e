package acceptance

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// sighupsToFillPipe is a number of log lines, of over 100 bytes each, that exceeds the capacity of a pipe.
const sighupsToFillPipe = 1200

// startWithLog starts the process with its log written to a pipe, and returns the read end.
func (c *controller) startWithLog(t *testing.T) (process *exec.Cmd, reader *os.File) {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	process = exec.CommandContext(t.Context(), program)
	process.Env = append(os.Environ(), "ROUTER_CONFIG="+c.configFile)
	process.Stderr = writer
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close() // the process has its own copy
	t.Cleanup(func() {
		_ = process.Process.Kill() // it may have exited
		_ = reader.Close()         // it may be closed already
	})
	return process, reader
}

// serves reports whether a job is served.
func (c *controller) serves(t *testing.T, id string) bool {
	t.Helper()
	client := c.dial(t)
	sendJob(t, client, id, 10)
	answer, err := client.Read(answerTimeout)
	return err == nil && answer.Error == ""
}

// The reader of the log closes the pipe, and the controller logs more lines. Jobs must still be served, and SIGTERM
// must lead to a clean exit.
func TestALogReaderThatGoesAwayEndsNothing(t *testing.T) {
	engine := startEngine(t, time.Millisecond, false)
	c := newController(t, 1, 0)
	c.writeConfig(freeAddress(t), listEvent(endpoint("e1", engine.Address(), "ready", 0)))
	process, reader := c.startWithLog(t)
	waitFor(t, "not ready", c.ready)
	_ = reader.Close()
	for range 10 {
		_ = process.Process.Signal(syscall.SIGHUP) // each reload logs a line
		if !c.serves(t, jobID(1)) {
			t.Fatal("a job is not served after the log reader closed the pipe")
		}
	}
	_ = process.Process.Signal(syscall.SIGTERM)
	awaitExit(t, process)
}

// awaitExit waits for a clean exit of a process.
func awaitExit(t *testing.T, process *exec.Cmd) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("process exits with %v", err)
		}
	case <-time.After(conditionTimeout):
		t.Error("process does not exit")
		_ = process.Process.Kill() // so that Wait returns
	}
}

// The reader of the log hangs, and log lines queue up behind the full pipe. Jobs must still be served, and SIGTERM must
// lead to a clean exit.
func TestALogThatNobodyReadsHoldsUpNothing(t *testing.T) {
	engine := startEngine(t, time.Millisecond, false)
	c := newController(t, 1, 0)
	c.writeConfig(freeAddress(t), listEvent(endpoint("e1", engine.Address(), "ready", 0)))
	process, reader := c.startWithLog(t)
	waitFor(t, "not ready", c.ready)
	fillPipe(t, process)
	if !c.serves(t, jobID(2)) {
		t.Fatal("a job is not served while the pipe is full")
	}
	_ = process.Process.Signal(syscall.SIGTERM)
	awaitExit(t, process)
	_ = reader.Close()
}

// fillPipe makes the process log at least as many lines as fill its pipe.
func fillPipe(t *testing.T, process *exec.Cmd) {
	t.Helper()
	for range sighupsToFillPipe {
		if err := process.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond) // so that pending signals are not merged; the assertions do not depend on it
	}
}

package acceptance

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// hangupsThatFillAPipe is how many lines, of over 100 bytes each, are more than a pipe holds.
const hangupsThatFillAPipe = 1200

// startWithLog starts the process with a pipe for its log, whose reading end the test has.
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
		_ = process.Process.Kill() // it may have ended
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

// Whoever reads the log goes away, and lines are written after it: a job is served, and SIGTERM ends in order.
func TestALogReaderThatGoesAwayEndsNothing(t *testing.T) {
	engine := startEngine(t, time.Millisecond, false)
	c := newController(t, 1, 0)
	c.writeConfig(freeAddress(t), listEvent(endpoint("e1", engine.Address(), "ready", 0)))
	process, reader := c.startWithLog(t)
	until(t, "not ready", c.ready)
	_ = reader.Close()
	for range 10 {
		_ = process.Process.Signal(syscall.SIGHUP) // each reload is a line
		if !c.serves(t, jobID(1)) {
			t.Fatal("no job is served any more")
		}
	}
	_ = process.Process.Signal(syscall.SIGTERM)
	awaitExit(t, process)
}

// awaitExit waits until a process has ended in order.
func awaitExit(t *testing.T, process *exec.Cmd) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("ends with %v", err)
		}
	case <-time.After(conditionTimeout):
		t.Error("does not end")
		_ = process.Process.Kill() // so that the wait for it ends
	}
}

// Whoever reads the log hangs: lines pile up behind a full pipe. Jobs are served, and SIGTERM ends in order.
func TestALogThatNobodyReadsHoldsUpNothing(t *testing.T) {
	engine := startEngine(t, time.Millisecond, false)
	c := newController(t, 1, 0)
	c.writeConfig(freeAddress(t), listEvent(endpoint("e1", engine.Address(), "ready", 0)))
	process, reader := c.startWithLog(t)
	until(t, "not ready", c.ready)
	fillPipe(t, process)
	if !c.serves(t, jobID(2)) {
		t.Fatal("no job is served any more")
	}
	_ = process.Process.Signal(syscall.SIGTERM)
	awaitExit(t, process)
	_ = reader.Close()
}

// fillPipe has the process log lines until its pipe is full, or many more than that.
func fillPipe(t *testing.T, process *exec.Cmd) {
	t.Helper()
	for range hangupsThatFillAPipe {
		if err := process.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond) // so that signals do not count as one; what is asserted does not depend on it
	}
}

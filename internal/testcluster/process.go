package testcluster

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
)

// maxLogBytes bounds how much of a process's log is retained; later lines are dropped.
const maxLogBytes = 8 << 20

// Process is a process of the program, with its log. It is safe for concurrent use.
type Process struct {
	command *exec.Cmd
	reader  sync.WaitGroup // goroutine that reads the log
	exited  chan struct{}
	exitErr error // valid once exited is closed

	mu  sync.Mutex
	log strings.Builder
}

// StartProcess starts a process in its own process group, so that it and its children can be killed together. It is
// killed when this process dies, for whatever reason. env is added to the environment of this process.
func StartProcess(program string, env []string, args ...string) (*Process, error) {
	p := &Process{command: exec.Command(program, args...), exited: make(chan struct{})}
	p.command.Env = append(os.Environ(), env...)
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	from, to, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p.command.Stderr = to
	err = p.command.Start()
	_ = to.Close() // the process has its own copy
	if err != nil {
		_ = from.Close() // there is no process whose log to read
		return nil, err
	}
	p.reader.Go(func() { p.readLog(from) })
	go func() {
		p.exitErr = p.command.Wait()
		close(p.exited)
	}()
	return p, nil
}

// readLog reads until all processes that hold the write end have closed it.
func (p *Process) readLog(from io.ReadCloser) {
	defer from.Close()
	lines := bufio.NewReader(from)
	for {
		line, err := lines.ReadString('\n')
		p.appendLog(line)
		if err != nil {
			return
		}
	}
}

func (p *Process) appendLog(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.log.Len() < maxLogBytes {
		p.log.WriteString(line)
	}
}

// Pid returns the process ID.
func (p *Process) Pid() int { return p.command.Process.Pid }

// Log returns the log of the process and its children so far.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// WaitExit waits until the process has exited and its log has been read, and returns the exit error.
func (p *Process) WaitExit() error {
	<-p.exited
	p.reader.Wait()
	return p.exitErr
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process, but not to its children. It has no effect if the process has exited.
func (p *Process) Signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s) // the process may have exited
}

// Kill kills the process and its children, and waits for its exit.
func (p *Process) Kill() {
	_ = syscall.Kill(-p.command.Process.Pid, syscall.SIGKILL) // they may have exited
	_ = p.WaitExit()                                          // the exit error says that it was killed
}

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

// maxLog bounds what is retained of a process's log, in bytes; later lines are dropped.
const maxLog = 8 << 20

// Process is a running process of the program, with what it has logged. It is safe for concurrent use.
type Process struct {
	command *exec.Cmd
	reader  sync.WaitGroup // of its log; ends with it
	exited  chan struct{}
	exit    error // its exit's, once exited is closed

	mu  sync.Mutex
	log strings.Builder
}

// StartProcess starts one, in a process group of its own, so that it and what it starts can be ended together. It is
// killed with this process, however that ends. env is added to the environment of this process.
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
		_ = from.Close() // nothing will be read
		return nil, err
	}
	p.reader.Go(func() { p.readLog(from) })
	go func() {
		p.exit = p.command.Wait()
		close(p.exited)
	}()
	return p, nil
}

// readLog reads until all that hold the other end have closed it.
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
	if p.log.Len() < maxLog {
		p.log.WriteString(line)
	}
}

// Pid returns the process's number.
func (p *Process) Pid() int { return p.command.Process.Pid }

// Log returns what it and what it started have logged so far.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// WaitExit waits until it has ended and all of its log is read, and returns the error of its exit.
func (p *Process) WaitExit() error {
	<-p.exited
	p.reader.Wait()
	return p.exit
}

// Exited reports whether it has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Signal signals it alone. One that has ended is none.
func (p *Process) Signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s) // it may have ended
}

// Kill kills it and what it started, and waits for its exit.
func (p *Process) Kill() {
	_ = syscall.Kill(-p.command.Process.Pid, syscall.SIGKILL) // they may have ended
	_ = p.WaitExit()                                          // killed
}

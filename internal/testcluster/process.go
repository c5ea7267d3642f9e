package testcluster

import (
	"bufio"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
)

// Process is a process of the program, with what it has said. What it says more than mostSaid is dropped.
type Process struct {
	*exec.Cmd
	reader sync.WaitGroup
	ended  chan struct{}
	err    error

	mu     sync.Mutex
	output strings.Builder
}

const maxLog = 8 << 20

// Start starts one, in a process group of its own, so that it and what it started can be ended together.
func StartProcess(program string, env []string, args ...string) (*Process, error) {
	p := &Process{Cmd: exec.Command(program, args...), ended: make(chan struct{})}
	p.Env = append(os.Environ(), env...)
	p.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	from, to, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p.Stderr = to
	err = p.Cmd.Start()
	to.Close()
	if err != nil {
		from.Close()
		return nil, err
	}
	p.reader.Go(func() {
		defer from.Close()
		for lines := bufio.NewReader(from); ; {
			line, err := lines.ReadString('\n')
			p.mu.Lock()
			if p.output.Len() < maxLog {
				p.output.WriteString(line)
			}
			p.mu.Unlock()
			if err != nil {
				return
			}
		}
	})
	go func() {
		p.err = p.Cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// Log is what it has said.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// Await ends with the process and all that it said; the error is its exit's.
func (p *Process) WaitExit() error {
	<-p.ended
	p.reader.Wait()
	return p.err
}

// Over tells whether it has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Signal signals it alone.
func (p *Process) Signal(s syscall.Signal) { p.Process.Signal(s) }

// End kills it and what it started.
func (p *Process) Kill() {
	syscall.Kill(-p.Process.Pid, syscall.SIGKILL)
	p.WaitExit()
}

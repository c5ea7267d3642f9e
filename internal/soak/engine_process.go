package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"swiftreel/internal/engine"
	"swiftreel/internal/fake"
)

// engineCapacity is the maximum number of concurrent dispatches of an engine. It refuses others as full.
const engineCapacity = 3 * engineCores

// Faults of engines. Each affects one in this many dispatches.
const (
	failsOneIn      = 40
	resetsOneIn     = 120
	truncatesOneIn  = 120 // half an answer, then a reset
	duplicatesOneIn = 60  // the answer is sent twice
)

// engineProcess is the engine that runs in a process started with EngineMain.
type engineProcess struct {
	name        string
	incarnation int
	random      *rand.Rand

	mu      sync.Mutex
	out     *json.Encoder
	running map[dispatchKey]*time.Timer
}

// dispatchKey identifies a dispatch by its connection and job ID.
type dispatchKey struct {
	session *fake.Session
	id      string
}

// EngineMain runs an engine until its process is killed. It prints its address, and then each execution as a JSON line.
func EngineMain(name string, incarnation int, seed uint64, out io.Writer) error {
	e := &engineProcess{name: name, incarnation: incarnation, random: rand.New(rand.NewPCG(seed, uint64(incarnation))),
		out: json.NewEncoder(out), running: map[dispatchKey]*time.Timer{}}
	listener, err := fake.StartEngine("127.0.0.1:0", e.handle)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out, listener.Address()); err != nil {
		return err
	}
	select {}
}

func (e *engineProcess) handle(session *fake.Session, command engine.Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := dispatchKey{session, command.ID}
	switch command.Name {
	case "stats", "alive":
		session.Answer(command.ID, "well", fmt.Sprintf("load=concurrent:%d", len(e.running)), "")
	case "fetch":
		e.begin(key, command)
	case "abort":
		if timer := e.running[key]; timer != nil {
			timer.Stop()
			delete(e.running, key)
		}
	case "more":
		if e.running[key] == nil {
			session.Answer(command.ID, "failed", "", "")
		}
	}
}

// begin refuses a dispatch, or runs it for the work time of its type. e.mu must be held.
func (e *engineProcess) begin(key dispatchKey, command engine.Command) {
	refused := len(e.running) >= engineCapacity
	began := Execution{ID: key.id, Engine: e.name, Incarnation: e.incarnation, Refused: refused, BeganAt: time.Now()}
	_ = e.out.Encode(began) // the reader may have exited at the end of the run
	if refused {
		key.session.Answer(key.id, "full", "", "")
		return
	}
	e.running[key] = time.AfterFunc(workTime[fieldValue(command.Fields, "c")], func() { e.finish(key) })
}

// finish answers a dispatch, possibly with a fault, unless it has been aborted.
func (e *engineProcess) finish(key dispatchKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[key] == nil {
		return
	}
	delete(e.running, key)
	answer := engine.AppendAnswer(nil, key.id, "data", "sheets=1,toil=20,room=4", []byte(key.id+"\tb\tc\n"))
	switch {
	case e.random.IntN(failsOneIn) == 0:
		key.session.Answer(key.id, "failed", "", "")
	case e.random.IntN(resetsOneIn) == 0:
		key.session.Reset()
	case e.random.IntN(truncatesOneIn) == 0:
		key.session.Write(answer[:len(answer)/2])
		key.session.Reset()
	case e.random.IntN(duplicatesOneIn) == 0:
		key.session.Write(append(answer, answer...))
	default:
		key.session.Write(answer)
	}
}

// fieldValue returns the value of a field of a fetch command, or an empty string.
func fieldValue(fields, name string) string {
	for field := range strings.SplitSeq(fields, ",") {
		if value, found := strings.CutPrefix(field, name+"="); found {
			return value
		}
	}
	return ""
}

// Engine is an engine of a run, with its proxy. Its process may be replaced. It is safe for concurrent use by one
// goroutine that replaces the process and others that pause it.
type Engine struct {
	name    string
	kind    string
	proxy   *Proxy
	records *Records
	program []string // command line that runs EngineMain, without the arguments of an incarnation
	seed    uint64

	faults      aspects
	incarnation int
	reading     sync.WaitGroup // goroutine that reads the process's executions

	mu      sync.Mutex
	process *exec.Cmd // nil if none is running
	paused  bool
}

// start starts a process of the engine. The previous one must have exited.
func (e *Engine) start() error {
	e.incarnation++
	args := append(e.program[1:len(e.program):len(e.program)], e.name, fmt.Sprint(e.incarnation), fmt.Sprint(e.seed))
	process := exec.CommandContext(context.Background(), e.program[0], args...)
	process.Stderr = os.Stderr
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // if the soak is killed, its engines are too
	out, err := process.StdoutPipe()
	if err != nil {
		return err
	}
	if err := process.Start(); err != nil {
		return err
	}
	e.mu.Lock()
	e.process = process
	e.mu.Unlock()
	lines := bufio.NewReader(out)
	address, err := lines.ReadString('\n')
	if err != nil {
		return fmt.Errorf("engine %s: %w", e.name, err)
	}
	e.reading.Go(func() { e.readExecutions(lines) })
	e.proxy.setTarget(strings.TrimSpace(address), e.incarnation)
	return nil
}

func (e *Engine) readExecutions(lines *bufio.Reader) {
	decoder := json.NewDecoder(lines)
	for {
		var execution Execution
		if decoder.Decode(&execution) != nil {
			return // the process was killed
		}
		e.records.addExecution(execution)
	}
}

// kill kills the process, to simulate a crash. The proxy resets new connections until the next start.
func (e *Engine) kill() {
	e.mu.Lock()
	process := e.process
	e.process = nil
	e.paused = false
	e.mu.Unlock()
	if process == nil {
		return
	}
	e.proxy.setTarget("", e.incarnation)
	_ = process.Process.Kill() // the process may have exited
	e.reading.Wait()
	_ = process.Wait() // the exit error says that it was killed
}

// pause suspends the process, so that it hangs, or resumes it.
func (e *Engine) pause(stopped bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process == nil || e.paused == stopped {
		return
	}
	e.paused = stopped
	signal := syscall.SIGCONT
	if stopped {
		signal = syscall.SIGSTOP
	}
	_ = e.process.Process.Signal(signal) // the process may have exited
}

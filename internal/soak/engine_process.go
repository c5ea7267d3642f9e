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

// engineCapacity is how many dispatches an engine runs at once; it refuses more.
const engineCapacity = 3 * engineCores

// Faults of engines, each one in so many dispatches.
const (
	failsOneIn  = 40
	resetsOneIn = 120
	cutsOneIn   = 120 // half an answer, and the end
	twiceOneIn  = 60  // the answer comes twice
)

// engineProcess is an engine's process as EngineMain runs it.
type engineProcess struct {
	name        string
	incarnation int
	random      *rand.Rand

	mu      sync.Mutex
	out     *json.Encoder
	running map[runningKey]*time.Timer
}

// runningKey names a dispatch by the connection that it came by.
type runningKey struct {
	session *fake.Session
	id      string
}

// EngineMain runs an engine until its process is ended. It prints its address, and then each execution as a line of
// JSON.
func EngineMain(name string, incarnation int, seed uint64, out io.Writer) error {
	e := &engineProcess{name: name, incarnation: incarnation, random: rand.New(rand.NewPCG(seed, uint64(incarnation))),
		out: json.NewEncoder(out), running: map[runningKey]*time.Timer{}}
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
	key := runningKey{session, command.ID}
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

// begin refuses a dispatch, or lets it run for the time of its type. The lock is held.
func (e *engineProcess) begin(key runningKey, command engine.Command) {
	refused := len(e.running) >= engineCapacity
	began := Execution{ID: key.id, Engine: e.name, Incarnation: e.incarnation, Refused: refused, BeganAt: time.Now()}
	_ = e.out.Encode(began) // its reader ends with the run
	if refused {
		key.session.Answer(key.id, "full", "", "")
		return
	}
	e.running[key] = time.AfterFunc(workTime[fieldOf(command.Fields, "c")], func() { e.finish(key) })
}

// finish answers a dispatch in one way or another, unless it was aborted meanwhile.
func (e *engineProcess) finish(key runningKey) {
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
	case e.random.IntN(cutsOneIn) == 0:
		key.session.Write(answer[:len(answer)/2])
		key.session.Reset()
	case e.random.IntN(twiceOneIn) == 0:
		key.session.Write(append(answer, answer...))
	default:
		key.session.Write(answer)
	}
}

// fieldOf returns the value of a field of a fetch.
func fieldOf(fields, name string) string {
	for field := range strings.SplitSeq(fields, ",") {
		if value, found := strings.CutPrefix(field, name+"="); found {
			return value
		}
	}
	return ""
}

// Engine is an engine of a run: its process, which may be replaced, and the way to it. It is safe for concurrent use
// by one goroutine that replaces the process and others that pause it.
type Engine struct {
	name    string
	kind    string
	proxy   *Proxy
	records *Records
	program []string // that runs EngineMain, without the figures of a incarnation
	seed    uint64

	faults      aspects
	incarnation int
	reading     sync.WaitGroup // of the process's executions

	mu      sync.Mutex
	process *exec.Cmd // nil: none runs
	paused  bool
}

// start starts a process of the engine; the one before must have ended.
func (e *Engine) start() error {
	e.incarnation++
	args := append(e.program[1:len(e.program):len(e.program)], e.name, fmt.Sprint(e.incarnation), fmt.Sprint(e.seed))
	process := exec.CommandContext(context.Background(), e.program[0], args...)
	process.Stderr = os.Stderr
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // a soak that is killed leaves none behind
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
			return // it was killed
		}
		e.records.addExecution(execution)
	}
}

// kill ends the process as a crash does. Its address refuses connections.
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
	_ = process.Process.Kill() // it may have ended
	e.reading.Wait()
	_ = process.Wait() // killed
}

// pause stops the process, or lets it go on: it hangs meanwhile.
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
	_ = e.process.Process.Signal(signal) // it may have ended
}

package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
	"swiftreel/internal/canary"
	"swiftreel/internal/counters"
	"swiftreel/internal/jobstats"
)

// transcript is what one job's function was seen to do, in order: calls to engines and to the client, events told to
// the module.
type transcript struct {
	mu    sync.Mutex
	lines []string
}

func (s *transcript) add(format string, v ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, fmt.Sprintf(format, v...))
}

func (s *transcript) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.lines)
}

// eventLog is a log handler that writes the traced events of jobs into a transcript.
type eventLog struct{ to *transcript }

func (eventLog) Enabled(context.Context, slog.Level) bool { return true }
func (h eventLog) WithAttrs([]slog.Attr) slog.Handler     { return h }
func (h eventLog) WithGroup(string) slog.Handler          { return h }

func (h eventLog) Handle(_ context.Context, r slog.Record) error {
	event, parts := "", []string{}
	r.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case "event":
			event = a.Value.String()
		case "seq", "result", "final", "bill", "note", "amount":
			parts = append(parts, fmt.Sprintf("%s=%v", a.Key, a.Value))
		}
		return true
	})
	if r.Message == "trace" && slices.Contains([]string{"answered", "noted", "client_left"}, event) {
		h.to.add("%s", strings.Join(append([]string{"module:", event}, parts...), " "))
	}
	return nil
}

// scripted stands in for engines; what becomes of a dispatch is up to the test.
type scripted struct {
	backend.Engines
	seen *transcript

	mu    sync.Mutex
	reply func(backend.Reply) // of the first dispatch still without an end
	read  func()              // the engine has read the abort
}

func (e *scripted) Start(to backend.Host, r backend.Request, reply func(backend.Reply)) backend.Dispatch {
	e.mu.Lock()
	e.reply = reply
	e.mu.Unlock()
	e.seen.add(
		"engine %s: start call=%s grant=%v priority=%d lane=%d wait=%v",
		to.Name,
		r.ID,
		r.GrantMB,
		r.Priority,
		r.Lane,
		r.Gate != nil,
	)
	return &scriptedDispatch{engines: e}
}

func (e *scripted) Probe(_ backend.Host, _ bool, _ time.Duration, reply func(backend.Reply)) {
	reply(backend.Reply{Outcome: backend.Done})
}
func (e *scripted) Release(pages [][]byte)     { e.seen.add("engine: free %d", len(pages)) }
func (e *scripted) InFlight(string) (int, int) { return 0, 0 }
func (e *scripted) CloseIdle(string)           {}
func (e *scripted) Close()                     {}

type scriptedDispatch struct {
	engines *scripted
	given   atomic.Bool
}

func (d *scriptedDispatch) Cancel(done func()) bool {
	if !d.given.CompareAndSwap(false, true) {
		return false
	}
	d.engines.mu.Lock()
	d.engines.read = done
	d.engines.mu.Unlock()
	d.engines.seen.add("engine: give up")
	return true
}

func (d *scriptedDispatch) SetPriority(priority uint8) {
	d.engines.seen.add("engine: renice %d", priority)
}

// recorder is a job's client.
type recorder struct {
	seen *transcript
	here atomic.Bool
	slow chan struct{} // if it is not nil, Throttled waits until it is closed
}

func (c *recorder) Done(pages [][]byte) { c.seen.add("client: done %d", len(pages)) }
func (c *recorder) Throttled(wait time.Duration) {
	if c.slow != nil {
		<-c.slow
	}
	c.seen.add("client: throttled %v", wait)
}
func (c *recorder) Failed(reason string)     { c.seen.add("client: failed %s", reason) }
func (c *recorder) OnDisconnect(func())      {}
func (c *recorder) Connected() bool          { return c.here.Load() }
func (c *recorder) AwaitInput(time.Duration) {}

// jobStage runs one job's function by orders that no module gave: it knows no such job, so it adds none of its own.
type jobStage struct {
	*transcript
	t       *testing.T
	gate    *Gateway
	engines *scripted
	client  *recorder
	job     *job
	engine  choice.EngineID
}

func newStage(t *testing.T, left time.Duration) *jobStage {
	t.Helper()
	seen := &transcript{}
	before := slog.Default()
	slog.SetDefault(slog.New(eventLog{seen}))
	t.Cleanup(func() { slog.SetDefault(before) })
	facts := choice.RawSettings{
		"localities": []any{"west"},
		"kinds":      []any{"std"},
		"domain":     map[string]any{"cpu_of_kind": []any{16.0}},
		"tenants":    []any{map[string]any{"name": "acme"}},
		"classes": []any{map[string]any{"name": "lookup", "idempotency": "repeatable", "aim_ns": 20e9},
			map[string]any{"name": "import", "idempotency": "once", "aim_ns": 20e9}},
		"limits": map[string]any{"cancel": true},
	}
	s := &jobStage{transcript: seen, t: t, engines: &scripted{seen: seen}, client: &recorder{seen: seen}}
	s.client.here.Store(true)
	s.gate = New(
		Options{
			Settings: facts,
			Seed:     1,
			Budget:   testBudget(),
			Trace:    true,
			Protocols: map[backend.Protocol]backend.Factory{
				backend.Line: func(backend.Limits) backend.Engines { return s.engines },
			},
		},
	)
	s.gate.UpdateEngines(engineList(t, "true", "e1"), true)
	g := s.gate
	s.job = &job{
		Request: Request{
			Type:      []byte("lookup"),
			ID:        []byte("c1"),
			Tenant:    []byte("acme"),
			ArrivedAt: time.Now(),
			Timeout:   left,
			Client:    s.client,
		},
		id:      1 << 30,
		mailbox: newMailbox(),
	}
	g.mu.Lock()
	s.engine = g.table.byName["e1"].id
	g.jobs[s.job.id], g.openCalls["c1"] = s.job, struct{}{}
	g.mu.Unlock()
	return s
}

func (s *jobStage) start() {
	s.gate.running.Add(1)
	go newJobRunner(s.gate, s.job).run()
}

func (s *jobStage) order(a choice.Action) {
	a.Job, a.Engine = s.job.id, s.engine
	s.job.mailbox.put(moduleOrder{action: a, orderedAt: time.Now()})
}

func (s *jobStage) leave() { s.job.mailbox.put(clientDisconnected{}) }

func (s *jobStage) reply(r backend.Reply) {
	s.engines.mu.Lock()
	reply := s.engines.reply
	s.engines.mu.Unlock()
	reply(r)
}

func (s *jobStage) abortRead() {
	s.engines.mu.Lock()
	read := s.engines.read
	s.engines.mu.Unlock()
	read()
}

// jobAct is something that happens to a job, and what its function then does.
type jobAct struct {
	do   func(*jobStage)
	want []string
}

func ordered(kind choice.ActionKind, change func(*choice.Action)) func(*jobStage) {
	return func(s *jobStage) {
		a := choice.Action{Kind: kind}
		if change != nil {
			change(&a)
		}
		s.order(a)
	}
}

func replied(r backend.Reply) func(*jobStage) { return func(s *jobStage) { s.reply(r) } }

// delivered is the result of an attempt, which the client still waits for.
func delivered(seq choice.AttemptSeq) jobAct {
	answered := fmt.Sprintf("module: answered seq=%d result=1 final=true bill=143379", seq)
	return jobAct{replied(result), []string{answered, "client: done 2", "engine: free 2"}}
}

func terms(priority uint8, grant float64) func(*jobStage) {
	return ordered(choice.SetDispatchOptions, func(a *choice.Action) { a.Priority, a.MemoryMB = priority, grant })
}

func retract(seq choice.AttemptSeq) func(*jobStage) {
	return ordered(choice.CancelAttempt, func(a *choice.Action) { a.Seq = seq })
}

var (
	dispatched = jobAct{
		ordered(choice.Dispatch, nil),
		[]string{"engine e1: start call=c1 grant=0 priority=1 lane=0 wait=true"},
	}
	throttled = jobAct{
		ordered(choice.Throttle, func(a *choice.Action) { a.Duration = 1e9 }),
		[]string{"client: throttled 1s"},
	}
	cancelled = jobAct{ordered(choice.CancelPermanently, nil), []string{"client: failed cancelled for good"}}
	result    = backend.Reply{Outcome: backend.Done, Pages: [][]byte{{1}, {2}}, WorkMS: 35, MemoryMB: 76}
)

func TestAJobFollowsTheModulesOrders(t *testing.T) {
	for _, c := range []struct {
		name    string
		acts    []jobAct
		counter string // rises by one
		work    canary.JobCounts
	}{
		{name: "done", work: canary.JobCounts{Jobs: 1, WithinSLA: 1, Done: 1, Dispatches: 1},
			acts: []jobAct{dispatched,
				delivered(0)}},
		{name: "failed, then sent once more",
			work: canary.JobCounts{Jobs: 1, WithinSLA: 1, Done: 1, Dispatches: 2, Retries: 1},
			acts: []jobAct{dispatched,
				{replied(backend.Reply{Outcome: backend.Failed}), []string{"module: answered seq=0 result=2 final=false bill=0"}},
				dispatched,
				delivered(1)}},
		{name: "never sent", work: canary.JobCounts{Jobs: 1, Throttled: 1}, acts: []jobAct{throttled}},
		{name: "full, then throttled", work: canary.JobCounts{Jobs: 1, Throttled: 1, Dispatches: 1},
			acts: []jobAct{dispatched,
				{replied(backend.Reply{Outcome: backend.Full}), []string{"module: answered seq=0 result=3 final=false bill=0"}},
				throttled}},
		{name: "not connected, reset, superseded", work: canary.JobCounts{Jobs: 1, Cancelled: 1, Dispatches: 3, Retries: 2},
			acts: []jobAct{dispatched,
				{replied(backend.Reply{Outcome: backend.NotConnected}),
					[]string{"module: answered seq=0 result=5 final=false bill=0"}}, dispatched,
				{replied(backend.Reply{Outcome: backend.Reset}), []string{"module: answered seq=1 result=6 final=false bill=0"}},
				dispatched,
				{replied(backend.Reply{Outcome: backend.Superseded}),
					[]string{"module: answered seq=2 result=8 final=false bill=0"}}, cancelled}},
		{name: "progress is passed on", work: canary.JobCounts{Jobs: 1, WithinSLA: 1, Done: 1, Dispatches: 1},
			acts: []jobAct{dispatched,
				{replied(backend.Reply{Notice: "frac", Amount: 0.5}), []string{"module: noted seq=0 note=1 amount=0.5"}},
				{replied(backend.Reply{Notice: "missing", Amount: 12}), []string{"module: noted seq=0 note=2 amount=12"}},
				{replied(backend.Reply{Notice: "parked", Amount: 3}), []string{"module: noted seq=0 note=3 amount=3"}},
				{replied(backend.Reply{Notice: "other"}), nil},
				delivered(0)}},
		{name: "terms before and while it is out", work: canary.JobCounts{Jobs: 1, WithinSLA: 1, Done: 1, Dispatches: 1},
			acts: []jobAct{
				{terms(3, 64), nil},
				{ordered(choice.Dispatch, nil), []string{"engine e1: start call=c1 grant=64 priority=3 lane=0 wait=true"}},
				{terms(5, 64), []string{"engine: renice 5"}}, {terms(5, 96), nil},
				delivered(0)}},
		{name: "retracted, then cancelled", work: canary.JobCounts{Jobs: 1, Cancelled: 1, Dispatches: 1},
			acts: []jobAct{dispatched,
				{retract(9), nil}, // of no dispatch: what follows is seen first
				{replied(backend.Reply{Notice: "frac", Amount: 0.5}), []string{"module: noted seq=0 note=1 amount=0.5"}},
				{retract(0), []string{"engine: give up"}},
				{(*jobStage).abortRead, []string{"module: answered seq=0 result=7 final=false bill=0"}},
				{retract(0), nil}, cancelled}},
		{name: "retracted, but done before the engine read so",
			work: canary.JobCounts{Jobs: 1, WithinSLA: 1, Done: 1, Dispatches: 1},
			acts: []jobAct{dispatched,
				{retract(0), []string{"engine: give up"}},
				delivered(0)}},
		{name: "a reply after the retracted one's end", counter: "replies_late",
			work: canary.JobCounts{Jobs: 1, Throttled: 1, Dispatches: 1},
			acts: []jobAct{dispatched,
				{retract(0), []string{"engine: give up"}},
				{(*jobStage).abortRead, []string{"module: answered seq=0 result=7 final=false bill=0"}},
				{replied(result), []string{"engine: free 2"}}, throttled}},
		{name: "a dispatch past its time limit", work: canary.JobCounts{Jobs: 1, Throttled: 1, Dispatches: 1},
			acts: []jobAct{
				{ordered(choice.Dispatch, func(a *choice.Action) { a.Duration = 1 }),
					[]string{"engine e1: start call=c1 grant=0 priority=1 lane=0 wait=true", "engine: give up"}},
				{(*jobStage).abortRead, []string{"module: answered seq=0 result=4 final=false bill=0"}}, throttled}},
		{name: "throttled while a dispatch is out", work: canary.JobCounts{Jobs: 1, Throttled: 1, Dispatches: 1},
			acts: []jobAct{dispatched, throttled,
				{replied(result), []string{"module: answered seq=0 result=1 final=true bill=143379", "engine: free 2"}}}},
		{name: "a second final answer is not given", work: canary.JobCounts{Jobs: 1, Throttled: 1, Dispatches: 1},
			acts: []jobAct{dispatched, throttled,
				{ordered(choice.CancelPermanently, nil), nil}, {ordered(choice.Throttle, nil), nil},
				{replied(backend.Reply{Outcome: backend.Failed}), []string{"module: answered seq=0 result=2 final=true bill=0"}}}},
		{name: "left before it is sent", work: canary.JobCounts{Jobs: 1},
			acts: []jobAct{{(*jobStage).leave, []string{"module: client_left"}}}},
		{name: "left while a dispatch is out", work: canary.JobCounts{Jobs: 1, Dispatches: 1},
			acts: []jobAct{dispatched,
				{(*jobStage).leave, []string{"module: client_left"}}, {retract(0), []string{"engine: give up"}},
				{(*jobStage).abortRead, []string{"module: answered seq=0 result=7 final=true bill=0"}}}},
		{name: "left, then done all the same", work: canary.JobCounts{Jobs: 1, Dispatches: 1},
			acts: []jobAct{dispatched,
				{(*jobStage).leave, []string{"module: client_left"}}, {(*jobStage).leave, nil},
				{replied(result), []string{"module: answered seq=0 result=1 final=true bill=143379", "engine: free 2"}}}},
		{name: "a dispatch ordered when the client has gone", counter: "dispatches_client_gone",
			work: canary.JobCounts{Jobs: 1, Dispatches: 1},
			acts: []jobAct{
				{func(s *jobStage) { s.client.here.Store(false); s.order(choice.Action{Kind: choice.Dispatch}) },
					[]string{"module: client_left", "module: answered seq=0 result=8 final=true bill=0"}}}},
	} {
		t.Run(c.name, func(t *testing.T) { play(t, time.Minute, c.acts, c.counter, c.work) })
	}
}

// play goes through the acts of one job, each once the one before has shown, and looks at what stays.
func play(t *testing.T, left time.Duration, acts []jobAct, counter string, work canary.JobCounts) {
	t.Helper()
	s := newStage(t, left)
	recorder := jobstats.NewRecorder()
	s.gate.SetStats(recorder)
	before := counters.Value(counter)
	s.start()
	var want []string
	for _, a := range acts {
		want = append(want, a.want...)
		a.do(s)
		eventually(t, fmt.Sprintf("seen %q, want %q", s.seen(), want), func() bool { return len(s.seen()) >= len(want) })
	}
	s.gate.Close() // waits for the job's function
	if got := s.seen(); !slices.Equal(got, want) {
		t.Errorf("seen\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if counter != "" && counters.Value(counter) != before+1 {
		t.Errorf("%s counted %d times", counter, counters.Value(counter)-before)
	}
	var r jobstats.Report
	recorder.FillReport(&r)
	got := r.JobCounts[canary.Group{Type: "lookup", Tenant: "acme"}]
	got.LatencyBuckets = nil
	if fmt.Sprint(got) != fmt.Sprint(work) {
		t.Errorf("counted %+v, want %+v", got, work)
	}
}

// A client that takes its answer slowly does not delay the cancelling of what is still in flight.
func TestASlowClientDelaysNoCancelling(t *testing.T) {
	s := newStage(t, time.Minute)
	s.client.slow = make(chan struct{})
	s.start()
	s.order(choice.Action{Kind: choice.Dispatch})
	s.order(choice.Action{Kind: choice.Throttle})
	s.order(choice.Action{Kind: choice.CancelAttempt})
	eventually(t, "not cancelled", func() bool { return slices.Contains(s.seen(), "engine: give up") })
	close(s.client.slow)
	s.abortRead()
	s.gate.Close()
	want := []string{"client: throttled 0s", "module: answered seq=0 result=7 final=true bill=0"}
	for _, line := range want {
		eventually(t, "no "+line, func() bool { return slices.Contains(s.seen(), line) })
	}
}

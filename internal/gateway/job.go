package gateway

import (
	"fmt"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
	"swiftreel/internal/canary"
	"swiftreel/internal/counters"
	"swiftreel/internal/failpoint"
	"swiftreel/internal/invariant"
	"swiftreel/internal/jobstats"
	"swiftreel/internal/statement"
)

// Ask is a job asked for, by whatever protocol. Its parts are its own.
type Ask struct {
	Type, ID, Tenant, Key, Statement []byte
	Idempotency                      []byte        // its key, passed on as it is; empty: none
	Left                             time.Duration // the job timeout, counted from At
	At                               time.Time
	Repeat                           bool          // a client's repeat
	Work                             time.Duration // 0: no estimate
	MemoryMB                         float64
	Protocol                         backend.Protocol // of the engines that can run it
	Group                            uint32           // of tables; for the line protocol the statement tells it
	From                             Asker
}

// Reasons of Failed that every front may put into its own words; any other tells why a call is unusable.
const (
	ForGood  = "cancelled for good"
	TimedOut = "job timeout"
)

// Asker gets the one final answer of a job, and tells if the client leaves before it.
type Asker interface {
	Done(pages [][]byte) // keeps nothing of them
	Throttled(wait time.Duration)
	Failed(reason string)
	OnLeave(func())
	Here() bool // whether the client is still there, looked at anew; it never waits
}

// job is one that was taken and whose function has not returned.
type job struct {
	Ask
	id choice.JobID
	in *inbox
}

// message is what a job's function waits for: an order of the module, or word of a dispatch, or the client's leave.
type message struct {
	order choice.Action
	at    time.Time // of the order
	from  *sent
	reply backend.Reply
	given choice.Result // given up, as this, and the engine had time to read so
	left  bool
}

// sent is a dispatch of the job.
type sent struct {
	seq    choice.AttemptSeq
	engine choice.EngineID
	at     time.Time
	link   backend.Dispatch
}

// Take takes a job: the module is told of it in the order of arrival, then its function is on its own.
func (g *Gateway) Take(a Ask) {
	ev, err := g.arrival(a)
	if err != nil {
		counters.Increment("calls_refused")
		a.From.Failed(err.Error())
		return
	}
	j := &job{Ask: a, in: newInbox()}
	g.mu.Lock()
	_, twice := g.calls[string(a.ID)]
	if twice || failpoint.Refuses(string(a.Type)) || !g.place(a.Protocol) {
		g.mu.Unlock()
		if twice { // engines tell dispatches apart by this id
			counters.Increment("calls_twice")
			a.From.Failed("a call with this id is open")
		} else {
			counters.Increment("turned_away")
			g.count(&job{Ask: a}, jobstats.Throttled, 0, 0)
			a.From.Throttled(0)
		}
		return
	}
	for g.lastID++; g.jobs[g.lastID] != nil; g.lastID++ { // numbers come round after 2^32 jobs
	}
	j.id, ev.Job = g.lastID, g.lastID
	g.jobs[j.id], g.calls[string(j.ID)] = j, struct{}{}
	g.running.Add(1)
	rest := g.decide(ev)
	g.mu.Unlock()
	g.carry(rest)
	g.trace.note(j.id, "call", string(a.ID))
	a.From.OnLeave(func() { j.in.put(message{left: true}) })
	go g.life(j)
}

// travels is what a call needed to come here and its answer needs to go: seen on sockets, answers given 2 ms before the
// job timeout came after it.
const travels = 5 * time.Millisecond

// arrival puts a call into the module's terms.
func (g *Gateway) arrival(a Ask) (choice.Event, error) {
	t, known := g.names.types[string(a.Type)]
	if !known {
		return choice.Event{}, fmt.Errorf("no such method")
	}
	tenant, known := g.names.tenants[string(a.Tenant)]
	if !known && len(g.names.tenants) > 0 {
		return choice.Event{}, fmt.Errorf("no such tenant")
	}
	if most := g.rules.mostLeft(t); a.Left > most {
		return choice.Event{}, fmt.Errorf("a job timeout over %v", most)
	}
	if a.MemoryMB > g.rules.mostMB {
		return choice.Event{}, fmt.Errorf("more memory than any engine has")
	}
	tables, found := a.Group, true
	if a.Protocol == backend.Line {
		tables, found = statement.Group(a.Statement)
	}
	if !found && g.rules.tables(t) {
		return choice.Event{}, fmt.Errorf("the statement names no group of tables")
	}
	return choice.Event{Kind: choice.JobArrived, Type: t, Tenant: tenant, Key: keyOf(a.Key),
		TimeLeft: choice.Nanos(a.Left - min(travels, a.Left/10) - time.Since(a.At)), Cost: choice.Nanos(a.Work), CostKnown: a.Work > 0,
		IsRepeat: a.Repeat, MemoryMB: a.MemoryMB, Tables: choice.TableGroup(tables), RequiredProtocols: needs(a.Protocol),
		IsWrite: int(t) < len(g.rules.writes) && g.rules.writes[t] == true}, nil
}

// life is a job's, from its arrival to its last outcome. The module is told at each point of choice; what it
// orders comes through the inbox, and nothing else decides what is sent or answered.
func (g *Gateway) life(j *job) {
	defer g.running.Done()
	var (
		now      *sent // the dispatch that is out: the module has one at a time
		count    choice.AttemptSeq
		priority = uint8(1)
		grant    float64
		answered bool
		lost     = j.At.Add(j.Left)
		timer    = time.NewTimer(time.Until(lost))
		limit    = lost // of the dispatch that is out
	)
	defer timer.Stop()
	// giveUp takes back the dispatch that is out. Its outcome is told once the engine has read the abort, and a step
	// later, as on the simulator's wire: what is sent upon it over another connection must not overtake the abort.
	giveUp := func(result choice.Result) {
		s := now
		s.link.GiveUp(func() {
			time.AfterFunc(g.rules.step, func() { j.in.put(message{from: s, given: result}) })
		})
	}
	// ended tells the module an outcome, and whether the job is over with it.
	ended := func(s *sent, result choice.Result, r backend.Reply) {
		now, limit = nil, lost
		answered = answered || result == choice.Done
		g.tell(choice.Event{Kind: choice.AttemptEnded, Job: j.id, Seq: s.seq, Engine: s.engine, Result: result,
			Latency: choice.Nanos(time.Since(s.at)), IsFinal: answered, Usage: bill(r), Load: g.rules.load(r.Load)})
	}
	// answer writes the final answer. A slow client must not hold up the taking back of what is still out.
	answer := func(how jobstats.How, write func()) {
		if answered {
			return
		}
		g.answered(j)
		g.count(j, how, count, 0)
		if answered = true; now != nil {
			go write()
		} else {
			write()
		}
	}
	// left is over with a job whose client has gone.
	left := func() {
		if !answered {
			answered = true
			g.answered(j)
			g.count(j, jobstats.Left, count, 0)
			g.tell(choice.Event{Kind: choice.ClientDisconnected, Job: j.id})
		}
	}
	for !answered || now != nil || !g.forget(j) {
		m, is := j.in.next()
		if !is {
			select {
			case <-j.in.bell:
			case <-timer.C:
				if now != nil && !time.Now().Before(limit) {
					giveUp(choice.TimedOut)
				}
				if !answered && time.Now().After(lost.Add(g.rules.slack)) {
					g.overdue.Warn("answer_overdue", "job", j.id, "call", string(j.ID), "late_ms", time.Since(lost).Milliseconds())
					invariant.Check(false, "answers_overdue")
					g.tell(choice.Event{Kind: choice.ClientDisconnected, Job: j.id})
					answer(jobstats.Cancelled, func() { j.From.Failed(TimedOut) })
				}
				timer.Reset(max(g.rules.slack/4, time.Until(limit)))
			}
			continue
		}
		switch {
		case m.left:
			left()
		case m.given != 0:
			ended(m.from, m.given, backend.Reply{})
		case m.from != nil:
			if m.from != now {
				counters.Increment("replies_late")
				g.pool.Free(m.reply.Pages)
				break
			}
			s, r := now, m.reply
			if r.End == backend.Open {
				g.noted(j, s, r)
				break
			}
			owed := !answered
			ended(s, results[r.End], r)
			if r.End == backend.Done {
				if owed {
					g.answered(j)
					if time.Sleep(failpoint.Slow(time.Since(j.At))); failpoint.Fails(string(j.Type), func() string { h, _ := g.host(s.engine, j.Protocol); return string(h.Name) }) {
						g.count(j, jobstats.Cancelled, count, 0)
						j.From.Failed(ForGood)
					} else {
						g.count(j, jobstats.Done, count, r.WorkMS)
						j.From.Done(r.Pages)
					}
				}
				g.pool.Free(r.Pages)
			}
		case m.order.Kind == choice.SetDispatchOptions:
			grant = m.order.MemoryMB
			if now != nil && m.order.Priority != priority {
				now.link.Renice(m.order.Priority)
			}
			priority = m.order.Priority
		case m.order.Kind == choice.Dispatch:
			s := &sent{seq: count, engine: m.order.Engine, at: time.Now()}
			count++
			if !answered && !j.From.Here() { // its leave may stand behind this order, or behind what lies unread
				counters.Increment("dispatches_for_nobody")
				left()
			}
			host, is := g.host(s.engine, j.Protocol)
			if invariant.Check(is && now == nil, "dispatch_out_of_turn"); !is || now != nil || answered || !s.at.Before(lost) {
				g.moot(j, s, answered)
				break
			}
			if limit = lost; m.order.Duration != 0 && s.at.Add(time.Duration(m.order.Duration)).Before(lost) {
				limit = s.at.Add(time.Duration(m.order.Duration))
			}
			timer.Reset(time.Until(limit))
			now = s
			s.link = g.pool.Start(host, backend.Request{ID: j.ID, Type: j.Type, Statement: j.Statement, Idempotency: j.Idempotency,
				WaitMS: max(1, time.Until(limit).Milliseconds()), GrantMB: grant, Priority: priority, Ordered: m.at, Until: g.clock.moment(m.order.SendDeadline),
				Lane: g.rules.lane(g.names.types[string(j.Type)])},
				func(r backend.Reply) {
					if m := (message{from: s, reply: r}); r.End == backend.Open {
						j.in.note(m)
					} else {
						j.in.put(m)
					}
				})
		case m.order.Kind == choice.CancelAttempt:
			if now != nil && now.seq == m.order.Seq {
				giveUp(choice.Canceled)
			}
		case m.order.Kind == choice.Throttle:
			answer(jobstats.Throttled, func() { j.From.Throttled(time.Duration(m.order.Duration)) })
		case m.order.Kind == choice.CancelPermanently:
			answer(jobstats.Cancelled, func() { j.From.Failed(ForGood) })
		}
	}
}

// moot tells the module of a dispatch that was not issued.
func (g *Gateway) moot(j *job, s *sent, final bool) {
	g.tell(choice.Event{Kind: choice.AttemptEnded, Job: j.id, Seq: s.seq, Engine: s.engine, Result: choice.Superseded, IsFinal: final})
}

func (g *Gateway) noted(j *job, s *sent, r backend.Reply) {
	if kind, is := notes[r.Note]; is {
		g.tell(choice.Event{Kind: choice.ProgressReported, Job: j.id, Seq: s.seq, Engine: s.engine, Progress: kind, Amount: r.Amount})
	}
}

// count tells the tally what became of a job for its client.
func (g *Gateway) count(j *job, how jobstats.How, dispatches choice.AttemptSeq, workMS float64) {
	if g.tally == nil {
		return
	}
	took := time.Since(j.At)
	within := how == jobstats.Done && took <= g.rules.wanted(g.names.types[string(j.Type)], workMS)
	g.tally.Answered(canary.Group{Type: string(j.Type), Tenant: string(j.Tenant)}, how, took, within, uint64(dispatches))
}

// answered frees the id of a call.
func (g *Gateway) answered(j *job) {
	g.mu.Lock()
	delete(g.calls, string(j.ID))
	g.mu.Unlock()
}

// forget ends a job's entry, unless an order for it has come in: each dispatch ordered is owed its outcome, also if
// the client has left meanwhile.
func (g *Gateway) forget(j *job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !j.in.empty() {
		return false
	}
	delete(g.jobs, j.id)
	if g.guard != nil {
		g.guard.Give(lane(j.Protocol))
	}
	return true
}

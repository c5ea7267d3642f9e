package gateway

import (
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
	"swiftreel/internal/invariant"
	"swiftreel/internal/jobstats"
)

// defaultPriority is the priority of dispatches that the module gave none.
const defaultPriority = 1

// jobRunner carries out what the module orders for one job, and reports to the module at each point where it has to
// decide. It sends and answers nothing by itself, but for a job that the module has left without an answer past its
// timeout. All fields belong to the goroutine of run.
type jobRunner struct {
	gateway *Gateway
	job     *job
	state   jobState

	attempt  *attempt // the dispatch in flight: the module orders one at a time
	attempts choice.AttemptSeq
	priority uint8
	grantMB  float64

	deadline        time.Time // the job timeout
	attemptDeadline time.Time // of the dispatch in flight; the job's while there is none
	timer           *time.Timer
	timerDue        time.Time
}

func newJobRunner(g *Gateway, j *job) *jobRunner {
	deadline := j.ArrivedAt.Add(j.Timeout)
	return &jobRunner{
		gateway:         g,
		job:             j,
		priority:        defaultPriority,
		deadline:        deadline,
		attemptDeadline: deadline,
	}
}

// run handles messages until the job is finished and dropped from the table.
func (r *jobRunner) run() {
	defer r.gateway.running.Done()
	r.timerDue = r.deadline
	r.timer = time.NewTimer(time.Until(r.deadline))
	defer r.timer.Stop()
	for r.state != jobFinished || !r.gateway.remove(r.job) {
		message, waiting := r.job.mailbox.next()
		if waiting {
			r.handle(message)
			continue
		}
		select {
		case <-r.job.mailbox.ready:
		case <-r.timer.C:
			r.checkDeadlines()
		}
	}
}

func (r *jobRunner) handle(message jobMessage) {
	switch m := message.(type) {
	case moduleOrder:
		r.carryOut(m)
	case attemptReply:
		r.handleReply(m)
	case attemptCancelled:
		r.endAttempt(m.attempt, m.result, backend.Reply{})
	case clientDisconnected:
		r.disconnect()
	}
}

func (r *jobRunner) carryOut(order moduleOrder) {
	switch order.action.Kind {
	case choice.SetDispatchOptions:
		r.setDispatchOptions(order.action)
	case choice.Dispatch:
		r.dispatch(order)
	case choice.CancelAttempt:
		if r.attempt != nil && r.attempt.sequence == order.action.Seq {
			r.cancelAttempt(choice.Canceled)
		}
	case choice.Throttle:
		retryAfter := time.Duration(order.action.Duration)
		r.noteUnserved("throttled", order.action.Reason)
		r.answer(jobstats.Throttled, func() { r.job.Client.Throttled(retryAfter) })
	case choice.CancelPermanently:
		r.noteUnserved("cancelled", order.action.Reason)
		r.answer(jobstats.Cancelled, func() { r.job.Client.Failed(ReasonCancelled) })
	}
}

// noteUnserved counts why a job that is owed an answer gets one without a result.
func (r *jobRunner) noteUnserved(answer string, why choice.Reason) {
	if !r.state.owesAnswer() {
		return
	}
	counters.Increment("jobs_" + answer + "_" + string(why))
	r.gateway.trace.job(r.job.id, "call", string(r.job.ID), "answer", answer, "why", why, "attempts", r.attempts)
}

// setDispatchOptions sets the memory grant and the priority of dispatches. The one in flight gets the new priority,
// too.
func (r *jobRunner) setDispatchOptions(options choice.Action) {
	r.grantMB = options.MemoryMB
	if r.attempt != nil && options.Priority != r.priority {
		r.attempt.dispatch.SetPriority(options.Priority)
	}
	r.priority = options.Priority
}

// dispatch sends the job to an engine, or reports that this order came too late.
func (r *jobRunner) dispatch(order moduleOrder) {
	a := &attempt{sequence: r.attempts, engine: order.action.Engine, startedAt: time.Now()}
	r.attempts++
	// That the client has disconnected may be known only to its socket, or to a message behind this order.
	if r.state.owesAnswer() && !r.job.Client.Connected() {
		counters.Increment("dispatches_client_gone")
		r.disconnect()
	}
	host, known := r.gateway.host(a.engine, r.job.Protocol)
	inTurn := known && !r.state.hasDispatch()
	invariant.Check(inTurn, "dispatch_out_of_turn")
	if !inTurn || !r.state.owesAnswer() || !a.startedAt.Before(r.deadline) {
		r.reportSuperseded(a)
		return
	}
	r.setAttemptDeadline(a.startedAt, time.Duration(order.action.Duration))
	r.attempt = a
	r.advance(dispatchStarted)
	a.dispatch = r.gateway.engines.Start(host, r.backendRequest(order, a, host), func(reply backend.Reply) {
		r.receive(attemptReply{attempt: a, reply: reply})
	})
}

// receive puts what is reported of a dispatch into the mailbox. It is called by the engine's connection.
func (r *jobRunner) receive(reply attemptReply) {
	if reply.reply.Outcome == backend.Running {
		r.job.mailbox.putNotice(reply)
	} else {
		r.job.mailbox.put(reply)
	}
}

// setAttemptDeadline sets the time limit of the dispatch that starts; limit 0: only the job timeout counts.
func (r *jobRunner) setAttemptDeadline(startedAt time.Time, limit time.Duration) {
	r.attemptDeadline = r.deadline
	if limited := startedAt.Add(limit); limit != 0 && limited.Before(r.deadline) {
		r.attemptDeadline = limited
	}
	r.setTimer(time.Until(r.attemptDeadline))
}

func (r *jobRunner) setTimer(delay time.Duration) {
	r.timerDue = time.Now().Add(delay)
	r.timer.Reset(delay)
}

func (r *jobRunner) backendRequest(order moduleOrder, a *attempt, host backend.Host) backend.Request {
	g := r.gateway
	return backend.Request{
		ID:             r.job.ID,
		Type:           r.job.Type,
		Statement:      r.job.Statement,
		IdempotencyKey: r.job.IdempotencyKey,
		GrantMB:        r.grantMB,
		Priority:       r.priority,
		OrderedAt:      order.orderedAt,
		Gate:           sendGate{gateway: g, job: r.job, attempt: a, host: host, deadline: r.attemptDeadline},
		Lane:           g.settings.lane(g.ids.types[string(r.job.Type)]),
	}
}

// reportSuperseded reports a dispatch that was not sent.
func (r *jobRunner) reportSuperseded(a *attempt) {
	r.gateway.notify(choice.Event{
		Kind:    choice.AttemptEnded,
		Job:     r.job.id,
		Seq:     a.sequence,
		Engine:  a.engine,
		Result:  choice.Superseded,
		IsFinal: !r.state.owesAnswer(),
	})
}

// cancelAttempt has the engine cancel the dispatch in flight. Its end is reported once the engine has read the
// cancellation, and a step later, as on the simulator's wire: what is sent upon it over another connection must not
// overtake it.
func (r *jobRunner) cancelAttempt(result choice.Result) {
	a := r.attempt
	r.advance(cancelRequested)
	a.dispatch.Cancel(func() {
		time.AfterFunc(r.gateway.settings.step, func() {
			r.job.mailbox.put(attemptCancelled{attempt: a, result: result})
		})
	})
}

func (r *jobRunner) handleReply(m attemptReply) {
	switch {
	case m.attempt != r.attempt: // its end was reported when it was cancelled
		counters.Increment("replies_late")
		r.gateway.engines.Release(m.reply.Pages)
	case m.reply.Outcome == backend.Running:
		r.reportNotice(m)
	case m.reply.Outcome == backend.Done:
		r.succeed(m)
	default:
		r.endAttempt(m.attempt, results[m.reply.Outcome], m.reply)
	}
}

func (r *jobRunner) reportNotice(m attemptReply) {
	kind, known := notices[m.reply.Notice]
	if !known {
		return
	}
	r.gateway.notify(choice.Event{
		Kind:     choice.ProgressReported,
		Job:      r.job.id,
		Seq:      m.attempt.sequence,
		Engine:   m.attempt.engine,
		Progress: kind,
		Amount:   m.reply.Amount,
	})
}

// succeed reports a result, and delivers it if the client waits for it.
func (r *jobRunner) succeed(m attemptReply) {
	owed := r.state.owesAnswer()
	if owed {
		r.advance(answerSettled)
	}
	r.endAttempt(m.attempt, choice.Done, m.reply)
	if owed {
		r.gateway.closeCall(r.job)
		r.auditAnswer(false)
		r.deliverResult(m)
	}
	r.gateway.engines.Release(m.reply.Pages)
}

func (r *jobRunner) deliverResult(m attemptReply) {
	if testHooks.delayAnswer != nil {
		time.Sleep(testHooks.delayAnswer(time.Since(r.job.ArrivedAt)))
	}
	if r.losesAnswer(m.attempt) {
		r.countOutcome(jobstats.Cancelled, 0)
		r.job.Client.Failed(ReasonCancelled)
		return
	}
	r.countOutcome(jobstats.Done, m.reply.WorkMS)
	r.job.Client.Done(m.reply.Pages)
}

// losesAnswer reports whether a fault is injected: the result of this attempt is not delivered.
func (r *jobRunner) losesAnswer(a *attempt) bool {
	if testHooks.loseAnswer == nil {
		return false
	}
	return testHooks.loseAnswer(string(r.job.Type), func() string { return r.engineName(a) })
}

func (r *jobRunner) engineName(a *attempt) string {
	host, _ := r.gateway.host(a.engine, r.job.Protocol)
	return host.Name
}

// endAttempt reports the outcome of the dispatch in flight, and whether the job is over with it.
func (r *jobRunner) endAttempt(a *attempt, result choice.Result, reply backend.Reply) {
	r.attempt = nil
	r.attemptDeadline = r.deadline
	r.advance(dispatchEnded)
	r.gateway.reportViolations(r.job, a.engine, r.gateway.audit.Ended(r.job.id, result, time.Now()))
	counters.Increment("attempts_" + resultNames[result])
	r.gateway.notify(choice.Event{
		Kind:    choice.AttemptEnded,
		Job:     r.job.id,
		Seq:     a.sequence,
		Engine:  a.engine,
		Result:  result,
		Latency: choice.Nanos(time.Since(a.startedAt)),
		IsFinal: !r.state.owesAnswer(),
		Usage:   packBill(reply),
		Load:    r.gateway.settings.parseLoad(reply.Load),

		ConnectedAt: r.gateway.clock.connectedAt(reply),
	})
}

// answer gives the final answer, unless there was one. A slow client must not delay the cancelling of what is in
// flight.
func (r *jobRunner) answer(kind jobstats.Outcome, write func()) {
	if !r.state.owesAnswer() {
		return
	}
	r.gateway.closeCall(r.job)
	r.countOutcome(kind, 0)
	r.advance(answerSettled)
	r.auditAnswer(kind == jobstats.Throttled)
	if r.state.hasDispatch() {
		go write()
	} else {
		write()
	}
}

func (r *jobRunner) auditAnswer(refused bool) {
	r.gateway.reportViolations(r.job, 0, r.gateway.audit.Answered(r.job.id, refused))
}

// disconnect ends a job whose client is gone, unless it was answered.
func (r *jobRunner) disconnect() {
	if !r.state.owesAnswer() {
		return
	}
	r.advance(answerSettled)
	r.gateway.closeCall(r.job)
	r.countOutcome(jobstats.Abandoned, 0)
	r.gateway.notify(choice.Event{Kind: choice.ClientDisconnected, Job: r.job.id})
}

// stallThreshold is how late a timer is that shows that the process was stalled; moduleGrace is what the module, whose
// own timers were late too, gets then to answer.
const (
	stallThreshold = 50 * time.Millisecond
	moduleGrace    = 60 * time.Millisecond
)

// checkDeadlines cancels a dispatch past its time limit, and answers a job that the module has left without an answer.
func (r *jobRunner) checkDeadlines() {
	if time.Since(r.timerDue) > stallThreshold {
		counters.Increment("job_timers_late")
		r.setTimer(moduleGrace)
		return
	}
	if r.state.hasDispatch() && !time.Now().Before(r.attemptDeadline) {
		r.cancelAttempt(choice.TimedOut)
	}
	slack := r.gateway.settings.answerSlack
	if r.state.owesAnswer() && time.Now().After(r.deadline.Add(slack)) {
		r.answerOverdue()
	}
	r.setTimer(max(slack/4, time.Until(r.attemptDeadline)))
}

func (r *jobRunner) answerOverdue() {
	r.gateway.overdueLog.Warn("answer_overdue", "job", r.job.id, "call", string(r.job.ID),
		"late_ms", time.Since(r.deadline).Milliseconds())
	invariant.Check(false, "answers_overdue")
	r.gateway.notify(choice.Event{Kind: choice.ClientDisconnected, Job: r.job.id})
	r.answer(jobstats.Cancelled, func() { r.job.Client.Failed(ReasonTimeout) })
}

// advance moves the job to its next state.
func (r *jobRunner) advance(transition jobTransition) {
	next, legal := r.state.after(transition)
	invariant.Check(legal, "job_transition_illegal")
	if legal {
		r.state = next
	}
}

func (r *jobRunner) countOutcome(kind jobstats.Outcome, workMS float64) {
	r.gateway.countOutcome(r.job.Request, jobOutcome{kind: kind, attempts: r.attempts, workMS: workMS})
}

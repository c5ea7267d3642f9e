package gateway

import (
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
	"swiftreel/internal/invariant"
	"swiftreel/internal/jobstats"
)

// defaultPriority is the priority of dispatches for which the module sets none.
const defaultPriority = 1

// jobRunner executes the module's actions for one job and reports events of the job to the module. It sends and answers
// nothing on its own, with one exception: it answers a job that the module has left unanswered past its timeout. All
// fields belong to the goroutine of run.
type jobRunner struct {
	gateway *Gateway
	job     *job
	state   jobState

	attempt  *attempt // the dispatch in flight; the module requests one at a time
	attempts choice.AttemptSeq
	priority uint8
	grantMB  float64

	deadline        time.Time // the job timeout
	attemptDeadline time.Time // of the dispatch in flight; equals deadline if there is none
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
	case moduleAction:
		r.perform(m)
	case attemptReply:
		r.handleReply(m)
	case attemptCancelled:
		r.endAttempt(m.attempt, m.result, backend.Reply{})
	case clientDisconnected:
		r.disconnect()
	}
}

func (r *jobRunner) perform(message moduleAction) {
	switch message.action.Kind {
	case choice.SetDispatchOptions:
		r.setDispatchOptions(message.action)
	case choice.Dispatch:
		r.dispatch(message)
	case choice.CancelAttempt:
		if r.attempt != nil && r.attempt.sequence == message.action.Seq {
			r.cancelAttempt(choice.Canceled)
		}
	case choice.Throttle:
		retryAfter := time.Duration(message.action.Duration)
		r.countUnserved("throttled", message.action.Reason)
		r.answer(jobstats.Throttled, func() { r.job.Client.Throttled(retryAfter) })
	case choice.CancelPermanently:
		r.countUnserved("cancelled", message.action.Reason)
		r.answer(jobstats.Cancelled, func() { r.job.Client.Failed(ReasonCancelled) })
	}
}

// countUnserved counts and traces why an unanswered job gets an answer without a result.
func (r *jobRunner) countUnserved(answer string, reason choice.Reason) {
	if !r.state.owesAnswer() {
		return
	}
	counters.Increment("jobs_" + answer + "_" + string(reason))
	r.gateway.trace.job(r.job.id, "call", string(r.job.ID), "answer", answer, "why", reason, "attempts", r.attempts)
}

// setDispatchOptions sets the memory grant and the priority of further dispatches. A dispatch in flight also gets the
// new priority.
func (r *jobRunner) setDispatchOptions(options choice.Action) {
	r.grantMB = options.MemoryMB
	if r.attempt != nil && options.Priority != r.priority {
		r.attempt.dispatch.SetPriority(options.Priority)
	}
	r.priority = options.Priority
}

// dispatch sends the job to an engine, or reports the dispatch as superseded if it is too late to send it.
func (r *jobRunner) dispatch(message moduleAction) {
	a := &attempt{sequence: r.attempts, engine: message.action.Engine, startedAt: time.Now()}
	r.attempts++
	// The disconnect of the client may not have been read from its socket yet, or may be queued behind this action.
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
	r.setAttemptDeadline(a.startedAt, time.Duration(message.action.Duration))
	r.attempt = a
	r.job.mayHaveRun = true // until its outcome says otherwise
	r.advance(dispatchStarted)
	a.dispatch = r.gateway.engines.Start(host, r.backendRequest(message, a, host), func(reply backend.Reply) {
		r.receive(attemptReply{attempt: a, reply: reply})
	})
}

// receive puts a reply of an engine into the mailbox. It is called from the goroutine of the engine's connection.
func (r *jobRunner) receive(reply attemptReply) {
	if reply.reply.Outcome == backend.Running {
		r.job.mailbox.putNotice(reply)
	} else {
		r.job.mailbox.put(reply)
	}
}

// setAttemptDeadline sets the time limit of a new dispatch. If limit is 0, only the job timeout applies.
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

func (r *jobRunner) backendRequest(message moduleAction, a *attempt, host backend.Host) backend.Request {
	g := r.gateway
	return backend.Request{
		ID:             r.job.ID,
		Type:           r.job.Type,
		Statement:      r.job.Statement,
		IdempotencyKey: r.job.IdempotencyKey,
		GrantMB:        r.grantMB,
		Priority:       r.priority,
		DecidedAt:      message.decidedAt,
		Gate:           sendGate{gateway: g, job: r.job, attempt: a, host: host, deadline: r.attemptDeadline},
		Lane:           g.settings.lane(g.ids.types[string(r.job.Type)]),
	}
}

// reportSuperseded reports to the module that a dispatch was not sent.
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

// cancelAttempt cancels the dispatch in flight at its engine. The end is reported crossConnDelay after the engine has
// read the cancellation, as in the simulator: what the module sends next over another connection must not overtake the
// cancellation.
func (r *jobRunner) cancelAttempt(result choice.Result) {
	a := r.attempt
	r.advance(cancelRequested)
	a.dispatch.Cancel(func() {
		time.AfterFunc(r.gateway.settings.crossConnDelay, func() {
			r.job.mailbox.put(attemptCancelled{attempt: a, result: result})
		})
	})
}

func (r *jobRunner) handleReply(m attemptReply) {
	switch {
	case m.attempt != r.attempt: // already reported as cancelled
		counters.Increment("replies_late")
		r.gateway.engines.Release(m.reply.Pages)
	case m.reply.Outcome == backend.Running:
		r.reportNotice(m)
	case m.reply.Outcome == backend.Done:
		r.handleDone(m)
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
		Amount:   m.reply.NoticeAmount,
	})
}

// handleDone reports a completed dispatch to the module, and delivers the result if the client still waits.
func (r *jobRunner) handleDone(m attemptReply) {
	owed := r.state.owesAnswer()
	if owed {
		r.advance(answerSettled)
	}
	took := time.Since(m.attempt.startedAt)
	r.endAttempt(m.attempt, choice.Done, m.reply)
	if owed {
		r.gateway.closeCall(r.job)
		r.auditAnswer(false)
		r.deliverResult(m, took)
	}
	r.gateway.engines.Release(m.reply.Pages)
}

func (r *jobRunner) deliverResult(m attemptReply, took time.Duration) {
	if testHooks.delayAnswer != nil {
		time.Sleep(testHooks.delayAnswer(time.Since(r.job.ArrivedAt)))
	}
	if r.dropsAnswer(m.attempt) {
		r.countOutcome(jobstats.Cancelled, 0)
		r.job.Client.Failed(ReasonCancelled)
		return
	}
	r.countOutcome(jobstats.Done, m.reply.WorkMS)
	r.job.Client.Done(m.reply.Pages, took)
}

// dropsAnswer reports whether fault injection drops the result of this attempt, and the client is told that the job
// failed.
func (r *jobRunner) dropsAnswer(a *attempt) bool {
	if testHooks.dropAnswer == nil {
		return false
	}
	return testHooks.dropAnswer(string(r.job.Type), func() string { return r.engineName(a) })
}

func (r *jobRunner) engineName(a *attempt) string {
	host, _ := r.gateway.host(a.engine, r.job.Protocol)
	return host.Name
}

// endAttempt reports the outcome of the dispatch in flight to the module, and whether it is final for the job.
func (r *jobRunner) endAttempt(a *attempt, result choice.Result, reply backend.Reply) {
	r.attempt = nil
	r.job.mayHaveRun = !result.NeverRan() // no earlier dispatch of a run-once job may have run
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
		Usage:   packUsage(reply),
		Load:    r.gateway.settings.parseLoad(reply.Load),

		ConnectedAt: r.gateway.clock.connectedAt(reply),
	})
}

// answer sends the final answer unless the job is settled. While a dispatch is in flight the answer is written on
// another goroutine, so that a slow client does not delay the cancellation of the dispatch.
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

// disconnect settles an unanswered job whose client has disconnected.
func (r *jobRunner) disconnect() {
	if !r.state.owesAnswer() {
		return
	}
	r.advance(answerSettled)
	r.gateway.closeCall(r.job)
	r.countOutcome(jobstats.Abandoned, 0)
	r.gateway.notify(choice.Event{Kind: choice.ClientDisconnected, Job: r.job.id})
}

// A job timer that fires more than stallThreshold late means that the process was stalled. The module's own timers were
// late too, so it gets another moduleGrace to answer.
const (
	stallThreshold = 50 * time.Millisecond
	moduleGrace    = 60 * time.Millisecond
)

// checkDeadlines cancels a dispatch past its time limit, and answers a job that the module has left unanswered.
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

// advance applies a state transition; illegal transitions are ignored.
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

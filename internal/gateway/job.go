package gateway

import (
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
	"swiftreel/internal/canary"
	"swiftreel/internal/jobstats"
)

// job is an admitted job. It stays in the gateway's table until its goroutine returns.
type job struct {
	Request
	id      choice.JobID
	mailbox *mailbox
	runOnce bool

	// mayHaveRun means that an engine may have run a dispatch, or has one. Only the job's goroutine uses it.
	mayHaveRun bool
}

// jobMessage is a message to the goroutine of a job: one of the types below.
type jobMessage interface{ isJobMessage() }

type (
	// moduleAction is an action of the module for the job.
	moduleAction struct {
		action    choice.Action
		decidedAt time.Time
	}
	// attemptReply is the outcome of a dispatch, or a progress notice while it runs.
	attemptReply struct {
		attempt *attempt
		reply   backend.Reply
	}
	// attemptCancelled says that a dispatch was cancelled and nothing of it is in flight any more.
	attemptCancelled struct {
		attempt *attempt
		result  choice.Result // why it was cancelled
	}
	// clientDisconnected says that the client no longer waits for the answer.
	clientDisconnected struct{}
)

func (moduleAction) isJobMessage()       {}
func (attemptReply) isJobMessage()       {}
func (attemptCancelled) isJobMessage()   {}
func (clientDisconnected) isJobMessage() {}

// attempt is a dispatch of a job.
type attempt struct {
	sequence  choice.AttemptSeq
	engine    choice.EngineID
	startedAt time.Time
	dispatch  backend.Dispatch
}

// jobOutcome is the outcome of a job as its client sees it.
type jobOutcome struct {
	kind     jobstats.Outcome
	attempts choice.AttemptSeq
	workMS   float64
}

// countOutcome counts the outcome of a request, unless statistics are off.
func (g *Gateway) countOutcome(request Request, outcome jobOutcome) {
	if g.stats == nil {
		return
	}
	took := time.Since(request.ArrivedAt)
	objective := g.settings.objective(g.ids.types[string(request.Type)], outcome.workMS)
	withinObjective := outcome.kind == jobstats.Done && took <= objective
	group := canary.Group{Type: string(request.Type), Tenant: string(request.Tenant)}
	g.stats.RecordJob(group, outcome.kind, took, withinObjective, uint64(outcome.attempts))
}

// closeCall releases the ID of a call that is answered or abandoned. That of a run-once call that may have run is kept
// until the job is removed, and remembered after that.
func (g *Gateway) closeCall(j *job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !j.runOnce || !j.mayHaveRun {
		g.releaseID(j)
	}
}

// releaseID lets another call use the ID of a job, unless one does so already. The caller must hold the lock.
func (g *Gateway) releaseID(j *job) {
	if g.openCalls[string(j.ID)] == j {
		delete(g.openCalls, string(j.ID))
	}
}

// remove removes a finished job from the table and reports whether it was removed. A job with unread messages is kept:
// the module must get an outcome for each dispatch that it requested, even if the client has disconnected meanwhile.
func (g *Gateway) remove(j *job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !j.mailbox.isEmpty() {
		return false
	}
	delete(g.jobs, j.id)
	g.releaseID(j)
	if j.runOnce && j.mayHaveRun && j.Protocol == backend.Line { // the IDs of other jobs are drawn anew for each request
		g.ranCalls.add(string(j.ID), time.Now())
	}
	g.audit.Removed(j.id)
	g.releaseSlot(j.Protocol)
	return true
}

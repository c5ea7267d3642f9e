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
}

// jobMessage is what the goroutine of a job waits for: one of the types below.
type jobMessage interface{ isJobMessage() }

type (
	// moduleOrder is an action of the module that concerns the job.
	moduleOrder struct {
		action    choice.Action
		orderedAt time.Time
	}
	// attemptReply is what became of a dispatch, or a notice of it while it runs.
	attemptReply struct {
		attempt *attempt
		reply   backend.Reply
	}
	// attemptCancelled says that a dispatch was cancelled and nothing of it can be in flight any more.
	attemptCancelled struct {
		attempt *attempt
		result  choice.Result // why it was cancelled
	}
	// clientDisconnected says that nobody waits for the answer any more.
	clientDisconnected struct{}
)

func (moduleOrder) isJobMessage()        {}
func (attemptReply) isJobMessage()       {}
func (attemptCancelled) isJobMessage()   {}
func (clientDisconnected) isJobMessage() {}

// attempt is one dispatch of a job.
type attempt struct {
	sequence  choice.AttemptSeq
	engine    choice.EngineID
	startedAt time.Time
	dispatch  backend.Dispatch
}

// jobOutcome is what became of a job for its client.
type jobOutcome struct {
	kind     jobstats.Outcome
	attempts choice.AttemptSeq
	workMS   float64
}

// countOutcome counts the outcome of a request, if jobs are counted.
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

// closeCall frees the id of a call that is answered or abandoned.
func (g *Gateway) closeCall(j *job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.openCalls, string(j.ID))
}

// remove drops a finished job from the table, unless a message for it has come in: each dispatch that was ordered is
// owed an outcome, also if the client has disconnected meanwhile. It reports whether the job is dropped.
func (g *Gateway) remove(j *job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !j.mailbox.isEmpty() {
		return false
	}
	delete(g.jobs, j.id)
	g.audit.Removed(j.id)
	g.releaseSlot(j.Protocol)
	return true
}

package gateway

import (
	"errors"
	"fmt"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
	"swiftreel/internal/jobstats"
	"swiftreel/internal/statement"
)

// Reasons for rejecting a request. The texts are sent to clients.
var (
	errUnknownType   = errors.New("no such method")
	errUnknownTenant = errors.New("no such tenant")
	errMemory        = errors.New("more memory than any engine has")
	errNoTableGroup  = errors.New("the statement names no group of tables")
	errDuplicateCall = errors.New("a call with this id is open")
	errRanCall       = errors.New("a call with this id may have run")
	errNoCapacity    = errors.New("no capacity")
)

// transitTime allows for the network time of a call and of its answer: over real sockets, answers written 2 ms before
// the job timeout reached the client after it.
const transitTime = 5 * time.Millisecond

// Submit admits a job or rejects it immediately. It does not block. The module receives jobs in the order of the calls
// to Submit.
func (g *Gateway) Submit(request Request) {
	event, err := g.arrivalEvent(request)
	if err != nil {
		counters.Increment("calls_refused")
		request.Client.Failed(err.Error())
		return
	}
	jobType, _ := g.settings.typeOf(event.Type)
	j := &job{Request: request, mailbox: newMailbox(), runOnce: jobType.runOnce}
	actions, err := g.admit(j, event)
	if err != nil {
		g.reject(request, err)
		return
	}
	g.perform(actions)
	g.trace.job(j.id, "call", string(j.ID))
	request.Client.OnDisconnect(func() {
		g.audit.ClientDisconnected(j.id, time.Now())
		j.mailbox.put(clientDisconnected{})
	})
	go newJobRunner(g, j).run()
}

// admit assigns a job ID and reports the job to the module, unless a call with the same ID is open or may have run, or
// no slot is free. It returns the actions to perform.
func (g *Gateway) admit(admitted *job, arrival choice.Event) ([]choice.Action, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, open := g.openCalls[string(admitted.ID)]; open {
		return nil, errDuplicateCall
	}
	if g.ranCalls.contains(string(admitted.ID), time.Now()) {
		return nil, errRanCall
	}
	if testHooks.rejectJob != nil && testHooks.rejectJob(string(admitted.Type)) {
		return nil, errNoCapacity
	}
	if !g.reserveSlot(admitted.Protocol) {
		return nil, errNoCapacity
	}
	admitted.id = g.nextJobID()
	arrival.Job = admitted.id
	g.jobs[admitted.id] = admitted
	g.openCalls[string(admitted.ID)] = admitted
	g.running.Add(1)
	g.auditAdmitted(admitted, arrival)
	return g.decide(arrival), nil
}

// nextJobID returns an ID that no open job has. IDs wrap around after 2^32 jobs. The caller must hold the lock.
func (g *Gateway) nextJobID() choice.JobID {
	g.lastJobID++
	for g.jobs[g.lastJobID] != nil {
		g.lastJobID++
	}
	return g.lastJobID
}

func (g *Gateway) reject(request Request, err error) {
	if errors.Is(err, errDuplicateCall) || errors.Is(err, errRanCall) {
		counters.Increment("calls_duplicate")
		request.Client.Failed(err.Error())
		return
	}
	counters.Increment("calls_over_capacity")
	g.countOutcome(request, jobOutcome{kind: jobstats.Throttled})
	request.Client.Throttled(0)
}

// arrivalEvent converts a request into the module's JobArrived event. The error says why the request is invalid.
func (g *Gateway) arrivalEvent(request Request) (choice.Event, error) {
	jobType, known := g.ids.types[string(request.Type)]
	if !known {
		return choice.Event{}, errUnknownType
	}
	tenant, known := g.ids.tenants[string(request.Tenant)]
	if !known && len(g.ids.tenants) > 0 {
		return choice.Event{}, errUnknownTenant
	}
	if limit := g.settings.maxTimeout(jobType); request.Timeout > limit {
		return choice.Event{}, fmt.Errorf("a job timeout over %v", limit)
	}
	if request.EstimatedMemoryMB > g.settings.maxMemoryMB {
		return choice.Event{}, errMemory
	}
	tableGroup, found := tableGroup(request)
	if !found && g.settings.needsTableGroup(jobType) {
		return choice.Event{}, errNoTableGroup
	}
	typeSettings, _ := g.settings.typeOf(jobType)
	return choice.Event{
		Kind:              choice.JobArrived,
		Type:              jobType,
		Tenant:            tenant,
		Key:               orderingKey(request.Key),
		TimeLeft:          choice.Nanos(timeLeft(request)),
		ArrivedAt:         g.clock.at(request.ArrivedAt),
		ReceivedAfter:     g.clock.receivedAt(request.ReceivedAfter),
		ReceivedBefore:    g.clock.receivedAt(request.ReceivedBefore),
		Cost:              choice.Nanos(request.EstimatedWork),
		CostKnown:         request.EstimatedWork > 0,
		IsRepeat:          request.ClientRetry,
		MemoryMB:          request.EstimatedMemoryMB,
		Tables:            choice.TableGroup(tableGroup),
		RequiredProtocols: requiredProtocols(request.Protocol),
		IsWrite:           typeSettings.writesTables,
	}, nil
}

// timeLeft returns the time that the module has for a job: the client's remaining time less the network time.
func timeLeft(request Request) time.Duration {
	return request.Timeout - min(transitTime, request.Timeout/10) - time.Since(request.ArrivedAt)
}

// tableGroup returns the group of tables that a request uses, and false if the request names none.
func tableGroup(request Request) (uint32, bool) {
	if request.Protocol == backend.Line {
		return statement.Group(request.Statement)
	}
	return request.TableGroup, true
}

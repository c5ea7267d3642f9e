package choice

import "testing"

// permissionFixture has one job with an attempt at an engine, and the conditions of an immediate send.
type permissionFixture struct {
	*simulation
	job        JobID
	engine     EngineID
	conditions SendConditions
}

func newPermissionFixture(t *testing.T, jobType TypeID) *permissionFixture {
	t.Helper()
	s := newSimulation(t, testSettings(), 1)
	p := &permissionFixture{simulation: s, job: s.arrive(jobType, 0, 1)}
	engines := s.enginesOf(p.job)
	require(t, len(engines) == 1, "the job has %d attempts", len(engines))
	p.engine = engines[0]
	p.conditions = SendConditions{Job: p.job, Seq: 0, ClientConnected: true, SameAddress: true, MaxAge: second / 4,
		TimeLeft: second}
	return p
}

// relist lists the engine again with a changed entry.
func (p *permissionFixture) relist(change func(*EngineEntry)) {
	entry := p.entries[p.engine]
	change(&entry)
	p.handle(Event{Kind: EnginesListed, List: ListDelta, Engines: []EngineEntry{entry}})
}

// A send is refused, with the reason of the rule, if something that the dispatch relied on changed before its first
// byte. Without a change the send is permitted.
func TestASendIsRefusedOnceItsOrderNoLongerHolds(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*permissionFixture)
		want   Refusal
	}{
		"no change":              {func(*permissionFixture) {}, Permitted},
		"within the maximum age": {func(p *permissionFixture) { p.now += second / 4 }, Permitted},
		"the dial took too long": {func(p *permissionFixture) { p.now += second/4 + 1 }, DispatchTooOld},
		"the drain grace is over": {func(p *permissionFixture) {
			p.conditions.MaxAge = 10 * second
			p.now += 250*ms + 1
		}, DispatchTooOld},
		"a millisecond is left": {func(p *permissionFixture) { p.conditions.TimeLeft = ms }, Permitted},
		"less is left":          {func(p *permissionFixture) { p.conditions.TimeLeft = ms - 1 }, JobOver},
		"the job expired":       {func(p *permissionFixture) { p.now += 20 * second }, JobOver},
		"the client left": {func(p *permissionFixture) {
			p.handle(Event{Kind: ClientDisconnected, Job: p.job})
		}, JobOver},
		"its connection shows an end": {func(p *permissionFixture) { p.conditions.ClientConnected = false }, ClientLeft},
		"the attempt is being canceled": {func(p *permissionFixture) {
			p.c.cancelAttempt(p.c.jobs[p.job].attempt)
		}, AttemptOver},
		"the attempt ended": {func(p *permissionFixture) {
			p.finish(p.job, Superseded)
		}, AttemptOver},
		"the engine drains": {func(p *permissionFixture) {
			p.relist(func(e *EngineEntry) { e.State = Draining })
		}, EngineUnavailable},
		"the engine is removed": {func(p *permissionFixture) {
			p.relist(func(e *EngineEntry) { e.State = Removed })
		}, EngineUnavailable},
		"its address changed": {func(p *permissionFixture) { p.conditions.SameAddress = false }, EngineUnavailable},
		"the engine restarted": {func(p *permissionFixture) {
			p.relist(func(e *EngineEntry) { e.StartedAt = p.now })
		}, EngineRestarted},
		"the list is as old as the grace": {func(p *permissionFixture) {
			p.conditions.ListCurrentAt = p.now - 250*ms
		}, Permitted},
		"the list is older": {func(p *permissionFixture) {
			p.conditions.ListCurrentAt = p.now - 250*ms - 1
		}, EngineListStale},
		"an unknown job": {func(p *permissionFixture) { p.conditions.Job++ }, JobOver},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPermissionFixture(t, 1)
			tc.change(p)
			got := p.c.SendRefusal(p.now, p.conditions)
			require(t, got == tc.want, "got %s, want %s", got, tc.want)
		})
	}
}

// A dispatch is refused with the reason of the rule that it would break.
func TestADispatchIsRefusedForTheRuleThatItWouldBreak(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*Controller, *job, *engine)
		want   Refusal
	}{
		"no change":                    {func(*Controller, *job, *engine) {}, Permitted},
		"answered":                     {func(_ *Controller, j *job, _ *engine) { j.finished = true }, JobOver},
		"expired":                      {func(c *Controller, j *job, _ *engine) { j.expiresAt = c.now }, JobOver},
		"another attempt is in flight": {func(_ *Controller, j *job, _ *engine) { j.attempt = &attempt{} }, AttemptOver},
		"attempts are used up": {func(c *Controller, j *job, _ *engine) {
			j.attemptCount = c.settings.maxAttempts
		}, AttemptsUsedUp},
		"may have run": {func(_ *Controller, j *job, _ *engine) { j.mayHaveRun = true }, RetryUnsafe},
		"draining":     {func(_ *Controller, _ *job, e *engine) { e.State = Draining }, EngineUnavailable},
		"just started": {func(c *Controller, _ *job, e *engine) {
			e.StartedAt, e.cores = c.now, 0
		}, EngineInSlowStart},
		"its key pauses": {func(c *Controller, j *job, _ *engine) {
			c.orderings[j.key].pausedUntil = c.now + 1
		}, OutOfOrder},
		"unsupported protocol": {func(_ *Controller, _ *job, e *engine) { e.Unsupported = 1 }, PlacementNotAllowed},
		"no budget is left": {func(c *Controller, j *job, _ *engine) {
			j.attemptCount, c.settings.retryRatio = 1, 0
		}, RetryBudgetSpent},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, testSettings(), 1)
			s.c.engines[0].ejected = true // so that the job is parked
			j := s.c.jobs[s.arrive(2, 7, 1)]
			j.requiredProtocols = 1
			tc.change(&s.c, j, s.c.engines[0])
			got := s.c.dispatchRefusal(j, s.c.engines[0])
			require(t, got == tc.want, "got %s, want %s", got, tc.want)
		})
	}
}

// During a stall of one second a job arrives and the list reports that the engine drains. The job is read first, and
// must not be sent before the pending list update can have been read.
func TestNothingIsSentOnAListFromBeforeAStall(t *testing.T) {
	s := newSimulation(t, testSettings(), 1)
	s.advance(second)
	s.now += second // no timer has fired
	job := s.arrive(0, 0, 1)
	if len(s.enginesOf(job)) == 0 {
		return // not even dispatched
	}
	refusal := s.c.SendRefusal(s.now, SendConditions{Job: job, ClientConnected: true, SameAddress: true,
		MaxAge: second / 4, TimeLeft: second})
	require(t, refusal != Permitted, "the send is permitted a second after the list was last read")
}

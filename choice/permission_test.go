package choice

import "testing"

// permissionStage has one job out at an engine, and the facts of a send at once.
type permissionStage struct {
	*stage
	job    JobID
	engine EngineID
	facts  SendFacts
}

func newPermissionStage(t *testing.T, kind TypeID) *permissionStage {
	t.Helper()
	s := newStage(t, plainSettings(), 1)
	p := &permissionStage{stage: s, job: s.arrive(kind, 0, 1)}
	engines := s.enginesOf(p.job)
	require(t, len(engines) == 1, "the job is at %d engines", len(engines))
	p.engine = engines[0]
	p.facts = SendFacts{Job: p.job, Seq: 0, ClientConnected: true, SameAddress: true, MaxAge: second / 4,
		TimeLeft: second}
	return p
}

// list lists the engine with another state or start.
func (p *permissionStage) list(change func(*EngineEntry)) {
	entry := p.entries[p.engine]
	change(&entry)
	p.handle(Event{Kind: EnginesListed, List: ListDelta, Engines: []EngineEntry{entry}})
}

// Between an order and its first byte something happens that the order relied on: the send is refused, for the reason
// that names the rule. With nothing happening it is permitted.
func TestASendIsRefusedOnceItsOrderNoLongerHolds(t *testing.T) {
	for name, crossing := range map[string]struct {
		happens func(*permissionStage)
		want    Refusal
	}{
		"nothing":                    {func(*permissionStage) {}, Permitted},
		"within the age of an order": {func(p *permissionStage) { p.now += second / 4 }, Permitted},
		"the dial took too long":     {func(p *permissionStage) { p.now += second/4 + 1 }, OrderTooOld},
		"the grace of a drain is over": {func(p *permissionStage) {
			p.facts.MaxAge = 10 * second
			p.now += 250*ms + 1
		}, OrderTooOld},
		"a millisecond is left": {func(p *permissionStage) { p.facts.TimeLeft = ms }, Permitted},
		"less is left":          {func(p *permissionStage) { p.facts.TimeLeft = ms - 1 }, JobOver},
		"the job expired":       {func(p *permissionStage) { p.now += 20 * second }, JobOver},
		"the client left": {func(p *permissionStage) {
			p.handle(Event{Kind: ClientDisconnected, Job: p.job})
		}, JobOver},
		"its socket shows": {func(p *permissionStage) { p.facts.ClientConnected = false }, ClientLeft},
		"the attempt is being canceled": {func(p *permissionStage) {
			p.c.cancelAttempt(p.c.jobs[p.job].attempt)
		}, AttemptOver},
		"the attempt ended": {func(p *permissionStage) {
			p.finish(p.job, Superseded)
		}, AttemptOver},
		"the engine drains": {func(p *permissionStage) {
			p.list(func(e *EngineEntry) { e.State = Draining })
		}, EngineUnavailable},
		"the engine is removed": {func(p *permissionStage) {
			p.list(func(e *EngineEntry) { e.State = Removed })
		}, EngineUnavailable},
		"its address is another": {func(p *permissionStage) { p.facts.SameAddress = false }, EngineUnavailable},
		"the engine restarted": {func(p *permissionStage) {
			p.list(func(e *EngineEntry) { e.StartedAt = p.now })
		}, EngineRestarted},
		"the list is as old as the grace": {func(p *permissionStage) {
			p.facts.ListCurrentAt = p.now - 250*ms
		}, Permitted},
		"the list is older": {func(p *permissionStage) {
			p.facts.ListCurrentAt = p.now - 250*ms - 1
		}, ListTooOld},
		"an unknown job": {func(p *permissionStage) { p.facts.Job++ }, JobOver},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPermissionStage(t, 1)
			crossing.happens(p)
			got := p.c.SendRefusal(p.now, p.facts)
			require(t, got == crossing.want, "%s instead of %s", got, crossing.want)
		})
	}
}

// An order is refused for the rule that it would break.
func TestAnOrderIsRefusedForTheRuleThatItWouldBreak(t *testing.T) {
	for name, crossing := range map[string]struct {
		happens func(*Controller, *job, *engine)
		want    Refusal
	}{
		"nothing":        {func(*Controller, *job, *engine) {}, Permitted},
		"answered":       {func(_ *Controller, j *job, _ *engine) { j.finished = true }, JobOver},
		"expired":        {func(c *Controller, j *job, _ *engine) { j.expiresAt = c.now }, JobOver},
		"another is out": {func(_ *Controller, j *job, _ *engine) { j.attempt = &attempt{} }, AttemptOver},
		"tried to the end": {func(c *Controller, j *job, _ *engine) {
			j.attemptCount = c.settings.maxAttempts
		}, AttemptsUsedUp},
		"may have run": {func(_ *Controller, j *job, _ *engine) { j.mayHaveRun = true }, RepeatUnsafe},
		"draining":     {func(_ *Controller, _ *job, e *engine) { e.State = Draining }, EngineUnavailable},
		"just started": {func(c *Controller, _ *job, e *engine) {
			e.StartedAt, e.cores = c.now, 0
		}, EngineWarmingUp},
		"its key pauses": {func(c *Controller, j *job, _ *engine) {
			c.orderings[j.key].pausedUntil = c.now + 1
		}, OutOfOrder},
		"another place": {func(_ *Controller, _ *job, e *engine) { e.Unsupported = 1 }, PlaceNotAllowed},
		"no budget is left": {func(c *Controller, j *job, _ *engine) {
			j.attemptCount, c.settings.retryRatio = 1, 0
		}, RetryBudgetSpent},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStage(t, plainSettings(), 1)
			s.c.engines[0].ejected = true // so that the job waits
			j := s.c.jobs[s.arrive(2, 7, 1)]
			j.requiredProtocols = 1
			crossing.happens(&s.c, j, s.c.engines[0])
			got := s.c.orderRefusal(j, s.c.engines[0])
			require(t, got == crossing.want, "%s instead of %s", got, crossing.want)
		})
	}
}

// The process stood still for a second, in which a call came and the list said that the engine drains. The call is read
// first: it must not go out before what the list said can have been read.
func TestNothingIsSentOnAListFromBeforeAStall(t *testing.T) {
	s := newStage(t, plainSettings(), 1)
	s.pass(second)
	s.now += second // no timer has fired
	job := s.arrive(0, 0, 1)
	if len(s.enginesOf(job)) == 0 {
		return // it was not even ordered
	}
	refusal := s.c.SendRefusal(s.now, SendFacts{Job: job, ClientConnected: true, SameAddress: true, MaxAge: second / 4,
		TimeLeft: second})
	require(t, refusal != Permitted, "it is sent, a second after the list was last looked at")
}

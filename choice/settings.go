package choice

import (
	"fmt"
	"math"
	"slices"
)

// Settings are the settings of a controller, parsed once from RawSettings. They do not change, and may be shared by
// several controllers and goroutines. The comments say which value an absent or odd setting has, if it is not zero.
type Settings struct {
	controllers   int     // of the fleet, at least 1
	ownIndex      int     // our number among them, from 0
	evenShare     float64 // 1 / controllers
	zone          ZoneID  // ours
	batchStep     Nanos   // how late an event may arrive
	gossipAllowed bool

	maxAttempts   int // of a job, at least 1
	cancelAllowed bool
	probesAllowed bool
	retryAfter    Nanos // sent with Throttle; 0: not sent

	probePrice     float64 // points
	gossipPrice    float64 // points, 256 bytes
	crossZonePrice float64 // points, a job

	slowStartWindow      Nanos   // from an engine's start until all its capacity counts
	startCapacity        float64 // part of its capacity that an engine has at its start; absent: 1
	overloadWindow       Nanos   // in which an engine in slow start must not be sent too much
	slowStartWork        float64 // that an engine withstands at its start, in its capacity; absent: 0
	drainGrace           Nanos   // after which a draining engine must not be sent anything; absent: for ever
	orderPause           Nanos   // of an ordering key after an outcome that is not known
	retryWindow          Nanos
	freeRetries          float64 // in a retryWindow
	retryRatio           float64 // further ones a job admitted in it; absent: no limit
	overQuotaValueFactor float64 // of a job outside its tenant's quota; absent: 1

	grantsHonored      bool    // engines honor our memory grants
	takesPriority      bool    // engines honor priorities
	usageReported      bool    // engines report what an attempt used
	memorySwaps        bool    // engines swap where memory is short
	maxGrantShare      float64 // of an engine's memory that a job is granted; absent: 1
	progressPeriod     Nanos   // between reports of progress; 0: none come
	jobCountField      int     // place in a load report, -1: not reported
	grantedMemoryField int     // likewise
	subscribesToList   bool    // discovery must be asked to report changes

	types        []typeSettings
	coresByKind  map[int]float64
	memoryByKind map[int]float64 // MB
	tenantQuotas map[int]float64 // jobs a second
}

// typeSettings are the settings of a reservation type.
type typeSettings struct {
	id               TypeID
	threads          float64 // of a job, at least 1
	latencyObjective Nanos
	objectivePerWork float64 // added to it, of a job's work over its threads
	value            float64 // of a job
	lateValueFactor  float64 // of it after the objective
	repeatable       bool    // a job may run any number of times
	repeatableByKey  bool    // engines drop repeats of its key
	keyScope         string  // where they do: "all", "zone" or "cell"
	repeatWindow     Nanos   // for how long they do
	orderedByKey     bool    // jobs of one key run one after the other
	locksTables      bool    // a job holds its group of tables, and stands still behind another that does
	waitsForTables   bool    // a job stands still behind one that holds its group of tables
	allowedZones     placeSet
	allowedKinds     placeSet
}

// placeSet is a list of zones or kinds by number, as the settings have it; nil holds all.
type placeSet []any

func (s placeSet) contains(number float64) bool { return s == nil || slices.Contains(s, any(number)) }

// within reports whether other contains all places of s.
func (s placeSet) within(other placeSet) bool {
	if other == nil {
		return true
	}
	return s != nil && !slices.ContainsFunc(s, func(place any) bool { return !slices.Contains(other, place) })
}

// drainGraceUnlimited applies where no grace is configured.
const drainGraceUnlimited = 1e18

// ParseSettings parses settings. It never fails: what is absent or odd has its default. The raw settings are not
// retained.
func ParseSettings(r RawSettings) *Settings {
	s := &Settings{
		controllers: max(1, int(r.number("balancers", 1))),
		ownIndex:    int(r.number("me", 0)),
		zone:        ZoneID(r.number("locality", 0)),
		batchStep:   r.nanos("step_ns"),

		probePrice:           r.number("tariffs.probe", 0),
		gossipPrice:          r.number("tariffs.peer", 0),
		crossZonePrice:       r.number("tariffs.cross_zone", 0),
		overQuotaValueFactor: r.number("over_share_worth", 1),

		jobCountField:      slices.Index(r.list("telemetry.fields"), any("concurrent")),
		grantedMemoryField: slices.Index(r.list("telemetry.fields"), any("x0")),
		subscribesToList:   r.text("discovery") == "subscribe",
		tenantQuotas:       r.numbers("tenants", "quota_per_s"),
	}
	s.evenShare = 1 / float64(s.controllers)
	s.parseLimits(r)
	s.parseRules(r)
	s.parseEngines(r)
	for i := range r.list("classes") {
		s.types = append(s.types, parseTypeSettings(r, i))
	}
	return s
}

// parseLimits parses what a controller may do.
func (s *Settings) parseLimits(r RawSettings) {
	s.maxAttempts = max(1, int(r.number("limits.most_tries", 1)))
	s.cancelAllowed = r.flag("limits.cancel")
	s.probesAllowed = r.flag("limits.probes")
	s.gossipAllowed = r.flag("limits.peer_messages")
	if r.flag("limits.retry_after") {
		s.retryAfter = r.nanos("limits.max_retry_after_ns")
	}
}

// parseRules parses the figures of the rules.
func (s *Settings) parseRules(r RawSettings) {
	s.slowStartWindow = r.nanos("invariants.warm_within_ns")
	s.startCapacity = r.number("invariants.start_capacity", 1)
	s.overloadWindow = r.nanos("invariants.fall_ns")
	s.slowStartWork = r.number("invariants.fall_multiple", 1) * r.number("invariants.start_capacity", 0)
	s.drainGrace = Nanos(r.number("invariants.drain_grace_ns", drainGraceUnlimited))
	s.orderPause = r.nanos("invariants.order_pause_ns")
	s.retryWindow = r.nanos("invariants.extra_window_ns")
	s.freeRetries = r.number("invariants.budget_free", 0)
	s.retryRatio = r.number("invariants.further_ratio", math.Inf(1))
}

// parseEngines parses what engines are, honor and report.
func (s *Settings) parseEngines(r RawSettings) {
	s.grantsHonored = r.flag("domain.grants_count")
	s.takesPriority = r.flag("domain.takes_priority")
	s.usageReported = r.flag("domain.says_cost")
	s.memorySwaps = r.text("domain.memory_short") == "swap"
	s.maxGrantShare = r.number("domain.max_grant_share", 1)
	s.progressPeriod = r.nanos("domain.note_period_ns")
	s.coresByKind = r.numbers("domain.cpu_of_kind", "")
	s.memoryByKind = r.numbers("domain.size_mb", "")
}

func parseTypeSettings(r RawSettings, place int) typeSettings {
	class := func(name string) string { return fmt.Sprintf("classes.%d.%s", place, name) }
	domain := func(name string) string { return fmt.Sprintf("domain.%s.%d", name, place) }
	return typeSettings{
		id:               TypeID(place),
		threads:          math.Max(1, r.number(domain("class_threads"), 1)),
		latencyObjective: r.nanos(class("aim_ns")),
		objectivePerWork: r.number(class("aim_stretch"), 0),
		value:            r.number(class("gain"), 1),
		lateValueFactor:  r.number(class("late_worth"), 0),
		repeatable:       r.text(class("idempotency")) == "repeatable",
		repeatableByKey:  r.text(class("idempotency")) == "by_key",
		keyScope:         r.text(class("key_scope")),
		repeatWindow:     r.nanos(class("repeat_window_ns")),
		orderedByKey:     r.flag(class("fifo_by_key")),
		locksTables:      r.flag(domain("writes_tables")),
		waitsForTables:   r.flag(domain("waits_for_loads")),
		allowedZones:     r.list(class("allowed_in")),
		allowedKinds:     r.list(class("kinds_only")),
	}
}

// cores returns the cores of an engine of a kind, at least 1.
func (s *Settings) cores(kind KindID) float64 {
	cores, known := s.coresByKind[int(kind)]
	if !known {
		return 1
	}
	return math.Max(1, cores)
}

// memoryMB returns the memory of an engine of a kind; 0 is unknown.
func (s *Settings) memoryMB(kind KindID) float64 { return s.memoryByKind[int(kind)] }

// unlimitedQuota applies to a tenant without a quota, in jobs per second.
const unlimitedQuota = 1e9

// tenantQuota returns a tenant's quota over the fleet, in jobs per second.
func (s *Settings) tenantQuota(id TenantID) float64 {
	quota, limited := s.tenantQuotas[int(id)]
	if !limited {
		return unlimitedQuota
	}
	return quota
}

// reportsLoad reports whether load reports show siblings' jobs.
func (s *Settings) reportsLoad() bool { return max(s.jobCountField, s.grantedMemoryField) >= 0 }

// jobCount returns the jobs that an engine holds by its load report, if reported.
func (s *Settings) jobCount(load []float64) (jobs float64, reported bool) {
	return reportField(load, s.jobCountField)
}

// grantedMemory returns the granted part of an engine's memory by its load report, if reported.
func (s *Settings) grantedMemory(load []float64) (share float64, reported bool) {
	return reportField(load, s.grantedMemoryField)
}

func reportField(load []float64, at int) (value float64, reported bool) {
	if at < 0 || at >= len(load) || !(load[at] >= 0) {
		return 0, false
	}
	return load[at], true
}

// applySettings replaces the settings; nil stands for defaults. What was learned of a type stays; a type that is no
// longer configured keeps its settings.
func (c *Controller) applySettings(settings *Settings) {
	if settings == nil {
		settings = ParseSettings(nil)
	}
	c.settings = *settings
	c.gossip.messages = nil
	if c.settings.gossipAllowed {
		c.gossip.messages = make([]peerMessage, c.settings.controllers)
	}
	for i, s := range c.settings.types {
		if i < len(c.types) {
			c.types[i].typeSettings = s
		} else {
			c.types = append(c.types, newJobType(s))
		}
	}
}

package choice

import (
	"fmt"
	"math"
	"slices"
)

// Settings are the settings of a controller, parsed once from RawSettings. They are immutable, so several
// controllers and goroutines may share them. The comments name the default of an absent or invalid setting
// if it is not zero.
type Settings struct {
	controllers   int     // number in the fleet, at least 1
	ownIndex      int     // of this controller among them, from 0
	evenShare     float64 // 1 / controllers
	zone          ZoneID  // of this controller
	maxEventDelay Nanos   // maximum delay of an event
	gossipAllowed bool

	maxAttempts   int // per job, at least 1
	cancelAllowed bool
	probesAllowed bool
	retryAfter    Nanos // sent with Throttle; 0: not sent

	probePrice     float64 // points per probe
	gossipPrice    float64 // points per 256 bytes
	crossZonePrice float64 // points per job

	slowStartWindow       Nanos   // from an engine's start until it has its full capacity
	startCapacity         float64 // part of its capacity that an engine has at its start; default: 1
	slowStartBudgetWindow Nanos   // over which the work sent to an engine in slow start is limited
	slowStartWorkLimit    float64 // limit of that work, in parts of the engine's capacity in the window
	drainGrace            Nanos   // after which nothing is sent to a draining engine; default: unlimited
	orderPause            Nanos   // of an ordering key after an unknown outcome
	retryWindow           Nanos   // over which retries are limited
	freeRetries           float64 // per retryWindow
	retryRatio            float64 // further retries per job admitted in the window; default: unlimited
	overQuotaValueFactor  float64 // on the value of a job over its tenant's quota; default: 1

	grantsHonored      bool    // engines honor our memory grants
	priorityHonored    bool    // engines honor priorities
	usageReported      bool    // engines report the usage of attempts
	memorySwaps        bool    // engines swap when memory is short
	maxGrantShare      float64 // largest part of an engine's memory that a job is granted; default: 1
	progressPeriod     Nanos   // between progress reports; 0: engines send none
	jobCountField      int     // index in a load report; -1: not reported
	grantedMemoryField int     // index in a load report; -1: not reported
	subscribesToList   bool    // discovery reports changes only after WatchEngines

	types        []typeSettings
	coresByKind  map[int]float64
	memoryByKind map[int]float64 // MB
	tenantQuotas map[int]float64 // jobs per second
}

// typeSettings are the settings of a job type.
type typeSettings struct {
	id               TypeID
	threads          float64 // per job, at least 1
	latencyObjective Nanos
	objectivePerWork float64 // times a job's work over its threads, added to the objective
	value            float64 // of a job that meets its objective
	lateValueFactor  float64 // on the value of a job that misses its objective
	restartable      bool    // jobs may run any number of times
	keyed            bool    // engines drop repeats: jobs with a key that they have seen
	keyScope         string  // engines that drop repeats: "all", or those of the same "zone" or "cell"
	repeatWindow     Nanos   // for how long engines drop repeats
	orderedByKey     bool    // jobs with the same key run one after the other
	locksTables      bool    // a load: locks its group of tables, and blocks while another load holds the lock
	waitsForTables   bool    // a job blocks while a load locks its group of tables
	allowedZones     indexSet
	allowedKinds     indexSet
}

// indexSet is a set of zones or of engine kinds by index, as decoded from the settings; nil contains all.
type indexSet []any

func (s indexSet) contains(index float64) bool { return s == nil || slices.Contains(s, any(index)) }

// subsetOf reports whether s is a subset of other.
func (s indexSet) subsetOf(other indexSet) bool {
	if other == nil {
		return true
	}
	return s != nil && !slices.ContainsFunc(s, func(index any) bool { return !slices.Contains(other, index) })
}

// drainGraceUnlimited is the drain grace in ns if none is configured, so large that it never ends.
const drainGraceUnlimited = 1e18

// ParseSettings parses settings. It never fails: absent and invalid settings have their defaults. The raw
// settings are not retained.
func ParseSettings(r RawSettings) *Settings {
	s := &Settings{
		controllers:   max(1, int(r.number("balancers", 1))),
		ownIndex:      int(r.number("me", 0)),
		zone:          ZoneID(r.number("locality", 0)),
		maxEventDelay: r.nanos("step_ns"),

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

// parseLimits parses the limits on what a controller may do.
func (s *Settings) parseLimits(r RawSettings) {
	s.maxAttempts = max(1, int(r.number("limits.most_tries", 1)))
	s.cancelAllowed = r.flag("limits.cancel")
	s.probesAllowed = r.flag("limits.probes")
	s.gossipAllowed = r.flag("limits.peer_messages")
	if r.flag("limits.retry_after") {
		s.retryAfter = r.nanos("limits.max_retry_after_ns")
	}
}

// parseRules parses the parameters of the rules.
func (s *Settings) parseRules(r RawSettings) {
	s.slowStartWindow = r.nanos("invariants.warm_within_ns")
	s.startCapacity = r.number("invariants.start_capacity", 1)
	s.slowStartBudgetWindow = r.nanos("invariants.fall_ns")
	s.slowStartWorkLimit = r.number("invariants.fall_multiple", 1) * r.number("invariants.start_capacity", 0)
	s.drainGrace = Nanos(r.number("invariants.drain_grace_ns", drainGraceUnlimited))
	s.orderPause = r.nanos("invariants.order_pause_ns")
	s.retryWindow = r.nanos("invariants.extra_window_ns")
	s.freeRetries = r.number("invariants.budget_free", 0)
	s.retryRatio = r.number("invariants.further_ratio", math.Inf(1))
}

// parseEngines parses the properties of engines: their capacity, what they honor and what they report.
func (s *Settings) parseEngines(r RawSettings) {
	s.grantsHonored = r.flag("domain.grants_count")
	s.priorityHonored = r.flag("domain.takes_priority")
	s.usageReported = r.flag("domain.says_cost")
	s.memorySwaps = r.text("domain.memory_short") == "swap"
	s.maxGrantShare = r.number("domain.max_grant_share", 1)
	s.progressPeriod = r.nanos("domain.note_period_ns")
	s.coresByKind = r.numbers("domain.cpu_of_kind", "")
	s.memoryByKind = r.numbers("domain.size_mb", "")
}

func parseTypeSettings(r RawSettings, index int) typeSettings {
	class := func(name string) string { return fmt.Sprintf("classes.%d.%s", index, name) }
	domain := func(name string) string { return fmt.Sprintf("domain.%s.%d", name, index) }
	return typeSettings{
		id:               TypeID(index),
		threads:          math.Max(1, r.number(domain("class_threads"), 1)),
		latencyObjective: r.nanos(class("aim_ns")),
		objectivePerWork: r.number(class("aim_stretch"), 0),
		value:            r.number(class("gain"), 1),
		lateValueFactor:  r.number(class("late_worth"), 0),
		restartable:      r.text(class("idempotency")) == "repeatable",
		keyed:            r.text(class("idempotency")) == "by_key",
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

// memoryMB returns the memory of an engine of a kind; 0: unknown.
func (s *Settings) memoryMB(kind KindID) float64 { return s.memoryByKind[int(kind)] }

// unlimitedQuota is the quota of a tenant for which none is configured, in jobs per second.
const unlimitedQuota = 1e9

// tenantQuota returns a tenant's quota for the whole fleet, in jobs per second.
func (s *Settings) tenantQuota(id TenantID) float64 {
	quota, limited := s.tenantQuotas[int(id)]
	if !limited {
		return unlimitedQuota
	}
	return quota
}

// showsPeerLoad reports whether load reports show the jobs of peers.
func (s *Settings) showsPeerLoad() bool { return max(s.jobCountField, s.grantedMemoryField) >= 0 }

// jobCount returns the number of jobs on an engine from its load report, if reported.
func (s *Settings) jobCount(load []float64) (jobs float64, reported bool) {
	return reportField(load, s.jobCountField)
}

// grantedMemory returns the granted part of an engine's memory from its load report, if reported.
func (s *Settings) grantedMemory(load []float64) (share float64, reported bool) {
	return reportField(load, s.grantedMemoryField)
}

func reportField(load []float64, index int) (value float64, reported bool) {
	if index < 0 || index >= len(load) || !(load[index] >= 0) {
		return 0, false
	}
	return load[index], true
}

// applySettings replaces the settings; nil stands for the defaults. Types keep their statistics, and a type
// that is no longer configured keeps its settings.
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

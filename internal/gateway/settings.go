package gateway

import (
	"math"
	"slices"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/audit"
	"swiftreel/internal/backend"
)

// After SIGTERM the process is killed, no sooner than the longest job timeout or killDelayMax, whichever is shorter,
// and killGrace more. stopMargin of that is left for writing answers and for being late.
const (
	killDelayMax = 3 * time.Second
	killGrace    = 700 * time.Millisecond
	stopMargin   = 150 * time.Millisecond
)

// Defaults of settings that are absent.
const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 15 * time.Second
	defaultMaxJobs     = 10000
	defaultTimeLimit   = time.Hour // latency objectives and job timeouts that the settings do not state
)

// answerSlackMargin is how much later than the settings allow an answer may come before it is given up.
const answerSlackMargin = 50 * time.Millisecond

// listAgePart is the part of the grace of a drain for which the endpoint list is not asked for news again.
const listAgePart = 5

// memoryEstimateFactor is how many times the largest engine's memory an estimate may be.
const memoryEstimateFactor = 8

// settings are the settings that concern carrying out, not deciding. They do not change once made.
type settings struct {
	dialTimeout    time.Duration
	idleTimeout    time.Duration
	step           time.Duration // between two events that may depend on each other over different connections
	answerSlack    time.Duration // how late an answer may be
	drainGrace     time.Duration // in which an engine that drains may still be sent to; 0: no bound
	orderPause     time.Duration // of an order key after an outcome that is unsure
	retries        audit.RetryBudget
	stopTimeout    time.Duration // after SIGTERM the process is not killed before
	streamsPerConn int
	maxJobs        int
	maxMemoryMB    float64 // beyond any engine, and any rough estimate for one
	loadFields     []string
	reportsLoad    bool // probes ask for load reports
	types          []typeSettings
}

// typeSettings are those of one job type.
type typeSettings struct {
	objective        time.Duration // latency objective of a job without work
	objectiveStretch float64       // more of it for each ms of work and thread
	threads          float64
	clientTimeout    time.Duration // how long its clients wait in all
	runOnce          bool          // a dispatch must not be broken off
	neverRepeated    bool          // nor be sent again once it may have run, not even by its key
	ordered          bool          // jobs of one order key run one after the other
	writesTables     bool
	waitsForLoads    bool
}

// settingsMap reads values of the settings; a value of another type counts as absent.
type settingsMap map[string]any

func (m settingsMap) object(key string) settingsMap {
	object, _ := m[key].(map[string]any)
	return object
}

func (m settingsMap) list(key string) []any {
	list, _ := m[key].([]any)
	return list
}

// number returns a positive number, or the default.
func (m settingsMap) number(key string, defaultValue float64) float64 {
	if value, isNumber := m[key].(float64); isNumber && value > 0 {
		return value
	}
	return defaultValue
}

func (m settingsMap) duration(key string, defaultValue time.Duration) time.Duration {
	return time.Duration(m.number(key, float64(defaultValue)))
}

func newSettings(facts choice.RawSettings) settings {
	root := settingsMap(facts)
	limits := root.object("limits")
	rules := root.object("invariants")
	s := settings{
		dialTimeout:    limits.duration("dial_timeout_ns", defaultDialTimeout),
		idleTimeout:    limits.duration("conn_idle_ns", defaultIdleTimeout),
		step:           root.duration("step_ns", 0),
		answerSlack:    rules.duration("answer_slack_ns", 0) + answerSlackMargin,
		drainGrace:     rules.duration("drain_grace_ns", 0),
		orderPause:     rules.duration("order_pause_ns", 0),
		streamsPerConn: int(limits.number("max_streams", 1)),
		maxJobs:        int(limits.number("max_open", defaultMaxJobs)),
		maxMemoryMB:    maxMemoryMB(root.object("domain").list("size_mb")),
		types:          newTypeSettings(root),
	}
	s.retries = retryBudget(rules)
	s.stopTimeout = stopTimeout(s.types)
	telemetry := root.object("telemetry")
	for _, value := range telemetry.list("fields") {
		name, _ := value.(string)
		s.loadFields = append(s.loadFields, name)
	}
	s.reportsLoad = telemetry["via"] != "off" && len(s.loadFields) > 0
	return s
}

// listMaxAge is how old the endpoint list may be at a send before it is asked whether there is news: a part of the time
// in which an engine that drains may still be sent to.
func (s settings) listMaxAge() time.Duration { return s.drainGrace / listAgePart }

// retryBudget returns the budget of retries; without a ratio there is no bound.
func retryBudget(rules settingsMap) audit.RetryBudget {
	if _, isBounded := rules["further_ratio"].(float64); !isBounded {
		return audit.RetryBudget{}
	}
	return audit.RetryBudget{
		Window: rules.duration("extra_window_ns", 0),
		Free:   rules.number("budget_free", 0),
		Ratio:  rules.number("further_ratio", 0),
	}
}

func newTypeSettings(root settingsMap) []typeSettings {
	domain := root.object("domain")
	threads := domain.list("class_threads")
	var list []typeSettings
	for i, value := range root.list("classes") {
		object, _ := value.(map[string]any)
		class := settingsMap(object)
		list = append(list, typeSettings{
			objective:        class.duration("aim_ns", defaultTimeLimit),
			objectiveStretch: class.number("aim_stretch", 0),
			threads:          threadsAt(threads, i),
			clientTimeout:    class.duration("give_up_ns", defaultTimeLimit),
			runOnce:          class["idempotency"] != "repeatable",
			neverRepeated:    class["idempotency"] == "once",
			ordered:          class["fifo_by_key"] == true,
			writesTables:     isTrueAt(domain.list("writes_tables"), i),
			waitsForLoads:    isTrueAt(domain.list("waits_for_loads"), i),
		})
	}
	return list
}

func threadsAt(list []any, i int) float64 {
	if i < len(list) {
		if threads, isNumber := list[i].(float64); isNumber && threads > 1 {
			return threads
		}
	}
	return 1
}

func isTrueAt(list []any, i int) bool { return i < len(list) && list[i] == true }

func maxMemoryMB(engineSizes []any) float64 {
	largest := 0.0
	for _, value := range engineSizes {
		size, _ := value.(float64)
		largest = max(largest, memoryEstimateFactor*size)
	}
	if largest == 0 {
		return math.Inf(1)
	}
	return largest
}

func stopTimeout(types []typeSettings) time.Duration {
	timeouts := []time.Duration{0}
	for _, t := range types {
		timeouts = append(timeouts, t.clientTimeout)
	}
	return min(slices.Max(timeouts), killDelayMax) + killGrace - stopMargin
}

// typeOf returns the settings of a job type; false if there are none.
func (s settings) typeOf(id choice.TypeID) (typeSettings, bool) {
	if int(id) < len(s.types) {
		return s.types[id], true
	}
	return typeSettings{}, false
}

// objective returns the latency objective of a job of a type that took so much work.
func (s settings) objective(id choice.TypeID, workMS float64) time.Duration {
	t, known := s.typeOf(id)
	if !known {
		return defaultTimeLimit
	}
	return t.objective + time.Duration(t.objectiveStretch*workMS/t.threads*float64(time.Millisecond))
}

// maxTimeout returns the longest job timeout that makes sense for a type, with a margin.
func (s settings) maxTimeout(id choice.TypeID) time.Duration {
	t, known := s.typeOf(id)
	if !known {
		return defaultTimeLimit
	}
	return 2 * t.clientTimeout
}

// lane returns which connections the jobs of a type use.
func (s settings) lane(id choice.TypeID) backend.Lane {
	if t, _ := s.typeOf(id); t.runOnce {
		return backend.RunOnce
	}
	return backend.Restartable
}

// needsTableGroup reports whether it matters for a type's jobs which group of tables they use.
func (s settings) needsTableGroup(id choice.TypeID) bool {
	t, _ := s.typeOf(id)
	return t.writesTables || t.waitsForLoads
}

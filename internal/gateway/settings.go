package gateway

import (
	"math"
	"slices"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/audit"
	"swiftreel/internal/backend"
)

// After SIGTERM the process may be killed once the longest job timeout, but at most killDelayMax, plus killGrace has
// passed. The last stopMargin of this time is reserved for writing answers and for delays.
const (
	killDelayMax = 3 * time.Second
	killGrace    = 700 * time.Millisecond
	stopMargin   = 150 * time.Millisecond
)

// Defaults for absent settings.
const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 15 * time.Second
	defaultMaxJobs     = 10000
	defaultTimeLimit   = time.Hour // for latency objectives and job timeouts
)

// answerSlackMargin is added to settings.answerSlack before the gateway answers an overdue job itself.
const answerSlackMargin = 50 * time.Millisecond

// listAgeDivisor sets listMaxAge as a fraction of the drain grace.
const listAgeDivisor = 5

// memoryEstimateFactor bounds memory estimates as a multiple of the largest engine's memory, since estimates may be
// rough.
const memoryEstimateFactor = 8

// settings are the settings that the gateway itself uses, as opposed to the decision module. They are immutable.
type settings struct {
	dialTimeout    time.Duration
	idleTimeout    time.Duration
	crossConnDelay time.Duration // delay between causally related messages on different connections
	answerSlack    time.Duration // how late after the job timeout an answer may be
	drainGrace     time.Duration // how long a draining engine may still be sent jobs; 0 means no limit
	keyPause       time.Duration // pause of an ordering key after an unknown outcome
	retries        audit.RetryBudget
	stopTimeout    time.Duration // time after SIGTERM in which all jobs must be answered
	streamsPerConn int           // open dispatches that one connection to an engine may carry
	maxJobs        int           // maximum number of jobs in progress
	maxMemoryMB    float64       // largest accepted memory estimate of a job
	loadFields     []string
	reportsLoad    bool // probes ask for load reports
	types          []typeSettings
}

// typeSettings are the settings of one job type.
type typeSettings struct {
	objective        time.Duration // latency objective, excluding objectivePerWork
	objectivePerWork float64       // ms added to the objective per ms of work per thread
	threads          float64       // per job
	clientTimeout    time.Duration // total time that clients wait
	notRestartable   bool          // run-once or keyed: a dispatch must not be aborted
	runOnce          bool          // must not be dispatched again once it may have run, not even by its key
	ordered          bool          // jobs of one ordering key run one at a time, in order
	writesTables     bool
	waitsForLoads    bool
}

// settingsMap gives typed access to raw settings. A value of the wrong type counts as absent.
type settingsMap map[string]any

func (m settingsMap) object(key string) settingsMap {
	object, _ := m[key].(map[string]any)
	return object
}

func (m settingsMap) list(key string) []any {
	list, _ := m[key].([]any)
	return list
}

// number returns the value if it is a positive number, and the default otherwise.
func (m settingsMap) number(key string, defaultValue float64) float64 {
	if value, isNumber := m[key].(float64); isNumber && value > 0 {
		return value
	}
	return defaultValue
}

func (m settingsMap) duration(key string, defaultValue time.Duration) time.Duration {
	return time.Duration(m.number(key, float64(defaultValue)))
}

func newSettings(raw choice.RawSettings) settings {
	root := settingsMap(raw)
	limits := root.object("limits")
	rules := root.object("invariants")
	s := settings{
		dialTimeout:    limits.duration("dial_timeout_ns", defaultDialTimeout),
		idleTimeout:    limits.duration("conn_idle_ns", defaultIdleTimeout),
		crossConnDelay: root.duration("step_ns", 0),
		answerSlack:    rules.duration("answer_slack_ns", 0) + answerSlackMargin,
		drainGrace:     rules.duration("drain_grace_ns", 0),
		keyPause:       rules.duration("order_pause_ns", 0),
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

// listMaxAge returns how old the endpoint list may be at a send before it is checked for updates. It is a fraction of
// the drain grace.
func (s settings) listMaxAge() time.Duration { return s.drainGrace / listAgeDivisor }

// retryBudget returns the retry budget. If the settings contain no ratio, retries are not limited.
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
			objectivePerWork: class.number("aim_stretch", 0),
			threads:          threadsAt(threads, i),
			clientTimeout:    class.duration("give_up_ns", defaultTimeLimit),
			notRestartable:   class["idempotency"] != "repeatable",
			runOnce:          class["idempotency"] == "once",
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

// typeOf returns the settings of a job type, and false if there are none.
func (s settings) typeOf(id choice.TypeID) (typeSettings, bool) {
	if int(id) < len(s.types) {
		return s.types[id], true
	}
	return typeSettings{}, false
}

// objective returns the latency objective of a job of the given type and work.
func (s settings) objective(id choice.TypeID, workMS float64) time.Duration {
	t, known := s.typeOf(id)
	if !known {
		return defaultTimeLimit
	}
	return t.objective + time.Duration(t.objectivePerWork*workMS/t.threads*float64(time.Millisecond))
}

// maxTimeout returns the longest accepted job timeout of a type: twice the time that its clients wait.
func (s settings) maxTimeout(id choice.TypeID) time.Duration {
	t, known := s.typeOf(id)
	if !known {
		return defaultTimeLimit
	}
	return 2 * t.clientTimeout
}

// lane returns the connection lane for the jobs of a type.
func (s settings) lane(id choice.TypeID) backend.Lane {
	if t, _ := s.typeOf(id); t.notRestartable {
		return backend.NotRestartable
	}
	return backend.Restartable
}

// needsTableGroup reports whether scheduling the jobs of a type depends on their group of tables.
func (s settings) needsTableGroup(id choice.TypeID) bool {
	t, _ := s.typeOf(id)
	return t.writesTables || t.waitsForLoads
}

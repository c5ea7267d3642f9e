package gateway

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
)

// After SIGTERM comes SIGKILL, no sooner than the longest job timeout, or this where it is longer, and some more.
const (
	killedLate  = 3 * time.Second
	killedLeast = 700 * time.Millisecond
	killedSpare = 300 * time.Millisecond // to write, and to be late
)

// rules are the figures of the settings that concern carrying out, not deciding.
type rules struct {
	dial, idle, step, slack time.Duration
	streams, open           int
	aims                    []aim           // by type
	writes, waits           []any           // by type: its group of tables matters
	once                    []bool          // by type: it must not be broken off
	giveUp                  []time.Duration // by type: how long its clients wait in all
	stops                   time.Duration   // after SIGTERM we are not killed before
	mostMB                  float64         // past any engine, and any rough estimate for one
	fields                  []string
	loadTold                bool
}

// aim is a type's SLA time.
type aim struct {
	least            time.Duration
	stretch, threads float64 // for each of its work over its threads so much more
}

// wanted is the SLA time of a job of a type that took so much work.
func (r rules) wanted(t choice.TypeID, workMS float64) time.Duration {
	if int(t) >= len(r.aims) {
		return time.Hour
	}
	a := r.aims[t]
	return a.least + time.Duration(a.stretch*workMS/a.threads*float64(time.Millisecond))
}

func newRules(f choice.RawSettings) rules {
	in := func(name string) map[string]any { m, _ := f[name].(map[string]any); return m }
	num := func(m map[string]any, name string, absent float64) float64 {
		if v, is := m[name].(float64); is && v > 0 {
			return v
		}
		return absent
	}
	l, d, t := in("limits"), in("domain"), in("telemetry")
	r := rules{
		dial: time.Duration(num(l, "dial_timeout_ns", 1e9)), idle: time.Duration(num(l, "conn_idle_ns", 15e9)),
		step:    time.Duration(num(f, "step_ns", 0)),
		slack:   time.Duration(num(in("invariants"), "answer_slack_ns", 0)) + 50*time.Millisecond,
		streams: int(num(l, "max_streams", 1)), open: int(num(l, "max_open", 10000)),
	}
	r.writes, _ = d["writes_tables"].([]any)
	r.waits, _ = d["waits_for_loads"].([]any)
	classes, _ := f["classes"].([]any)
	threads, _ := d["class_threads"].([]any)
	for i, v := range classes {
		c, _ := v.(map[string]any)
		a := aim{time.Duration(num(c, "aim_ns", float64(time.Hour))), num(c, "aim_stretch", 0), 1}
		if i < len(threads) {
			if n, is := threads[i].(float64); is && n > 1 {
				a.threads = n
			}
		}
		r.aims = append(r.aims, a)
		r.once = append(r.once, c["idempotency"] != "repeatable")
		r.giveUp = append(r.giveUp, time.Duration(num(c, "give_up_ns", float64(time.Hour))))
	}
	sizes, _ := d["size_mb"].([]any)
	for _, v := range sizes {
		size, _ := v.(float64)
		r.mostMB = max(r.mostMB, 8*size)
	}
	if r.mostMB == 0 {
		r.mostMB = math.Inf(1)
	}
	r.stops = min(slices.Max(append(r.giveUp, 0)), killedLate) + killedLeast - killedSpare
	fields, _ := t["fields"].([]any)
	for _, v := range fields {
		name, _ := v.(string)
		r.fields = append(r.fields, name)
	}
	r.loadTold = t["via"] != "off" && len(fields) > 0
	return r
}

// mostLeft is the longest job timeout that makes sense for a type, and some to spare.
func (r rules) mostLeft(t choice.TypeID) time.Duration {
	if int(t) < len(r.giveUp) {
		return 2 * r.giveUp[t]
	}
	return time.Hour
}

// lane tells which connections a type's jobs go over.
func (r rules) lane(t choice.TypeID) backend.Lane {
	if int(t) < len(r.once) && r.once[t] {
		return backend.MayNot
	}
	return backend.MayRepeat
}

// tables tells whether a type's group of tables bears on where it runs.
func (r rules) tables(t choice.TypeID) bool {
	at := func(list []any) bool { return int(t) < len(list) && list[t] == true }
	return at(r.writes) || at(r.waits)
}

// results are the module's words for the ends of dispatches and probes.
var results = map[backend.End]choice.Result{
	backend.Done: choice.Done, backend.Failed: choice.Failed, backend.Full: choice.Full, backend.Moot: choice.Superseded,
	backend.NotConnected: choice.Unreachable, backend.Reset: choice.Reset, backend.TimedOut: choice.TimedOut,
}

// notes are its words for what news tells.
var notes = map[string]choice.ProgressKind{
	"frac": choice.ProgressFraction, "missing": choice.ProgressSpilling, "parked": choice.ProgressWaiting,
}

// reported are the sockets' names of the fields that the settings name otherwise.
var reported = map[string]string{
	"inflight": "concurrent", "queue": "depth", "util": "load_share", "latency_ms": "mean_ms", "qps": "tps",
	"eps": "err_ps",
}

// load reads a report into the order of the settings' fields. One that lacks a field, or has one that is no
// number, is none.
func (r rules) load(text string) []float64 {
	if text == "" || len(r.fields) == 0 {
		return nil
	}
	values, found := make([]float64, len(r.fields)), 0
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(part, ":")
		if ours, is := reported[name]; is {
			name = ours
		}
		if i := slices.Index(r.fields, name); i >= 0 {
			v, is := number(value)
			if !is {
				return nil
			}
			values[i] = v
			found++
		}
	}
	if found != len(values) {
		return nil
	}
	return values
}

// bill packs what an answer tells of work and memory as the module reads it.
func bill(r backend.Reply) uint32 {
	work := min(math.Round(r.WorkMS), 1<<20-1)
	room := min(math.Round(r.RoomMB/4), 1<<12-1)
	return uint32(work)<<12 | uint32(room)
}

func number(text string) (float64, bool) {
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil && v >= 0 && !math.IsInf(v, 0)
}

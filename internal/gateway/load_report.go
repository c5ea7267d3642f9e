package gateway

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"swiftreel/choice"
	"swiftreel/internal/backend"
)

// results are the module's terms for the outcomes of dispatches and probes.
var results = map[backend.Outcome]choice.Result{
	backend.Done:         choice.Done,
	backend.Failed:       choice.Failed,
	backend.Full:         choice.Full,
	backend.Superseded:   choice.Superseded,
	backend.NotConnected: choice.Unreachable,
	backend.Reset:        choice.Reset,
	backend.TimedOut:     choice.TimedOut,
	backend.DialFailed:   choice.DialFailed,
}

// resultNames are the names of results in counters.
var resultNames = map[choice.Result]string{
	choice.Done:        "done",
	choice.Failed:      "failed",
	choice.Full:        "full",
	choice.TimedOut:    "timed_out",
	choice.Unreachable: "refused_connection",
	choice.Reset:       "reset",
	choice.Canceled:    "canceled",
	choice.Superseded:  "superseded",
	choice.DialFailed:  "dial_failed",
}

// notices are the module's terms for the notices that engines send of a running dispatch.
var notices = map[string]choice.ProgressKind{
	"frac":    choice.ProgressFraction,
	"missing": choice.ProgressSpilling,
	"parked":  choice.ProgressWaiting,
}

// loadFieldNames are the settings' names of load report fields that are named otherwise on the wire.
var loadFieldNames = map[string]string{
	"inflight":   "concurrent",
	"queue":      "depth",
	"util":       "load_share",
	"latency_ms": "mean_ms",
	"qps":        "tps",
	"eps":        "err_ps",
}

// parseLoad reads a load report such as inflight:7;util:0.61 into the order of the settings' fields. A report that
// lacks a field, or has one that is no number, counts as none: nil.
func (s settings) parseLoad(report string) []float64 {
	if report == "" || len(s.loadFields) == 0 {
		return nil
	}
	values := make([]float64, len(s.loadFields))
	found := 0
	for part := range strings.SplitSeq(report, ";") {
		name, text, _ := strings.Cut(part, ":")
		if settingsName, differs := loadFieldNames[name]; differs {
			name = settingsName
		}
		i := slices.Index(s.loadFields, name)
		if i < 0 {
			continue
		}
		value, ok := parseFigure(text)
		if !ok {
			return nil
		}
		values[i] = value
		found++
	}
	if found != len(values) {
		return nil
	}
	return values
}

// parseFigure reads a finite number that is not negative.
func parseFigure(text string) (float64, bool) {
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil && value >= 0 && !math.IsInf(value, 0)
}

// A bill is 32 bits: the work in ms, then the memory in units of billMemoryUnitMB.
const (
	billWorkBits     = 20
	billMemoryBits   = 12
	billMemoryUnitMB = 4
)

// packBill packs what a reply reports of work and memory as the module reads it. Figures beyond their bits are capped.
func packBill(reply backend.Reply) uint32 {
	work := min(math.Round(reply.WorkMS), 1<<billWorkBits-1)
	memory := min(math.Round(reply.MemoryMB/billMemoryUnitMB), 1<<billMemoryBits-1)
	return uint32(work)<<billMemoryBits | uint32(memory)
}

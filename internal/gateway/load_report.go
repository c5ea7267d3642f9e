package gateway

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"swiftreel/choice"
	"swiftreel/internal/backend"
)

// results maps outcomes of dispatches and probes to the module's results.
var results = map[backend.Outcome]choice.Result{
	backend.Done:         choice.Done,
	backend.Failed:       choice.Failed,
	backend.Full:         choice.Full,
	backend.Superseded:   choice.Superseded,
	backend.NotConnected: choice.ConnectionRefused,
	backend.Reset:        choice.Reset,
	backend.TimedOut:     choice.TimedOut,
	backend.DialFailed:   choice.DialFailed,
	backend.NoMemory:     choice.Canceled,
}

// resultNames are the names of results in counter names.
var resultNames = map[choice.Result]string{
	choice.Done:              "done",
	choice.Failed:            "failed",
	choice.Full:              "full",
	choice.TimedOut:          "timed_out",
	choice.ConnectionRefused: "refused_connection",
	choice.Reset:             "reset",
	choice.Canceled:          "canceled",
	choice.Superseded:        "superseded",
	choice.DialFailed:        "dial_failed",
}

// notices maps the progress notices that engines send for a running dispatch to the module's kinds.
var notices = map[string]choice.ProgressKind{
	"frac":    choice.ProgressFraction,
	"missing": choice.ProgressSpilling,
	"parked":  choice.ProgressWaiting,
}

// loadFieldNames maps wire names of load report fields to the names in the settings, where they differ.
var loadFieldNames = map[string]string{
	"inflight":   "concurrent",
	"queue":      "depth",
	"util":       "load_share",
	"latency_ms": "mean_ms",
	"qps":        "tps",
	"eps":        "err_ps",
}

// parseLoad parses a load report such as inflight:7;util:0.61. The values are in the order of the fields in the
// settings. It returns nil if a field is missing or invalid.
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
		value, ok := parseNonNegative(text)
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

// parseNonNegative parses a finite, non-negative number.
func parseNonNegative(text string) (float64, bool) {
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil && value >= 0 && !math.IsInf(value, 0)
}

// Usage is packed into 32 bits: the work in ms in the upper bits, the memory in units of usageMemoryUnitMB in the lower
// ones.
const (
	usageWorkBits     = 20
	usageMemoryBits   = 12
	usageMemoryUnitMB = 4
)

// packUsage packs the work and memory that a reply reports into the module's format. Values that do not fit are capped.
func packUsage(reply backend.Reply) uint32 {
	work := min(math.Round(reply.WorkMS), 1<<usageWorkBits-1)
	memory := min(math.Round(reply.MemoryMB/usageMemoryUnitMB), 1<<usageMemoryBits-1)
	return uint32(work)<<usageMemoryBits | uint32(memory)
}

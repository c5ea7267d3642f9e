package coordinator

import (
	"time"

	"swiftreel/internal/canary"
	"swiftreel/internal/change"
	"swiftreel/internal/jobstats"
	"swiftreel/internal/rollout"
)

// Record is the state of a change that is stored and survives its coordinator.
type Record struct {
	ID            string        `json:"by"` // identifies this record to supervisors
	Change        change.Change `json:"change"`
	FromSpec      change.Spec   `json:"from"`
	ToSpec        change.Spec   `json:"to"`
	Stages        [][]string    `json:"stages"` // members by stage; nil until the baseline is complete
	State         rollout.State `json:"state"`
	LastRequestID string        `json:"asked"` // the last operator's request that was carried out
}

// Transition is an entry of the history of all changes.
type Transition struct {
	Time    time.Time     `json:"at"` // wall clock of the coordinator's machine; informational
	Number  int64         `json:"number"`
	Phase   rollout.Phase `json:"phase"`
	Stage   int           `json:"stage"`
	Fence   change.Fence  `json:"fence"`
	Reason  string        `json:"why"`
	Outcome string        `json:"outcome,omitempty"`
}

// PollSummary summarizes one poll by version, for reports.
type PollSummary struct {
	Time   time.Time      `json:"at"` // wall clock of the coordinator's machine
	Number int64          `json:"number"`
	Phase  rollout.Phase  `json:"phase"`
	Stage  int            `json:"stage"`
	EValue float64        `json:"odds"` // e-value of the verdict: evidence of a regression; about 1 without any
	Old    VersionSummary `json:"old"`
	New    VersionSummary `json:"new"`
}

// VersionSummary is one version's part of a PollSummary: counts of jobs since the previous poll.
type VersionSummary struct {
	Jobs      uint64 `json:"jobs"`
	Missed    uint64 `json:"missed"` // not done within the SLA time
	Throttled uint64 `json:"throttled"`
	Cancelled uint64 `json:"cancelled"`
	MedianNS  int64  `json:"median_ns"`
	P99NS     int64  `json:"p99_ns"`
}

func versionSummary(counts canary.JobCounts) VersionSummary {
	return VersionSummary{
		Jobs:      counts.Jobs,
		Missed:    counts.Jobs - counts.WithinSLA,
		Throttled: counts.Throttled,
		Cancelled: counts.Cancelled,
		MedianNS:  int64(jobstats.Quantile(counts.LatencyBuckets, 50)),
		P99NS:     int64(jobstats.Quantile(counts.LatencyBuckets, 99)),
	}
}

// OperatorRequest is an operator's request to the coordinator of the change. Its ID distinguishes a new request from
// one that was carried out already.
type OperatorRequest struct {
	ID      string          `json:"id"`
	Request rollout.Request `json:"ask"`
}

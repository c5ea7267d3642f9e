package supervisor

import (
	"encoding/json"
	"time"

	"swiftreel/internal/assignment"
	"swiftreel/internal/canary"
	"swiftreel/internal/change"
	"swiftreel/internal/monotonic"
)

// noOrderYet is Status.SinceOrderMS before the first order.
const noOrderYet = -1

// Status is the state of a supervisor and its controller, as GET /v1/status returns it. The controller's values are
// those of its last report; they are zero while there is none.
type Status struct {
	Format      int           `json:"format"` // version of this format
	Name        string        `json:"name"`
	Spec        change.Spec   `json:"spec"`    // ordered
	RunningSpec change.Digest `json:"running"` // in force at the controller; empty if it has not reported
	// Version and SettingsDigest are those of the controller.
	Version        string        `json:"version"`
	SettingsDigest change.Digest `json:"settings"`
	// Fence and OrderedBy are those of the last accepted order.
	Fence     change.Fence `json:"fence"`
	OrderedBy string       `json:"by"`
	Serving   bool         `json:"serves"`  // the controller is ready for jobs
	Drained   bool         `json:"drained"` // no controller runs, as the order demands
	Failure   string       `json:"failed"`  // why the order cannot be carried out
	// Crashes counts unexpected exits of controllers and failed starts.
	Crashes        uint64 `json:"crashes"`
	PID            int    `json:"pid"`    // of the current controller
	DrainingPIDs   []int  `json:"drains"` // of older processes that finish their outstanding jobs
	PendingAnswers int64  `json:"owed"`
	// SinceOrderMS is the time since the last order was received, accepted or not; -1 if there was none.
	SinceOrderMS   int64   `json:"order_ms"`
	SinceRequestMS int64   `json:"asked_ms"` // since the previous status request
	MemoryMB       float64 `json:"memory_mb"`
	CPUNS          int64   `json:"cpu_ns"` // used by the controller since its start
	// StartedUnixNS identifies the controller process; it is read from the controller's clock.
	StartedUnixNS  int64  `json:"started"`
	Probes         uint64 `json:"probes"`
	EjectedEngines int    `json:"aside"`
	// JobCounts are since the controller's start.
	JobCounts map[canary.Group]canary.JobCounts `json:"work"`
	// Incarnation identifies this process of the supervisor; since format 2.
	Incarnation string              `json:"life"`
	MonotonicNS int64               `json:"boot_ns"` // reading of the machine's monotonic clock
	Assignment  assignment.Accepted `json:"word"`    // the leader's, in force
	// SharePerMillion is the share of the fleet that the controller applies.
	SharePerMillion int64 `json:"carries_per_million"`
	// AppliedAssignment is the sequence number of the assignment whose share all processes apply; 0 if that is not
	// known.
	AppliedAssignment int64    `json:"carried_word"`
	ReadyEngineCount  int      `json:"engine_count"`
	ReadyEngines      []string `json:"engines,omitempty"` // only on request
	// UnknownFields are fields of this document that only another version knows.
	UnknownFields map[string]json.RawMessage `json:"-"`
}

// ReadStatus decodes a status of this version or another one.
func ReadStatus(text []byte) (Status, error) {
	var status Status
	if err := json.Unmarshal(text, &status); err != nil {
		return Status{}, err
	}
	if err := json.Unmarshal(text, &status.UnknownFields); err != nil {
		return Status{}, err
	}
	known, err := json.Marshal(Status{})
	if err != nil {
		return Status{}, err
	}
	var knownFields map[string]json.RawMessage
	if err := json.Unmarshal(known, &knownFields); err != nil {
		return Status{}, err
	}
	for name := range knownFields {
		delete(status.UnknownFields, name)
	}
	return status, nil
}

// Status returns the current state and resets the time since the last request.
func (s *Supervisor) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	status := Status{
		Format:            change.Format,
		Name:              s.options.Name,
		Spec:              s.order.Spec,
		Fence:             s.order.Fence,
		OrderedBy:         s.order.CoordinatorID,
		Drained:           s.outOfService,
		Failure:           s.failure,
		Crashes:           s.backoff.crashes,
		SinceOrderMS:      noOrderYet,
		SinceRequestMS:    now.Sub(s.lastRequestAt).Milliseconds(),
		Incarnation:       s.incarnation,
		MonotonicNS:       monotonic.Now(),
		Assignment:        s.assignment,
		AppliedAssignment: s.appliedAssignment(),
	}
	s.lastRequestAt = now
	if !s.lastOrderAt.IsZero() {
		status.SinceOrderMS = now.Sub(s.lastOrderAt).Milliseconds()
	}
	for _, c := range s.draining {
		status.DrainingPIDs = append(status.DrainingPIDs, c.command.Process.Pid)
	}
	if s.current != nil && s.current.report.StartedUnixNS != 0 {
		status.addController(s.current)
	}
	return status
}

// addController fills in the values of the current controller. The supervisor's lock must be held.
func (s *Status) addController(source *controller) {
	report := &source.report
	s.PID = source.command.Process.Pid
	s.Version = report.Version
	s.SettingsDigest = report.SettingsDigest
	s.RunningSpec = report.SpecDigest
	s.Serving = report.Ready
	s.PendingAnswers = report.PendingAnswers
	s.StartedUnixNS = report.StartedUnixNS
	s.Probes = report.Probes
	s.EjectedEngines = report.EjectedEngines
	s.JobCounts = report.JobCounts
	s.ReadyEngines = report.ReadyEngines
	s.ReadyEngineCount = len(report.ReadyEngines)
	s.SharePerMillion = report.SharePerMillion
	usage := usageOf(s.PID)
	s.MemoryMB = usage.memoryMB
	s.CPUNS = usage.cpuNS
}

// appliedAssignment returns the sequence number of the assignment whose share every process applies. It is 0 while any
// process may apply an earlier share: one that has not accepted the new share yet, or one that is draining, whose share
// cannot be withdrawn. The lock must be held.
func (s *Supervisor) appliedAssignment() int64 {
	if len(s.draining) > 0 {
		return 0
	}
	inForce := idOf(s.assignment)
	for _, c := range []*controller{s.current, s.next} {
		if c != nil && c.appliedAssignment != inForce {
			return 0
		}
	}
	return s.assignment.Sequence
}

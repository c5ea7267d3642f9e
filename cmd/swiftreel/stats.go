package main

import (
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/counters"
	"swiftreel/internal/failpoint"
	"swiftreel/internal/gateway"
	"swiftreel/internal/handover"
	"swiftreel/internal/jobstats"
	"swiftreel/internal/monotonic"
	"swiftreel/internal/version"
)

// perMillion is the denominator of shares in reports and assignments.
const perMillion = 1e6

// statsServer reports job statistics over HTTP and accepts the fleet share that a leader assigns to this controller.
// If it is disabled, server is nil.
type statsServer struct {
	server         *jobstats.Server
	stats          *jobstats.Recorder
	gateway        *gateway.Gateway
	pendingAnswers func() int64 // number of pending answers
	startedNS      int64        // Unix time by this process's clock, not comparable with others; identifies the process
	applied        atomic.Pointer[appliedDigests]
}

// appliedDigests identifies the files that a controller runs with.
type appliedDigests struct {
	spec     change.Digest // as given in the operator's file
	settings change.Digest // of the settings that the decision module uses
}

// newStatsServer listens on the address in the operator's file. Without such a part it returns a disabled server.
func newStatsServer(files files, gate *gateway.Gateway, pendingAnswers func() int64) (*statsServer, error) {
	s := &statsServer{gateway: gate, pendingAnswers: pendingAnswers}
	s.setApplied(files)
	options := files.operator.Stats
	if options == nil {
		return s, nil
	}
	s.stats = jobstats.NewRecorder()
	s.startedNS = failpoint.WallClock().UnixNano()
	gate.SetStats(s.stats)
	server, err := jobstats.Serve(options.Listen, s.report, s.assignShare,
		jobstats.Route{Pattern: handover.Pattern, Handler: s.acceptSuccessor},
		jobstats.Route{Pattern: "POST " + handover.NoticePath, Handler: s.acceptNotice})
	if err != nil {
		return nil, err
	}
	s.server = server
	// Supervisors of all versions parse this line.
	slog.Info("serving_tally", "address", server.Address(), "handover", handover.Version)
	return s, nil
}

// setApplied sets the files that reports identify as applied.
func (s *statsServer) setApplied(files files) {
	applied := appliedDigests{settings: change.JSONDigest(files.settings)}
	if files.operator.Stats != nil {
		applied.spec = files.operator.Stats.SpecDigest
	}
	s.applied.Store(&applied)
}

func (s *statsServer) report() jobstats.Report {
	var report jobstats.Report
	s.stats.FillReport(&report)
	applied := s.applied.Load()
	report.StartedUnixNS = s.startedNS
	report.Version = version.Name
	report.SpecDigest = applied.spec
	report.SettingsDigest = applied.settings
	report.Ready = s.gateway.Ready()
	report.ReloadsFailed = counters.Value("reloads_failed")
	report.EjectedEngines = s.gateway.EjectedEngines()
	report.ReadyEngines = s.gateway.ReadyEngines()
	report.SharePerMillion = int64(perMillion * s.gateway.FleetShare())
	report.PendingAnswers = s.pendingAnswers()
	report.EngineHealth = marshalOrNil(s.gateway.EngineHealth())
	report.TypeStats = marshalOrNil(s.gateway.TypeStats())
	return report
}

// marshalOrNil returns nil for values that JSON cannot represent, such as infinities. These are not reported.
func marshalOrNil(value any) json.RawMessage {
	text, err := json.Marshal(value)
	if err != nil {
		return nil
	}
	return text
}

// assignShare passes a leader's assignment to the gateway, unless it has expired.
func (s *statsServer) assignShare(assigned jobstats.Share) {
	remaining := assigned.ExpiryNS - monotonic.Now()
	if remaining <= 0 {
		return
	}
	quotas := map[string]float64{}
	for tenant, share := range assigned.TenantQuotas {
		quotas[tenant] = float64(share) / perMillion
	}
	s.gateway.AssignShare(float64(assigned.PerMillion)/perMillion, quotas, time.Duration(remaining))
}

func (s *statsServer) close() {
	if s.server != nil {
		s.server.Close()
	}
}

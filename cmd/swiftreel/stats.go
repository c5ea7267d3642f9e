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
	"swiftreel/internal/jobstats"
	"swiftreel/internal/monotonic"
	"swiftreel/internal/version"
)

// perMillion is the denominator of shares in reports and assignments.
const perMillion = 1e6

// statsServer reports over HTTP what becomes of jobs, and takes the share of the fleet that a leader assigns. If it is
// off, server is nil.
type statsServer struct {
	server    *jobstats.Server
	stats     *jobstats.Recorder
	gateway   *gateway.Gateway
	owed      func() int64 // answers owed to clients
	startedNS int64        // Unix time by the process's own clock: a name of the process, not a time to compare
	applied   atomic.Pointer[appliedDigests]
}

// appliedDigests identify the files that a controller runs with.
type appliedDigests struct {
	spec     change.Digest // as the operator's file says it
	settings change.Digest // as the module has them
}

// newStatsServer serves where the operator's file says, if it does.
func newStatsServer(files files, gate *gateway.Gateway, owed func() int64) (*statsServer, error) {
	s := &statsServer{gateway: gate, owed: owed}
	s.setApplied(files)
	options := files.operator.Stats
	if options == nil {
		return s, nil
	}
	s.stats = jobstats.NewRecorder()
	s.startedNS = failpoint.WallClock().UnixNano()
	gate.SetStats(s.stats)
	server, err := jobstats.Serve(options.Listen, s.report, s.assignShare)
	if err != nil {
		return nil, err
	}
	s.server = server
	slog.Info("serving_tally", "address", server.Address()) // supervisors of all versions read this line
	return s, nil
}

// setApplied changes which files are reported as applied.
func (s *statsServer) setApplied(files files) {
	applied := appliedDigests{settings: change.JSONDigest(files.settings)}
	if files.operator.Stats != nil {
		applied.spec = files.operator.Stats.Spec
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
	report.SharePerMillion = int64(perMillion * s.gateway.Share())
	report.OwedAnswers = s.owed()
	report.EngineHealth = marshalOrNothing(s.gateway.EngineHealth())
	report.LearnedEstimates = marshalOrNothing(s.gateway.TypeStats())
	return report
}

// marshalOrNothing returns nil for figures that JSON cannot hold, such as infinities: they are not reported.
func marshalOrNothing(value any) json.RawMessage {
	text, err := json.Marshal(value)
	if err != nil {
		return nil
	}
	return text
}

// assignShare passes on an assignment of the leader, unless it has expired.
func (s *statsServer) assignShare(assigned jobstats.Share) {
	valid := assigned.ExpiryNS - monotonic.Now()
	if valid <= 0 {
		return
	}
	quotas := map[string]float64{}
	for tenant, share := range assigned.TenantQuotas {
		quotas[tenant] = float64(share) / perMillion
	}
	s.gateway.AssignShare(float64(assigned.PerMillion)/perMillion, quotas, time.Duration(valid))
}

func (s *statsServer) close() {
	if s.server != nil {
		s.server.Close()
	}
}

package supervisor

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/google/renameio/v2"

	"swiftreel/internal/assignment"
	"swiftreel/internal/change"
	"swiftreel/internal/operator"
)

// Top-level keys of an operator file that the supervisor replaces or leaves out.
const (
	fleetKey    = "fleet"
	topologyKey = "shape"
	planKey     = "plan"
	statsKey    = "tally"
)

const (
	// operatorFileCount is the number of operator files that are reused in rotation: two controllers may run at once,
	// and one more may be exiting.
	operatorFileCount = 4
	// retainedPlanFiles is the number of plan files that are kept, as a controller may read its plan file again.
	retainedPlanFiles = 3
	// anyLoopbackPort makes a controller serve its report on a free loopback port.
	anyLoopbackPort = "127.0.0.1:0"
)

// readOperatorFile returns the sections of the operator's file by key. An empty path yields no sections.
func readOperatorFile(path string) (map[string]json.RawMessage, error) {
	sections := map[string]json.RawMessage{}
	if path == "" {
		return sections, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &sections); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return sections, nil
}

// operatorPlan returns the contents of the plan file that the operator's file names, or nil if it names none.
func (s *Supervisor) operatorPlan() (json.RawMessage, error) {
	if s.operatorFile[planKey] == nil {
		return nil, nil
	}
	var plan struct {
		File string `json:"file"`
	}
	if err := json.Unmarshal(s.operatorFile[planKey], &plan); err != nil {
		return nil, err
	}
	if !filepath.IsAbs(plan.File) {
		plan.File = filepath.Join(filepath.Dir(s.options.OperatorFile), plan.File)
	}
	return os.ReadFile(plan.File)
}

// nextOperatorFilePath returns the path of the operator file for the next controller to start.
func (s *Supervisor) nextOperatorFilePath() string {
	s.startCount++
	return s.statePath(fmt.Sprintf("operator-%d.json", s.startCount%operatorFileCount))
}

// writeOperatorFile writes a controller's operator file and reports whether that succeeded. If not, it records the
// failure of the order.
func (s *Supervisor) writeOperatorFile(
	target *controller, order change.AcceptedOrder, assigned assignment.Accepted, hasPredecessor bool,
) bool {
	config := wantedConfig(order, assigned, hasPredecessor)
	sections, err := s.operatorSections(target, order, assigned, config)
	if err == nil {
		err = writeJSON(target.operatorFile, sections)
	}
	if err == nil {
		target.config = config
	}
	return s.recordFailure(err)
}

// operatorSections returns the sections of a controller's operator file by key, and writes the plan file that they
// name.
func (s *Supervisor) operatorSections(
	target *controller, order change.AcceptedOrder, assigned assignment.Accepted, config controllerConfig,
) (map[string]json.RawMessage, error) {
	sections := map[string]json.RawMessage{}
	for key, text := range s.operatorFile {
		if key != fleetKey && key != topologyKey && key != planKey {
			sections[key] = text
		}
	}
	stats, err := s.statsSection(target, config)
	if err != nil {
		return nil, err
	}
	sections[statsKey] = stats
	if len(order.Spec.Topology) > 0 {
		sections[topologyKey] = order.Spec.Topology
	}
	plan := order.Spec.Plan
	if config.leaderPlan != "" {
		plan = assigned.PlanText
	}
	if len(plan) == 0 {
		return sections, nil
	}
	sections[planKey], err = s.planSection(plan, config)
	return sections, err
}

// statsSection returns the section that makes a controller serve its report. A controller that replaces the current one
// also gets the job type statistics and engine health that the current one reported.
func (s *Supervisor) statsSection(target *controller, config controllerConfig) (json.RawMessage, error) {
	stats := operator.Stats{Listen: anyLoopbackPort, SpecDigest: config.spec, Predecessor: config.hasPredecessor}
	s.mu.Lock()
	if s.current != nil && target != s.current {
		stats.TypeStats = s.current.report.TypeStats
		stats.EngineHealth = s.current.report.EngineHealth
	}
	s.mu.Unlock()
	return json.Marshal(stats)
}

// planSection writes a plan file and returns the section of the operator file that names it.
func (s *Supervisor) planSection(plan json.RawMessage, config controllerConfig) (json.RawMessage, error) {
	name := fmt.Sprintf("plan-%s.json", change.JSONDigest(plan))
	err := renameio.WriteFile(s.statePath(name), plan, stateFileMode)
	s.prunePlanFiles(name)
	if err != nil {
		return nil, err
	}
	section := map[string]json.RawMessage{}
	if text := s.operatorFile[planKey]; text != nil {
		_ = json.Unmarshal(text, &section) // a malformed section only loses its settings other than the file
	}
	if section == nil { // the section was null
		section = map[string]json.RawMessage{}
	}
	section["file"] = fmt.Appendf(nil, "%q", name)
	if config.leaderPlan != "" {
		section["until_boot_ns"] = fmt.Appendf(nil, "%d", config.leaderPlanExpiry)
	}
	return json.Marshal(section)
}

// prunePlanFiles removes the oldest plan files, except for the one with the name keptName.
func (s *Supervisor) prunePlanFiles(keptName string) {
	paths, err := filepath.Glob(s.statePath("plan-*.json"))
	if err != nil {
		return // the directory's name makes the pattern malformed: nothing is removed
	}
	slices.SortFunc(paths, func(a, b string) int { return cmp.Compare(modifiedUnixNS(a), modifiedUnixNS(b)) })
	for i := 0; i < len(paths)-retainedPlanFiles; i++ {
		if filepath.Base(paths[i]) != keptName {
			_ = os.Remove(paths[i]) // retried when the next plan is written
		}
	}
}

// modifiedUnixNS returns the modification time of a file, or 0 if it cannot be read.
func modifiedUnixNS(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return 0
	}
	return info.ModTime().UnixNano()
}

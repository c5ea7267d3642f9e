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
	tallyKey    = "tally"
)

const (
	// operatorFileCount is the number of operator files that are written in turn: two controllers may run at once,
	// and one more may be exiting.
	operatorFileCount = 4
	// retainedPlanFiles is the number of plan files that are kept: a controller may read its own again.
	retainedPlanFiles = 3
	// anyLoopbackPort has a controller serve its report on a free port.
	anyLoopbackPort = "127.0.0.1:0"
)

// readOperatorFile returns the parts of the operator's file by key; no path: none.
func readOperatorFile(path string) (map[string]json.RawMessage, error) {
	parts := map[string]json.RawMessage{}
	if path == "" {
		return parts, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &parts); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return parts, nil
}

// operatorPlan returns the text of the plan that the operator's file names, or nil if it names none.
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

// operatorFilePath returns the file of the next controller to be started.
func (s *Supervisor) operatorFilePath() string {
	s.startCount++
	return s.statePath(fmt.Sprintf("operator-%d.json", s.startCount%operatorFileCount))
}

// writeOperatorFile writes a controller's operator file, and reports whether that succeeded; if not, the order has
// failed.
func (s *Supervisor) writeOperatorFile(
	target *controller, order change.AcceptedOrder, assigned assignment.Accepted, hasPredecessor bool,
) bool {
	config := wantedConfig(order, assigned, hasPredecessor)
	parts, err := s.operatorParts(target, order, assigned, config)
	if err == nil {
		err = writeJSON(target.operatorFile, parts)
	}
	if err == nil {
		target.config = config
	}
	return s.recordFailure(err)
}

// operatorParts returns the contents of a controller's operator file by key, and writes the plan that it names.
func (s *Supervisor) operatorParts(
	target *controller, order change.AcceptedOrder, assigned assignment.Accepted, config controllerConfig,
) (map[string]json.RawMessage, error) {
	parts := map[string]json.RawMessage{}
	for key, text := range s.operatorFile {
		if key != fleetKey && key != topologyKey && key != planKey {
			parts[key] = text
		}
	}
	tally, err := s.tallyPart(target, config)
	if err != nil {
		return nil, err
	}
	parts[tallyKey] = tally
	if len(order.Spec.Topology) > 0 {
		parts[topologyKey] = order.Spec.Topology
	}
	plan := order.Spec.Plan
	if config.leaderPlan != "" {
		plan = assigned.PlanText
	}
	if len(plan) == 0 {
		return parts, nil
	}
	parts[planKey], err = s.planPart(plan, config)
	return parts, err
}

// tallyPart has a controller report. A controller that shall replace the current one also gets what that has learned.
func (s *Supervisor) tallyPart(target *controller, config controllerConfig) (json.RawMessage, error) {
	tally := operator.Stats{Listen: anyLoopbackPort, Spec: config.spec, Predecessor: config.hasPredecessor}
	s.mu.Lock()
	if s.current != nil && target != s.current {
		tally.TypeStats = s.current.report.LearnedEstimates
		tally.EngineHealth = s.current.report.EngineHealth
	}
	s.mu.Unlock()
	return json.Marshal(tally)
}

// planPart writes a plan's file and returns the part of the operator file that names it.
func (s *Supervisor) planPart(plan json.RawMessage, config controllerConfig) (json.RawMessage, error) {
	name := fmt.Sprintf("plan-%s.json", change.JSONDigest(plan))
	err := renameio.WriteFile(s.statePath(name), plan, stateFileMode)
	s.prunePlanFiles(name)
	if err != nil {
		return nil, err
	}
	part := map[string]json.RawMessage{}
	if text := s.operatorFile[planKey]; text != nil {
		_ = json.Unmarshal(text, &part) // a part that cannot be read sets nothing beside the plan's file
	}
	if part == nil { // the part was null
		part = map[string]json.RawMessage{}
	}
	part["file"] = fmt.Appendf(nil, "%q", name)
	if config.leaderPlan != "" {
		part["until_boot_ns"] = fmt.Appendf(nil, "%d", config.leaderPlanExpiry)
	}
	return json.Marshal(part)
}

// prunePlanFiles removes the oldest plan files, but not the one of the given name.
func (s *Supervisor) prunePlanFiles(inUse string) {
	paths, err := filepath.Glob(s.statePath("plan-*.json"))
	if err != nil {
		return // the pattern is malformed because of the directory's name: nothing is removed
	}
	slices.SortFunc(paths, func(a, b string) int { return cmp.Compare(modifiedUnixNS(a), modifiedUnixNS(b)) })
	for i := 0; i < len(paths)-retainedPlanFiles; i++ {
		if filepath.Base(paths[i]) != inUse {
			_ = os.Remove(paths[i]) // tried again with the next plan
		}
	}
}

// modifiedUnixNS returns when a file was last modified, or 0 if that cannot be found out.
func modifiedUnixNS(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return 0
	}
	return info.ModTime().UnixNano()
}

package testcluster

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"swiftreel/internal/change"
)

// quickChangeText is a change that passes its three stages within seconds. Tests that use it do not test the
// comparison of old and new, so its limits are wide enough for the measurements of a busy machine. The baseline period
// must see jobs of each controller, or no stage ever has enough of them.
const quickChangeText = `{"number":%d,"kind":%q,"to":%s,"stages":[{"per_mille":1},{"per_mille":500},{"per_mille":1000}],
"pace":{"base_ms":1500,"bake_ms":%d,"most_ms":60000,"apply_ms":20000,"steady_ms":1,
"unheard_ms":2500,"shared_ms":3000,"look_ms":50},
"limits":{"jobs_wanted":5,"shared_per_mille":900,"slower_per_mille":900,"missed_per_mille":900,
"throttled_per_mille":900,"cpu_percent":5000,"memory_percent":5000,"crashes":1000}}`

// WriteQuickChange writes a change file into the cluster's directory and returns its path. Each stage bakes for at
// least the given time. to is the JSON value of the field "to".
func (c *Cluster) WriteQuickChange(number int64, kind change.Kind, to string, bake time.Duration) (string, error) {
	path := filepath.Join(c.Dir, fmt.Sprintf("change-%d.json", number))
	text := fmt.Sprintf(quickChangeText, number, kind, to, bake.Milliseconds())
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// PlanningProblem is the planning problem file of a cluster with three engines, for Config.Files. Its demand has no
// effect: the leader replaces it with the measured demand.
const PlanningProblem = `{"engines":[
{"name":"e1","kind":"std","zone":"east","cores":16,"memory_mb":32000},
{"name":"e2","kind":"std","zone":"east","cores":16,"memory_mb":32000},
{"name":"e3","kind":"std","zone":"east","cores":16,"memory_mb":32000}],
"types":[{"name":"lookup","threads":1,"memory_mb":96,"work_ms":50,"value":1},
{"name":"import","threads":1,"memory_mb":500,"work_ms":900,"value":10}],
"tenants":[{"name":"acme"}],"zones":[{"name":"east"},{"name":"west"}],"must":{},
"demand":[{"type":"lookup","tenant":"acme","zone":"east","jobs_per_1000s":1}]}`

package testcluster

import (
	"fmt"
	"time"

	"swiftreel/internal/rulecheck"
)

// engineCores are those of each engine.
const engineCores = 16

// delistDelay is from an engine's death until discovery lists it as gone.
const delistDelay = 300 * time.Millisecond

// engineEntry is an engine's entry in the endpoint list; startedMS 0: it is not known since when it runs.
func (c *Cluster) engineEntry(name, state string, startedMS int64) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"east","class":"std","block":0,"health":%q,"share":1,"born_ms":%d}`,
		name, c.engines[name].Address(), state, startedMS)
}

// logListed logs an engine's entry. startedNS is 0 where the entry does not say since when it runs.
func (c *Cluster) logListed(name, state string, startedNS int64) {
	c.Events.Add(rulecheck.Entry{Event: rulecheck.Listed, Engine: name, State: state, Zone: "east", Kind: "std",
		Cores: engineCores, Started: startedNS})
}

// ListRestarted lists an engine as just started. It is logged before controllers can know it: what they send is
// counted from then on.
func (c *Cluster) ListRestarted(name string) {
	now := time.Now()
	c.logListed(name, "ready", now.UnixNano())
	c.discovery.AddEvent(false, "["+c.engineEntry(name, "ready", now.UnixMilli())+"]")
}

// SetEngineState lists an engine in another state. It is logged after controllers can know it: the grace of rule 3
// counts from then on.
func (c *Cluster) SetEngineState(name, state string) {
	c.discovery.AddEvent(false, "["+c.engineEntry(name, state, 0)+"]")
	c.logListed(name, state, 0)
}

// CrashEngine ends an engine as a crash does, and has discovery list it as gone a while later.
func (c *Cluster) CrashEngine(name string) {
	c.engines[name].Close()
	time.Sleep(delistDelay)
	c.SetEngineState(name, "gone")
}

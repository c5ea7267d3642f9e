package testcluster

import (
	"fmt"
	"time"

	"swiftreel/internal/rulecheck"
)

// engineCores is the number of cores of each engine.
const engineCores = 16

// delistDelay is the time from an engine's crash until discovery lists it as gone.
const delistDelay = 300 * time.Millisecond

// engineEntry returns an engine's entry in the endpoint list. startedMS is 0 if its start time is unknown.
func (c *Cluster) engineEntry(name, state string, startedMS int64) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"east","class":"std","block":0,"health":%q,"share":1,"born_ms":%d}`,
		name, c.engines[name].Address(), state, startedMS)
}

// logListed logs an engine's entry in the endpoint list. startedNS is 0 if the entry has no start time.
func (c *Cluster) logListed(name, state string, startedNS int64) {
	c.Events.Add(rulecheck.Entry{Event: rulecheck.Listed, Engine: name, State: state, Zone: "east", Kind: "std",
		Cores: engineCores, Started: startedNS})
}

// ListRestarted lists an engine as just started. The entry is logged before controllers can receive it, so that the log
// counts all dispatches they send because of it.
func (c *Cluster) ListRestarted(name string) {
	now := time.Now()
	c.logListed(name, "ready", now.UnixNano())
	c.discovery.AddEvent(false, "["+c.engineEntry(name, "ready", now.UnixMilli())+"]")
}

// SetEngineState lists an engine in another state. The entry is logged after it was sent to controllers, so that the
// grace period of rule 3 does not begin too early.
func (c *Cluster) SetEngineState(name, state string) {
	c.discovery.AddEvent(false, "["+c.engineEntry(name, state, 0)+"]")
	c.logListed(name, state, 0)
}

// CrashEngine stops an engine as a crash does, and lists it as gone after delistDelay.
func (c *Cluster) CrashEngine(name string) {
	c.engines[name].Close()
	time.Sleep(delistDelay)
	c.SetEngineState(name, "gone")
}

package operator

import (
	"encoding/json"

	"swiftreel/internal/change"
)

// Stats has the controller count what becomes of its jobs and report it over HTTP. A supervisor writes this part.
type Stats struct {
	Listen      string        `json:"listen"` // host:port; port 0: any, which the log names
	Spec        change.Digest `json:"spec"`   // reported as it is: which specification this file belongs to
	Predecessor bool          `json:"elder"`  // an older process of this controller still answers what it owes

	TypeStats    json.RawMessage `json:"learned,omitempty"` // what that process has learned of job types, as it reports it
	EngineHealth json.RawMessage `json:"health,omitempty"`  // and of engines; what cannot be read is ignored
}

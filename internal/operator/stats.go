package operator

import (
	"encoding/json"

	"swiftreel/internal/change"
)

// Stats makes the controller record job statistics and report them over HTTP. A supervisor writes this part.
type Stats struct {
	Listen      string        `json:"listen"` // host:port; port 0: any free port, which is logged
	SpecDigest  change.Digest `json:"spec"`   // digest of the specification of this file, reported unchanged
	Predecessor bool          `json:"elder"`  // an older process of this fleet member is still running

	TypeStats    json.RawMessage `json:"learned,omitempty"` // job type statistics, as the predecessor reports them
	EngineHealth json.RawMessage `json:"health,omitempty"`  // likewise for engines; a malformed value is ignored
}

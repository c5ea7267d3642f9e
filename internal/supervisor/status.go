package supervisor

import (
	"encoding/json"

	"swiftreel/internal/assignment"
	"swiftreel/internal/canary"
	"swiftreel/internal/change"
)

// Status is what a keeper tells of itself and its controller. A reader of another version keeps the fields that it does
// not know, and tells them (Others).
type Status struct {
	Format      int                          `json:"format"`
	Name        string                       `json:"name"`
	Spec        change.Spec                  `json:"spec"`    // that it holds
	Running     change.Digest                `json:"running"` // of the spec that its controller says it runs with; none while it does not answer
	Version     string                       `json:"version"` // of the controller
	Settings    change.Digest                `json:"settings"`
	Fence       change.Fence                 `json:"fence"` // of the last order taken
	By          string                       `json:"by"`
	Serves      bool                         `json:"serves"`
	Drained     bool                         `json:"drained"` // out of service, as ordered
	Failed      string                       `json:"failed"`  // why it cannot do what it was ordered
	Crashes     uint64                       `json:"crashes"` // ends of its controller that nobody ordered, and starts that failed
	PID         int                          `json:"pid"`     // of the process that serves
	Drains      []int                        `json:"drains"`  // those of older ones that serve what they owe
	Owed        int64                        `json:"owed"`
	OrderMS     int64                        `json:"order_ms"` // since the last order came, taken or not; -1: none yet
	AskedMS     int64                        `json:"asked_ms"` // since anyone asked
	MemoryMB    float64                      `json:"memory_mb"`
	CPU         int64                        `json:"cpu_ns"` // of the controller, since its start
	Started     int64                        `json:"started"`
	Probes      uint64                       `json:"probes"`
	Aside       int                          `json:"aside"`               // engines that it has set aside
	Work        map[canary.Group]canary.Work `json:"work"`                // since its start
	Life        string                       `json:"life"`                // of this keeper's process; from format 2 on
	BootNS      int64                        `json:"boot_ns"`             // the machine's own clock, now
	Word        assignment.Accepted          `json:"word"`                // what is held of the owner's words
	Carries     int64                        `json:"carries_per_million"` // of the fleet, as its controller goes by
	Carried     int64                        `json:"carried_word"`        // the last word by whose part its controller goes for certain; 0: not known
	EngineCount int                          `json:"engine_count"`        // that its controller sees ready
	Engines     []string                     `json:"engines,omitempty"`   // that its controller sees ready; told where asked for
	Others      map[string]json.RawMessage   `json:"-"`
}

// ReadStatus reads a status of this version or another.
func ReadStatus(text []byte) (s Status, err error) {
	if err := json.Unmarshal(text, &s); err != nil {
		return Status{}, err
	}
	if err := json.Unmarshal(text, &s.Others); err != nil {
		return Status{}, err
	}
	known, err := json.Marshal(Status{})
	if err != nil {
		return Status{}, err
	}
	var names map[string]json.RawMessage
	json.Unmarshal(known, &names)
	for name := range names {
		delete(s.Others, name)
	}
	return s, nil
}

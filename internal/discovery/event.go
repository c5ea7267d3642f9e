package discovery

import (
	"encoding/json"
	"errors"
	"net"
	"time"
)

// Limits of an event.
const (
	maxEngines     = 4096 // entries
	maxNameBytes   = 255
	maxCapacity    = 1e6
	maxStartedAtMS = 1 << 43 // Unix time in ms, exclusive
)

var errTooManyEngines = errors.New("event lists too many engines")

// Engine is one entry of the endpoint list. The JSON keys are those of the protocol.
type Engine struct {
	Name        string  `json:"host"` // unique
	Address     string  `json:"dial"` // host:port; empty: unchanged
	Zone        string  `json:"site"`
	Kind        string  `json:"class"`
	Cell        uint16  `json:"block"` // engines of one cell fail together
	Health      string  `json:"health"`
	Capacity    float64 `json:"share"`
	StartedAtMS int64   `json:"born_ms"` // Unix time; 0: unknown
}

// Event is one event of the discovery feed.
type Event struct {
	Number         uint64
	Change         *ListChange // nil: the event does not concern engines
	IsPosition     bool        // not an event: Number is that of the last one
	InvalidEntries int         // entries that were skipped as invalid
	UpToDateAt     time.Time   // when the feed last reported no further event, so this event is newer; zero: unknown
}

// ListChange is a change of the endpoint list.
type ListChange struct {
	IsComplete bool // Engines holds all engines; otherwise only those that changed
	Engines    []Engine
}

// ParseEvent parses an event in JSON. Invalid entries are skipped and counted, so that they do not discard the valid
// ones.
func ParseEvent(text []byte) (Event, error) {
	var raw struct {
		Number  uint64 `json:"n"`
		Members *struct {
			IsComplete bool              `json:"whole"`
			Engines    []json.RawMessage `json:"hosts"`
		} `json:"members"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return Event{}, err
	}
	event := Event{Number: raw.Number}
	if raw.Members == nil {
		var fields map[string]json.RawMessage
		err := json.Unmarshal(text, &fields)
		event.IsPosition = len(fields) == 1
		return event, err
	}
	if len(raw.Members.Engines) > maxEngines {
		return event, errTooManyEngines
	}
	event.Change = &ListChange{IsComplete: raw.Members.IsComplete}
	for _, entry := range raw.Members.Engines {
		var engine Engine
		if err := json.Unmarshal(entry, &engine); err != nil || !engine.isValid() {
			event.InvalidEntries++
			continue
		}
		event.Change.Engines = append(event.Change.Engines, engine)
	}
	return event, nil
}

// isValid reports whether an entry has a name, a well-formed address if any, and numbers in range.
func (e Engine) isValid() bool {
	_, _, err := net.SplitHostPort(e.Address)
	hasValidName := e.Name != "" && len(e.Name) <= maxNameBytes
	hasValidAddress := e.Address == "" || err == nil
	isInRange := e.Capacity >= 0 && e.Capacity <= maxCapacity && e.StartedAtMS >= 0 && e.StartedAtMS < maxStartedAtMS
	return hasValidName && hasValidAddress && isInRange
}

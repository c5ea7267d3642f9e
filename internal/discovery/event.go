package discovery

import (
	"encoding/json"
	"errors"
	"net"
	"time"
)

// Limits of an event.
const (
	maxEngines   = 4096 // entries
	maxNameBytes = 255
	maxShare     = 1e6
	maxBornMS    = 1 << 43 // Unix time in ms, exclusive
)

var errTooManyEngines = errors.New("event lists too many engines")

// Engine is one entry of the endpoint list, with the field names of the protocol.
type Engine struct {
	Host   string  `json:"host"` // unique name
	Dial   string  `json:"dial"` // address, host:port; empty: unchanged
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  uint16  `json:"block"` // engines of one block fail together
	Health string  `json:"health"`
	Share  float64 `json:"share"`   // capacity
	BornMS int64   `json:"born_ms"` // start time, Unix time in ms; 0: unknown
}

// Event is one event of the discovery feed.
type Event struct {
	Number     uint64
	Members    *Members  // nil: the event does not concern engines
	IsPosition bool      // not an event: Number is that of the last one
	Invalid    int       // entries that were skipped as invalid
	UpToDateAt time.Time // when the feed last reported no further event, so that this one is newer; zero: unknown
}

// Members is a change of the endpoint list.
type Members struct {
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
	event.Members = &Members{IsComplete: raw.Members.IsComplete}
	for _, entry := range raw.Members.Engines {
		var engine Engine
		if err := json.Unmarshal(entry, &engine); err != nil || !engine.isValid() {
			event.Invalid++
			continue
		}
		event.Members.Engines = append(event.Members.Engines, engine)
	}
	return event, nil
}

// isValid reports whether an entry has a name, a well-formed address if any, and numbers in range.
func (e Engine) isValid() bool {
	_, _, err := net.SplitHostPort(e.Dial)
	hasValidName := e.Host != "" && len(e.Host) <= maxNameBytes
	hasValidAddress := e.Dial == "" || err == nil
	isInRange := e.Share >= 0 && e.Share <= maxShare && e.BornMS >= 0 && e.BornMS < maxBornMS
	return hasValidName && hasValidAddress && isInRange
}

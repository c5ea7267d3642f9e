// Package feed follows the list of engines: what the configuration knew of it, and the control feed since.
package feed

import (
	"encoding/json"
	"errors"
)

// Engine is one entry of the list, in the feed's own terms.
type Engine struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Kind   string  `json:"class"`
	Cell   uint16  `json:"block"`
	State  string  `json:"health"`
	Size   float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// Event is one change of the list, or the whole of it.
type Event struct {
	N       uint64 `json:"n"`
	Members *struct {
		Seq   uint64   `json:"seq"`
		Whole bool     `json:"whole"`
		Hosts []Engine `json:"hosts"`
	} `json:"members"`
}

// Parse reads an event.
func Parse(text []byte) (ev Event, err error) {
	if err = json.Unmarshal(text, &ev); err != nil {
		return ev, err
	}
	if ev.Members != nil {
		for _, e := range ev.Members.Hosts {
			if e.Host == "" {
				return ev, errors.New("an engine without a name")
			}
		}
	}
	return ev, nil
}

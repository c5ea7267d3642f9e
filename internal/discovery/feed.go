// Package discovery follows the list of engines: what the configuration knew of it, and the control feed since.
package discovery

import (
	"encoding/json"
	"errors"
	"net"
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
	N       uint64
	Members *Members // nil: of something else
	Bare    bool     // no event, but the number of the last one
	Bad     int      // entries that could not be used, and were left out: they do not cost the others their news
}

// Members is what an event tells of the list.
type Members struct {
	Whole bool
	Hosts []Engine
}

// mostEngines bounds the entries of one event.
const mostEngines = 4096

// Parse reads an event.
func Parse(text []byte) (Event, error) {
	var raw struct {
		N       uint64 `json:"n"`
		Members *struct {
			Whole bool              `json:"whole"`
			Hosts []json.RawMessage `json:"hosts"`
		} `json:"members"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return Event{}, err
	}
	ev := Event{N: raw.N}
	if raw.Members == nil {
		var all map[string]json.RawMessage
		err := json.Unmarshal(text, &all)
		ev.Bare = len(all) == 1
		return ev, err
	}
	if len(raw.Members.Hosts) > mostEngines {
		return ev, errors.New("more engines than any list has")
	}
	ev.Members = &Members{Whole: raw.Members.Whole}
	for _, entry := range raw.Members.Hosts {
		var e Engine
		if err := json.Unmarshal(entry, &e); err == nil && e.usable() {
			ev.Members.Hosts = append(ev.Members.Hosts, e)
		} else {
			ev.Bad++
		}
	}
	return ev, nil
}

// usable tells whether an entry has a name, an address if any, and figures in range.
func (e Engine) usable() bool {
	_, _, err := net.SplitHostPort(e.Dial)
	return e.Host != "" && len(e.Host) <= 255 && (err == nil || e.Dial == "") && e.Size >= 0 && e.Size <= 1e6 &&
		e.BornMS >= 0 && e.BornMS < 1<<43
}

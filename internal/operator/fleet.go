package operator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"slices"

	"swiftreel/internal/change"
)

// Stats has the controller count what becomes of its jobs and tell it over HTTP. A keeper writes this part.
type Stats struct {
	Listen      string        `json:"listen"`
	Spec        change.Digest `json:"spec"`  // told as it stands: which spec this file is of
	Predecessor bool          `json:"elder"` // an older process of this controller serves on what it owes

	TypeStats    json.RawMessage `json:"learned,omitempty"` // what that has learned, as its tally tells it; what cannot be read teaches nothing
	EngineHealth json.RawMessage `json:"health,omitempty"`  // the same of engines
}

// Fleet is the controllers that changes go through in stages. Keepers and conductors read it; a controller does not.
type Fleet struct {
	Members []Member `json:"members"`
	DrainMS int64    `json:"drain_ms,omitempty"` // a controller that has not ended so long after SIGTERM is killed
	Voters  []string `json:"voters,omitempty"`   // members that agree on an owner: three or five
	Program string   `json:"program,omitempty"`  // that a keeper starts with no order; its own where absent

	Shares   *Shares   `json:"parts,omitempty"`
	Planning *Planning `json:"planning,omitempty"`
}

// Shares has the owner hand out what each controller carries.
type Shares struct {
	LeaseMS int64 `json:"life_ms,omitempty"`
}

// Planning has the owner plan.
type Planning struct {
	Problem        string `json:"problem"` // a file
	IntervalMS     int64  `json:"every_ms,omitempty"`
	MinIntervalMS  int64  `json:"least_ms,omitempty"`
	LeaseMS        int64  `json:"life_ms,omitempty"`
	SolveTimeoutMS int64  `json:"solve_ms,omitempty"`
}

// Member is a controller with its keeper.
type Member struct {
	Name   string   `json:"name"`
	Listen string   `json:"listen"`          // of its keeper, over HTTP
	Reach  string   `json:"reach,omitempty"` // where others reach that, where it is not listen
	Zone   string   `json:"zone,omitempty"`
	Types  []string `json:"types,omitempty"` // reservation types that it is there for; none: all
}

// usualDrain is past the longest job timeout of any deployment so far.
const usualDrain = 120_000

func (f *Fleet) complete() (faults []string) {
	if f.DrainMS == 0 {
		f.DrainMS = usualDrain
	}
	if f.Shares != nil {
		f.Shares.LeaseMS = cmp.Or(f.Shares.LeaseMS, 5000)
	}
	if p := f.Planning; p != nil {
		p.IntervalMS = cmp.Or(p.IntervalMS, 180_000)
		p.MinIntervalMS, p.LeaseMS, p.SolveTimeoutMS = cmp.Or(p.MinIntervalMS, p.IntervalMS/10), cmp.Or(p.LeaseMS, 600_000), cmp.Or(p.SolveTimeoutMS, 1000)
	}
	if (f.Shares != nil || f.Planning != nil) && len(f.Voters) == 0 {
		faults = append(faults, "/fleet: parts and planning are an owner's work: name voters")
	}
	names, places := map[string]bool{}, map[string]bool{}
	for i, m := range f.Members {
		at := fmt.Sprintf("/fleet/members/%d", i)
		if names[m.Name] {
			faults = append(faults, fmt.Sprintf("%s/name: %q stands twice", at, m.Name))
		}
		if places[m.Listen] {
			faults = append(faults, fmt.Sprintf("%s/listen: %q stands twice", at, m.Listen))
		}
		if _, _, err := net.SplitHostPort(m.Listen); err != nil {
			faults = append(faults, fmt.Sprintf("%s/listen: %v", at, err))
		}
		names[m.Name], places[m.Listen] = true, true
	}
	if n := len(f.Voters); n != 0 && n != 3 && n != 5 {
		faults = append(faults, fmt.Sprintf("/fleet/voters: %d, three or five can have a majority that lasts", n))
	}
	for i, name := range f.Voters {
		if !names[name] || slices.Contains(f.Voters[:i], name) {
			faults = append(faults, fmt.Sprintf("/fleet/voters/%d: %q is no member, or stands twice", i, name))
		}
	}
	return faults
}

// Address is where others reach a member's keeper.
func (m Member) Address() string {
	if m.Reach != "" {
		return m.Reach
	}
	return m.Listen
}

// Member is a member by name.
func (f *Fleet) Member(name string) (Member, bool) {
	for _, m := range f.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

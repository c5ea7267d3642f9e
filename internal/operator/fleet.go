package operator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"slices"

	"swiftreel/internal/change"
)

// Tally has the controller count what becomes of its jobs and tell it over HTTP. A keeper writes this part.
type Tally struct {
	Listen string        `json:"listen"`
	Spec   change.Digest `json:"spec"`  // told as it stands: which spec this file is of
	Elder  bool          `json:"elder"` // an older process of this controller serves on what it owes

	Learned json.RawMessage `json:"learned,omitempty"` // what that has learned, as its tally tells it; what cannot be read teaches nothing
	Health  json.RawMessage `json:"health,omitempty"`  // the same of engines
}

// Fleet is the controllers that changes go through in stages. Keepers and conductors read it; a controller does not.
type Fleet struct {
	Members []Member `json:"members"`
	DrainMS int64    `json:"drain_ms,omitempty"` // a controller that has not ended so long after SIGTERM is killed
	Voters  []string `json:"voters,omitempty"`   // members that agree on an owner: three or five
	Program string   `json:"program,omitempty"`  // that a keeper starts with no order; its own where absent

	Parts    *Parts    `json:"parts,omitempty"`
	Planning *Planning `json:"planning,omitempty"`
}

// Parts has the owner hand out what each controller carries.
type Parts struct {
	LifeMS int64 `json:"life_ms,omitempty"`
}

// Planning has the owner plan.
type Planning struct {
	Problem string `json:"problem"` // a file
	EveryMS int64  `json:"every_ms,omitempty"`
	LeastMS int64  `json:"least_ms,omitempty"`
	LifeMS  int64  `json:"life_ms,omitempty"`
	SolveMS int64  `json:"solve_ms,omitempty"`
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
	if f.Parts != nil {
		f.Parts.LifeMS = cmp.Or(f.Parts.LifeMS, 5000)
	}
	if p := f.Planning; p != nil {
		p.EveryMS = cmp.Or(p.EveryMS, 180_000)
		p.LeastMS, p.LifeMS, p.SolveMS = cmp.Or(p.LeastMS, p.EveryMS/10), cmp.Or(p.LifeMS, 600_000), cmp.Or(p.SolveMS, 1000)
	}
	if (f.Parts != nil || f.Planning != nil) && len(f.Voters) == 0 {
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

// At is where others reach a member's keeper.
func (m Member) At() string {
	if m.Reach != "" {
		return m.Reach
	}
	return m.Listen
}

// Find is a member by name.
func (f *Fleet) Find(name string) (Member, bool) {
	for _, m := range f.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

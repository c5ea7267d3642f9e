package operator

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strconv"
	"time"
)

// Fleet is the controllers that changes go through in stages. Supervisors and coordinators read it; a controller does
// not.
type Fleet struct {
	Members []Member `json:"members"`
	DrainMS int64    `json:"drain_ms,omitempty"` // a controller that has not ended so long after SIGTERM is killed
	Voters  []string `json:"voters,omitempty"`   // members that elect a leader: three or five
	Program string   `json:"program,omitempty"`  // that a supervisor starts without an order; its own where absent

	Shares   *Shares   `json:"parts,omitempty"`
	Planning *Planning `json:"planning,omitempty"`
}

// Shares has the leader assign to each controller the share of the fleet that it carries.
type Shares struct {
	LeaseMS int64 `json:"life_ms,omitempty"` // an assignment that is not renewed expires after it
}

// Planning has the leader plan for the demand.
type Planning struct {
	Problem        string `json:"problem"` // a file, relative to the operator's file
	IntervalMS     int64  `json:"every_ms,omitempty"`
	MinIntervalMS  int64  `json:"least_ms,omitempty"`
	LeaseMS        int64  `json:"life_ms,omitempty"` // a plan that is not renewed is followed so long
	SolveTimeoutMS int64  `json:"solve_ms,omitempty"`
}

// Member is a controller with its supervisor.
type Member struct {
	Name   string   `json:"name"`
	Listen string   `json:"listen"`          // host:port of its supervisor, over HTTP
	Reach  string   `json:"reach,omitempty"` // where others reach that, if it is not Listen
	Zone   string   `json:"zone,omitempty"`
	Types  []string `json:"types,omitempty"` // job types that it serves; none: all
}

// Defaults in milliseconds. defaultDrainMS is past the longest job timeout of any deployment so far.
const (
	defaultDrainMS        = 120_000
	defaultShareLeaseMS   = 5000
	defaultPlanIntervalMS = 180_000
	defaultPlanLeaseMS    = 600_000
	defaultSolveTimeoutMS = 1000
)

// drainVariable is the environment variable by which a supervisor tells a controller after how many milliseconds it
// kills it once it has sent SIGTERM. A job that is out then may go on until shortly before.
const drainVariable = "SWIFTREEL_DRAIN_MS"

// DrainEnvironment is what a supervisor adds to a controller's environment.
func DrainEnvironment(timeout time.Duration) string {
	return fmt.Sprint(drainVariable, "=", timeout.Milliseconds())
}

// DrainTimeout returns for how long a controller may drain after SIGTERM before it is killed; 0: nobody but the
// protocol page says. Supervisors of earlier versions say nothing, and had this default.
func (f File) DrainTimeout(getenv func(string) string) time.Duration {
	if f.Stats == nil { // it is not supervised
		return 0
	}
	milliseconds, err := strconv.ParseUint(getenv(drainVariable), 10, 32)
	if err != nil || milliseconds == 0 {
		return defaultDrainMS * time.Millisecond
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// minIntervalDivisor is how many times the default of Planning.MinIntervalMS fits into the interval.
const minIntervalDivisor = 10

func (f *Fleet) setDefaults() {
	f.DrainMS = cmp.Or(f.DrainMS, defaultDrainMS)
	if f.Shares != nil {
		f.Shares.LeaseMS = cmp.Or(f.Shares.LeaseMS, defaultShareLeaseMS)
	}
	if p := f.Planning; p != nil {
		p.IntervalMS = cmp.Or(p.IntervalMS, defaultPlanIntervalMS)
		p.MinIntervalMS = cmp.Or(p.MinIntervalMS, p.IntervalMS/minIntervalDivisor)
		p.LeaseMS = cmp.Or(p.LeaseMS, defaultPlanLeaseMS)
		p.SolveTimeoutMS = cmp.Or(p.SolveTimeoutMS, defaultSolveTimeoutMS)
	}
}

// problems returns the contradictions that a schema does not see.
func (f *Fleet) problems() []string {
	var problems []string
	if (f.Shares != nil || f.Planning != nil) && len(f.Voters) == 0 {
		problems = append(problems, "/fleet: parts and planning are an owner's work: name voters")
	}
	problems = append(problems, f.memberProblems()...)
	return append(problems, f.voterProblems()...)
}

func (f *Fleet) memberProblems() []string {
	var problems []string
	names := map[string]bool{}
	addresses := map[string]bool{}
	for i, member := range f.Members {
		path := fmt.Sprintf("/fleet/members/%d", i)
		if names[member.Name] {
			problems = append(problems, fmt.Sprintf("%s/name: %q stands twice", path, member.Name))
		}
		if addresses[member.Listen] {
			problems = append(problems, fmt.Sprintf("%s/listen: %q stands twice", path, member.Listen))
		}
		if _, _, err := net.SplitHostPort(member.Listen); err != nil {
			problems = append(problems, fmt.Sprintf("%s/listen: %v", path, err))
		}
		names[member.Name] = true
		addresses[member.Listen] = true
	}
	return problems
}

func (f *Fleet) voterProblems() []string {
	var problems []string
	if n := len(f.Voters); n != 0 && n != 3 && n != 5 {
		problems = append(problems, fmt.Sprintf("/fleet/voters: %d, three or five can have a majority that lasts", n))
	}
	for i, name := range f.Voters {
		_, isMember := f.Member(name)
		if !isMember || slices.Contains(f.Voters[:i], name) {
			problems = append(problems, fmt.Sprintf("/fleet/voters/%d: %q is no member, or stands twice", i, name))
		}
	}
	return problems
}

// Address is where others reach a member's supervisor.
func (m Member) Address() string { return cmp.Or(m.Reach, m.Listen) }

// Member returns a member by name.
func (f *Fleet) Member(name string) (Member, bool) {
	i := slices.IndexFunc(f.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return f.Members[i], true
}

package operator

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"swiftreel/internal/handover"
)

// Fleet lists the controllers that changes are rolled out to in stages. Supervisors and coordinators read this part;
// controllers do not.
type Fleet struct {
	Members []Member `json:"members"`
	DrainMS int64    `json:"drain_ms,omitempty"` // time from SIGTERM until a controller that still runs is killed
	Voters  []string `json:"voters,omitempty"`   // members that elect a leader: three or five
	Program string   `json:"program,omitempty"`  // started by a supervisor that has no order; default: its own program

	Shares   *Shares   `json:"parts,omitempty"`
	Planning *Planning `json:"planning,omitempty"`
}

// Shares makes the leader assign to each controller its share of the fleet.
type Shares struct {
	LeaseMS int64 `json:"life_ms,omitempty"` // lifetime of an assignment that is not renewed
}

// Planning makes the leader compute plans for the current demand.
type Planning struct {
	Problem        string `json:"problem"` // path of the problem file, relative to the operator's file
	IntervalMS     int64  `json:"every_ms,omitempty"`
	MinIntervalMS  int64  `json:"least_ms,omitempty"`
	LeaseMS        int64  `json:"life_ms,omitempty"` // lifetime of a plan that is not renewed
	SolveTimeoutMS int64  `json:"solve_ms,omitempty"`
}

// Member is a controller and its supervisor.
type Member struct {
	Name             string   `json:"name"`
	Listen           string   `json:"listen"`          // host:port of the supervisor's HTTP server
	AdvertiseAddress string   `json:"reach,omitempty"` // address at which others reach that server; default: Listen
	Zone             string   `json:"zone,omitempty"`
	Types            []string `json:"types,omitempty"` // job types that the controller serves; empty: all
}

// Defaults in milliseconds. defaultDrainMS exceeds the longest job timeout of all known deployments.
const (
	defaultDrainMS        = 120_000
	defaultShareLeaseMS   = 5000
	defaultPlanIntervalMS = 180_000
	defaultPlanLeaseMS    = 600_000
	defaultSolveTimeoutMS = 1000
)

// drainVariable is the environment variable with which a supervisor tells a controller how many milliseconds after
// SIGTERM it will kill it. Dispatched jobs may run until shortly before then.
const drainVariable = "SWIFTREEL_DRAIN_MS"

// DrainEnvironment returns the environment entry that a supervisor sets for a controller.
func DrainEnvironment(timeout time.Duration) string {
	return fmt.Sprint(drainVariable, "=", timeout.Milliseconds())
}

// DrainTimeout returns how long after SIGTERM a controller is killed. It returns 0 for a controller without a
// supervisor, for which the drain time of the protocol page applies. Supervisors of earlier versions do not set the
// variable and use the default.
func (f File) DrainTimeout(getenv func(string) string) time.Duration {
	if f.Stats == nil { // not supervised
		return 0
	}
	milliseconds, err := strconv.ParseUint(getenv(drainVariable), 10, 32)
	if err != nil || milliseconds == 0 {
		return defaultDrainMS * time.Millisecond
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// predecessorVariable is the environment variable with which a supervisor tells a controller which process it replaces:
// PID@host:port, the latter of the process's report. Supervisors of earlier versions do not set it.
const predecessorVariable = "SWIFTREEL_PREDECESSOR"

// PredecessorEnvironment returns the environment entry that a supervisor sets for a controller that replaces a process.
func PredecessorEnvironment(predecessor handover.Predecessor) string {
	return fmt.Sprintf("%s=%d@%s", predecessorVariable, predecessor.PID, predecessor.Address)
}

// Predecessor returns the process that this controller replaces, and false if there is none or it is not known.
func (f File) Predecessor(getenv func(string) string) (handover.Predecessor, bool) {
	pidText, address, found := strings.Cut(getenv(predecessorVariable), "@")
	pid, err := strconv.Atoi(pidText)
	if f.Stats == nil || !f.Stats.Predecessor || !found || err != nil {
		return handover.Predecessor{}, false
	}
	return handover.Predecessor{PID: pid, Address: address}, true
}

// noticesVariable is the environment variable with which a supervisor promises a controller that it tells it of
// successors that do not link to it. Supervisors of earlier versions do not set it.
const noticesVariable = "SWIFTREEL_SUCCESSOR_NOTICES"

// NoticesEnvironment returns the environment entry of that promise.
func NoticesEnvironment() string { return noticesVariable + "=1" }

// LearnsOfSuccessors reports whether this controller is told of every successor that does not link to it, or has none.
func (f File) LearnsOfSuccessors(getenv func(string) string) bool {
	return f.Stats == nil || getenv(noticesVariable) != ""
}

// minIntervalDivisor is the divisor of Planning.IntervalMS that gives the default of MinIntervalMS.
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

// problems returns the problems that the schema cannot detect.
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

// Address returns the address at which others reach the member's supervisor.
func (m Member) Address() string { return cmp.Or(m.AdvertiseAddress, m.Listen) }

// Member returns the member with the given name.
func (f *Fleet) Member(name string) (Member, bool) {
	i := slices.IndexFunc(f.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return f.Members[i], true
}

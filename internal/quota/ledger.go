package quota

import (
	"maps"
	"slices"
)

// Record is the replicated part of a Ledger: the upper limit of what each member may have been granted. It is
// committed before anything of it is granted.
type Record struct {
	Limits map[string]Shares `json:"caps"` // by member
}

// MaxClockDriftPerMille is by how much the rates of two machines' clocks may differ.
const MaxClockDriftPerMille = 50

// Ledger is a leader's view of the shares: the committed record, and what may still be in use.
type Ledger struct {
	record      Record
	lifetime    int64 // of a grant, in ns of its holder's clock
	grants      map[string]grant
	isUncertain bool // a record whose commit failed may still be committed, until a later one is
}

// grant is what a member may be using.
type grant struct {
	upperBound Shares // over all its grants that have not expired
	expiresAt  int64
	latest     Shares
	sequence   int64 // of the assignment that carried latest
}

// NewLedger takes over from an earlier leader. Everything that its record allows may be in use until a lifetime from
// now.
func NewLedger(record Record, lifetime, now int64) *Ledger {
	l := &Ledger{
		record:      Record{Limits: map[string]Shares{}},
		lifetime:    lifetime,
		grants:      map[string]grant{},
		isUncertain: true,
	}
	for member, limits := range record.Limits {
		l.record.Limits[member] = maps.Clone(limits)
		l.grants[member] = grant{upperBound: maps.Clone(limits), expiresAt: now + l.worstCaseLifetime()}
	}
	return l
}

// worstCaseLifetime is how long a grant may last by the leader's clock.
func (l *Ledger) worstCaseLifetime() int64 { return l.lifetime + l.lifetime*MaxClockDriftPerMille/1000 }

// Clone returns an independent copy.
func (l *Ledger) Clone() *Ledger {
	clone := *l
	clone.grants = maps.Clone(l.grants) // the shares in it are never modified
	return &clone
}

// Confirm notes that a member, its controller included, uses the shares of the assignment with that sequence number:
// its earlier grants are over.
func (l *Ledger) Confirm(member string, sequence int64) {
	granted := l.grants[member]
	if granted.sequence > 0 && sequence == granted.sequence {
		granted.upperBound = granted.latest
		l.grants[member] = granted
	}
}

// NextRecord returns the record that comes closest to the targets now, and whether it must be committed: it differs
// from the committed one, or that is uncertain. It counts only after Commit. A limit falls as far as to what may
// still be in use, and rises into what the committed record leaves free.
func (l *Ledger) NextRecord(targets map[string]Shares, now int64) (next Record, isChanged bool) {
	next.Limits = map[string]Shares{}
	free := map[Resource]int64{} // below FullShare
	members := l.members(targets)
	for _, member := range members {
		limits := l.lowered(member, targets[member], now)
		next.Limits[member] = limits
		for resource, limit := range limits {
			free[resource] -= limit
		}
	}
	for _, member := range members {
		raise(next.Limits[member], targets[member], free)
	}
	removeEmpty(next.Limits)
	isEqual := maps.EqualFunc(next.Limits, l.record.Limits, maps.Equal[Shares, Shares])
	return next, l.isUncertain || !isEqual
}

// members returns the members of the record and of the targets, sorted.
func (l *Ledger) members(targets map[string]Shares) []string {
	names := slices.AppendSeq(slices.Collect(maps.Keys(l.record.Limits)), maps.Keys(targets))
	slices.Sort(names)
	return slices.Compact(names)
}

// lowered returns a member's limits, lowered towards its target as far as its grants allow.
func (l *Ledger) lowered(member string, target Shares, now int64) Shares {
	limits := Shares{}
	granted := l.grants[member]
	for _, resource := range resources(l.record.Limits[member], target) {
		lowest := target[resource]
		if now < granted.expiresAt {
			lowest = max(lowest, granted.upperBound[resource])
		}
		limits[resource] = min(l.record.Limits[member][resource], lowest)
	}
	return limits
}

// raise raises limits towards a target, as far as there is something free.
func raise(limits, target Shares, free map[Resource]int64) {
	for _, resource := range resources(target) {
		more := min(target[resource]-limits[resource], FullShare+free[resource])
		if more > 0 {
			limits[resource] += more
			free[resource] -= more
		}
	}
}

func removeEmpty(limits map[string]Shares) {
	for member, shares := range limits {
		maps.DeleteFunc(shares, func(_ Resource, share int64) bool { return share <= 0 })
		if len(shares) == 0 {
			delete(limits, member)
		}
	}
}

// Commit takes in that a record was committed.
func (l *Ledger) Commit(record Record) {
	l.record = record
	l.isUncertain = false
}

// MarkUncertain takes in that a record may be committed later, or never. Another one must be committed before
// anything is granted again: the next leader might go by the uncertain one.
func (l *Ledger) MarkUncertain() { l.isUncertain = true }

// Grant returns the shares that a member is granted with an assignment of that sequence number: its target within its
// committed limits. clockReadAt is when the member's clock, from which the lifetime counts, was read.
func (l *Ledger) Grant(member string, target Shares, clockReadAt, sequence int64) Shares {
	granted := Shares{}
	for resource, share := range target {
		share = min(share, l.record.Limits[member][resource])
		if share > 0 {
			granted[resource] = share
		}
	}
	previous := l.grants[member]
	upperBound := maps.Clone(granted)
	if clockReadAt < previous.expiresAt {
		for resource, share := range previous.upperBound {
			upperBound[resource] = max(upperBound[resource], share)
		}
	}
	l.grants[member] = grant{
		upperBound: upperBound,
		expiresAt:  max(previous.expiresAt, clockReadAt+l.worstCaseLifetime()),
		latest:     granted,
		sequence:   sequence,
	}
	return granted
}

// DropExpired drops the grants that have expired.
func (l *Ledger) DropExpired(now int64) {
	maps.DeleteFunc(l.grants, func(_ string, granted grant) bool { return now >= granted.expiresAt })
}

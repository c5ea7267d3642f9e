package quota

import (
	"maps"
	"slices"
)

// Record is the replicated part of a Ledger: the upper limits of the shares that each member may have been granted. It
// is committed before any of its shares is granted.
type Record struct {
	Limits map[string]Shares `json:"caps"` // by member
}

// MaxClockDriftPerMille is the maximum difference between the rates of two machines' clocks.
const MaxClockDriftPerMille = 50

// Ledger is a leader's view of the shares: the committed record, and the grants that may still be in use.
type Ledger struct {
	record      Record
	lifetime    int64            // of a grant, in ns of the member's clock
	grants      map[string]grant // by member
	isUncertain bool             // a commit failed but may still take effect, until a later record is committed
}

// grant holds the shares that a member may be using.
type grant struct {
	upperBound Shares // over all its grants that have not expired
	expiresAt  int64  // in ns of the leader's clock
	latest     Shares
	sequence   int64 // of the assignment that carried latest
}

// NewLedger creates a ledger from the record of an earlier leader. Everything that the record allows is assumed to be
// in use until the worst-case lifetime has passed.
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

// worstCaseLifetime returns how long a grant may last by the leader's clock.
func (l *Ledger) worstCaseLifetime() int64 { return l.lifetime + l.lifetime*MaxClockDriftPerMille/1000 }

// Clone returns an independent copy.
func (l *Ledger) Clone() *Ledger {
	clone := *l
	clone.grants = maps.Clone(l.grants) // its Shares are never modified
	return &clone
}

// Confirm records that a member and its controller have applied the assignment with that sequence number. If it is the
// latest one, earlier grants to the member are no longer in use.
func (l *Ledger) Confirm(member string, sequence int64) {
	granted := l.grants[member]
	if granted.sequence > 0 && sequence == granted.sequence {
		granted.upperBound = granted.latest
		l.grants[member] = granted
	}
}

// NextRecord returns the record that comes closest to the targets, and whether it must be committed because it differs
// from the committed one or because that one is uncertain. The record takes effect only with Commit. Limits are first
// lowered towards their targets, but not below what may still be in use; then limits are raised as far as shares are
// free.
func (l *Ledger) NextRecord(targets map[string]Shares, now int64) (next Record, isChanged bool) {
	next.Limits = map[string]Shares{}
	free := map[Resource]int64{} // the unallocated part minus FullShare
	members := l.members(targets)
	for _, member := range members {
		limits := l.loweredLimits(member, targets[member], now)
		next.Limits[member] = limits
		for resource, limit := range limits {
			free[resource] -= limit
		}
	}
	for _, member := range members {
		raiseLimits(next.Limits[member], targets[member], free)
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

// loweredLimits returns a member's committed limits, lowered towards its target as far as its grants allow.
func (l *Ledger) loweredLimits(member string, target Shares, now int64) Shares {
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

// raiseLimits raises limits towards a target as far as there are free shares.
func raiseLimits(limits, target Shares, free map[Resource]int64) {
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

// Commit records that a record has been committed.
func (l *Ledger) Commit(record Record) {
	l.record = record
	l.isUncertain = false
}

// MarkUncertain records that the outcome of a commit is unknown. Another record must be committed before the next
// grant, because the next leader may resume from the uncertain one.
func (l *Ledger) MarkUncertain() { l.isUncertain = true }

// Grant returns the shares to grant to a member in the assignment with the given sequence number: its target, capped
// by its committed limits. clockReadAt is the time at which the member's clock was read, where the lifetime begins.
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

// DropExpired removes expired grants.
func (l *Ledger) DropExpired(now int64) {
	maps.DeleteFunc(l.grants, func(_ string, granted grant) bool { return now >= granted.expiresAt })
}

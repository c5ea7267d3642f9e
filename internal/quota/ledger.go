// Package quota works out what each controller carries of the fleet and of tenants' quotas, and holds that what is out never
// passes the whole, also while a part is taken back from one that cannot be reached, and past the loss of who hands them
// out. Free of I/O and clock: times are told.
package quota

import (
	"maps"
	"slices"
	"strings"
)

// Whole is all of what is parted.
const FullShare = 1_000_000

// Of is what is parted: the fleet, or a tenant's quota.
type Resource string

// Fleet is the threads of all engines.
const Fleet = Resource("fleet")

const tenantQuotaPrefix = "quota of "

// Quota is that of a tenant.
func TenantQuota(tenant string) Resource { return Resource(tenantQuotaPrefix + tenant) }

// Tenant is whose quota it is.
func (o Resource) Tenant() (name string, is bool) {
	return strings.CutPrefix(string(o), tenantQuotaPrefix)
}

// Share is parts of the whole, by what is parted.
type Shares map[Resource]int64

// Record is what is agreed: the most that each member may have been given. It is agreed before anything of it is given.
type Record struct {
	Limits map[string]Shares `json:"caps"`
}

// DriftPerMille is how unlike two machines' clocks may run.
const MaxClockDriftPerMille = 50

// Ledger is an owner's view: what is agreed, and what may still be out.
type Ledger struct {
	record      Record
	lifetime    int64 // of a part, by its holder's clock, ns
	outstanding map[string]grant
	uncertain   bool // a record that was not known to be agreed may be yet, until a later one is
}

// held is what a member may hold: the most of all that it was given and that has not ended.
type grant struct {
	upperBound Shares
	expiresAt  int64
	latest     Shares // given last
	sequence   int64  // of the word that gave it
}

// NewLedger takes over from an owner before: all that was agreed may be out until one life from now on.
func NewLedger(r Record, life, now int64) *Ledger {
	l := &Ledger{record: Record{Limits: map[string]Shares{}}, lifetime: life, outstanding: map[string]grant{}, uncertain: true}
	for m, s := range r.Limits {
		l.record.Limits[m] = maps.Clone(s)
		l.outstanding[m] = grant{upperBound: maps.Clone(s), expiresAt: now + l.worstCaseLifetime()}
	}
	return l
}

// outlives is how long a part lasts at the most by the owner's clock.
func (l *Ledger) worstCaseLifetime() int64 { return l.lifetime + l.lifetime*MaxClockDriftPerMille/1000 }

// Clone is another that goes its own way.
func (l *Ledger) Clone() *Ledger {
	c := *l
	c.outstanding = maps.Clone(l.outstanding) // shares in it are never written to
	return &c
}

// Record is what is agreed.
func (l *Ledger) Record() Record { return l.record }

// Holds takes in that a member says by which word's part it goes, controller and all: what was given before is over.
func (l *Ledger) Confirm(member string, count int64) {
	if h := l.outstanding[member]; h.sequence > 0 && count == h.sequence {
		h.upperBound = h.latest
		l.outstanding[member] = h
	}
}

// Next is the record that comes closest to what is wanted now: a cap falls to what may still be out, and rises into what is
// free by the record as it stands. It tells whether it differs, or one is in doubt; then it has to be agreed, and taken, before it counts.
func (l *Ledger) NextRecord(want map[string]Shares, now int64) (r Record, differs bool) {
	r.Limits = map[string]Shares{}
	free := map[Resource]int64{}
	all := map[string]bool{}
	for m := range l.record.Limits {
		all[m] = true
	}
	for m := range want {
		all[m] = true
	}
	names := slices.Sorted(maps.Keys(all))
	for _, m := range names {
		r.Limits[m] = Shares{}
		for _, of := range resources(l.record.Limits[m], want[m]) {
			cap := l.record.Limits[m][of]
			if h := l.outstanding[m]; now < h.expiresAt {
				cap = min(cap, max(want[m][of], h.upperBound[of]))
			} else {
				cap = min(cap, want[m][of])
			}
			r.Limits[m][of] = cap
			free[of] -= cap
		}
	}
	for _, m := range names {
		for _, of := range resources(want[m]) {
			if more := min(want[m][of]-r.Limits[m][of], FullShare+free[of]); more > 0 {
				r.Limits[m][of], free[of] = r.Limits[m][of]+more, free[of]-more
			}
		}
	}
	for m, s := range r.Limits {
		maps.DeleteFunc(s, func(_ Resource, n int64) bool { return n <= 0 })
		if len(s) == 0 {
			delete(r.Limits, m)
		}
	}
	return r, l.uncertain || !maps.EqualFunc(r.Limits, l.record.Limits, maps.Equal[Shares, Shares])
}

// Agreed takes a record that was agreed.
func (l *Ledger) Commit(r Record) { l.record, l.uncertain = r, false }

// Doubt takes in that a record may be agreed later, or never. Until one behind it is agreed nothing may be given: who takes
// over might go by that one.
func (l *Ledger) MarkUncertain() { l.uncertain = true }

// Give is what a member is given now, with a word of that number: no more than is agreed. heard is when its own time, from
// which its part's life counts, came to be known. What is over is forgotten.
func (l *Ledger) Grant(member string, want Shares, heard, count int64) Shares {
	give := Shares{}
	for of, n := range want {
		if n = min(n, l.record.Limits[member][of]); n > 0 {
			give[of] = n
		}
	}
	h := l.outstanding[member]
	most := maps.Clone(give)
	if heard < h.expiresAt {
		for of, n := range h.upperBound {
			most[of] = max(most[of], n)
		}
	}
	l.outstanding[member] = grant{upperBound: most, latest: give, sequence: count, expiresAt: max(h.expiresAt, heard+l.worstCaseLifetime())}
	return give
}

// Forget drops members that hold nothing any more.
func (l *Ledger) DropExpired(now int64) {
	maps.DeleteFunc(l.outstanding, func(_ string, h grant) bool { return now >= h.expiresAt })
}

// ofs are what shares speak of, in order.
func resources(shares ...Shares) (list []Resource) {
	for _, s := range shares {
		for of := range s {
			list = append(list, of)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

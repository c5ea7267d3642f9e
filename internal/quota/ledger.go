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
const Whole = 1_000_000

// Of is what is parted: the fleet, or a tenant's quota.
type Of string

// Fleet is the threads of all engines.
const Fleet = Of("fleet")

const quotaOf = "quota of "

// Quota is that of a tenant.
func Quota(tenant string) Of { return Of(quotaOf + tenant) }

// Tenant is whose quota it is.
func (o Of) Tenant() (name string, is bool) { return strings.CutPrefix(string(o), quotaOf) }

// Share is parts of the whole, by what is parted.
type Share map[Of]int64

// Record is what is agreed: the most that each member may have been given. It is agreed before anything of it is given.
type Record struct {
	Caps map[string]Share `json:"caps"`
}

// DriftPerMille is how unlike two machines' clocks may run.
const DriftPerMille = 50

// Ledger is an owner's view: what is agreed, and what may still be out.
type Ledger struct {
	record Record
	life   int64 // of a part, by its holder's clock, ns
	out    map[string]held
	doubt  bool // a record that was not known to be agreed may be yet, until a later one is
}

// held is what a member may hold: the most of all that it was given and that has not ended.
type held struct {
	most  Share
	ends  int64
	last  Share // given last
	count int64 // of the word that gave it
}

// NewLedger takes over from an owner before: all that was agreed may be out until one life from now on.
func NewLedger(r Record, life, now int64) *Ledger {
	l := &Ledger{record: Record{Caps: map[string]Share{}}, life: life, out: map[string]held{}, doubt: true}
	for m, s := range r.Caps {
		l.record.Caps[m] = maps.Clone(s)
		l.out[m] = held{most: maps.Clone(s), ends: now + l.outlives()}
	}
	return l
}

// outlives is how long a part lasts at the most by the owner's clock.
func (l *Ledger) outlives() int64 { return l.life + l.life*DriftPerMille/1000 }

// Clone is another that goes its own way.
func (l *Ledger) Clone() *Ledger {
	c := *l
	c.out = maps.Clone(l.out) // shares in it are never written to
	return &c
}

// Record is what is agreed.
func (l *Ledger) Record() Record { return l.record }

// Holds takes in that a member says by which word's part it goes, controller and all: what was given before is over.
func (l *Ledger) Holds(member string, count int64) {
	if h := l.out[member]; h.count > 0 && count == h.count {
		h.most = h.last
		l.out[member] = h
	}
}

// Next is the record that comes closest to what is wanted now: a cap falls to what may still be out, and rises into what is
// free by the record as it stands. It tells whether it differs, or one is in doubt; then it has to be agreed, and taken, before it counts.
func (l *Ledger) Next(want map[string]Share, now int64) (r Record, differs bool) {
	r.Caps = map[string]Share{}
	free := map[Of]int64{}
	all := map[string]bool{}
	for m := range l.record.Caps {
		all[m] = true
	}
	for m := range want {
		all[m] = true
	}
	names := slices.Sorted(maps.Keys(all))
	for _, m := range names {
		r.Caps[m] = Share{}
		for _, of := range ofs(l.record.Caps[m], want[m]) {
			cap := l.record.Caps[m][of]
			if h := l.out[m]; now < h.ends {
				cap = min(cap, max(want[m][of], h.most[of]))
			} else {
				cap = min(cap, want[m][of])
			}
			r.Caps[m][of] = cap
			free[of] -= cap
		}
	}
	for _, m := range names {
		for _, of := range ofs(want[m]) {
			if more := min(want[m][of]-r.Caps[m][of], Whole+free[of]); more > 0 {
				r.Caps[m][of], free[of] = r.Caps[m][of]+more, free[of]-more
			}
		}
	}
	for m, s := range r.Caps {
		maps.DeleteFunc(s, func(_ Of, n int64) bool { return n <= 0 })
		if len(s) == 0 {
			delete(r.Caps, m)
		}
	}
	return r, l.doubt || !maps.EqualFunc(r.Caps, l.record.Caps, maps.Equal[Share, Share])
}

// Agreed takes a record that was agreed.
func (l *Ledger) Agreed(r Record) { l.record, l.doubt = r, false }

// Doubt takes in that a record may be agreed later, or never. Until one behind it is agreed nothing may be given: who takes
// over might go by that one.
func (l *Ledger) Doubt() { l.doubt = true }

// Give is what a member is given now, with a word of that number: no more than is agreed. heard is when its own time, from
// which its part's life counts, came to be known. What is over is forgotten.
func (l *Ledger) Give(member string, want Share, heard, count int64) Share {
	give := Share{}
	for of, n := range want {
		if n = min(n, l.record.Caps[member][of]); n > 0 {
			give[of] = n
		}
	}
	h := l.out[member]
	most := maps.Clone(give)
	if heard < h.ends {
		for of, n := range h.most {
			most[of] = max(most[of], n)
		}
	}
	l.out[member] = held{most: most, last: give, count: count, ends: max(h.ends, heard+l.outlives())}
	return give
}

// Forget drops members that hold nothing any more.
func (l *Ledger) Forget(now int64) {
	maps.DeleteFunc(l.out, func(_ string, h held) bool { return now >= h.ends })
}

// ofs are what shares speak of, in order.
func ofs(shares ...Share) (list []Of) {
	for _, s := range shares {
		for of := range s {
			list = append(list, of)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"swiftreel/internal/canary"
)

// Owners come and go, members' clocks run unlike, words are late, doubled and lost: never more than the whole is out.

type holder struct {
	drift float64
	off   int64
	share Shares
	until int64 // its own time
	reign int
	count int64
}

func (h *holder) time(now int64) int64 { return int64(float64(now)*h.drift) + h.off }

type given struct {
	to    int
	reign int
	count int64
	share Shares
	until int64
	at    int64 // when it arrives
}

func TestNeverMoreThanTheWholeIsOut(t *testing.T) {
	for seed := range uint64(300) {
		if why := play(seed, func(r Record, life, now int64) *Ledger { return NewLedger(r, life, now) }); why != "" {
			t.Errorf("seed %d: %s", seed, why)
		}
	}
	found := 0
	for seed := range uint64(100) { // who takes over and does not wait is found out
		if play(seed, func(r Record, life, now int64) *Ledger { return NewLedger(r, life, now-10*life) }) != "" {
			found++
		}
	}
	if found < 50 {
		t.Errorf("a new owner that does not wait is found in %d of 100", found)
	}
}

func play(seed uint64, take func(Record, int64, int64) *Ledger) string {
	r := rand.New(rand.NewPCG(seed, 1))
	const life, look = int64(5000), int64(1000)
	n := 2 + r.IntN(5)
	holders := make([]holder, n)
	for i := range holders {
		holders[i] = holder{drift: 1 + 0.04*(r.Float64()-0.5), off: r.Int64N(1e9)}
	}
	ofs := []Resource{Fleet, TenantQuota("a"), TenantQuota("")}
	draw := func() map[string]Shares {
		want := map[string]Shares{}
		for _, of := range ofs {
			left := int64(FullShare)
			for i := range n {
				name := fmt.Sprint("c", i)
				if want[name] == nil {
					want[name] = Shares{}
				}
				p := r.Int64N(left + 1)
				want[name][of], left = p, left-p
			}
		}
		delete(want, fmt.Sprint("c", r.IntN(3*n))) // one is gone
		return want
	}
	var agreed Record
	ledger, want, reign, count := take(agreed, life, 0), draw(), 1, int64(0)
	var sky []given
	moved := 0
	for now := int64(0); now < 120_000; now += look / 2 {
		if r.IntN(25) == 0 {
			reign, count, ledger = reign+1, 0, take(agreed, life, now)
		}
		if r.IntN(15) == 0 {
			want = draw()
		}
		if now%look == 0 {
			heard := map[int]int64{}
			for i := range holders {
				if h := &holders[i]; r.IntN(5) > 0 {
					heard[i] = h.time(now - r.Int64N(400)) // its answer took a while
					if h.reign == reign {
						ledger.Confirm(fmt.Sprint("c", i), h.count)
					}
				}
			}
			if next, differs := ledger.NextRecord(want, now); differs && r.IntN(6) > 0 { // else it is not agreed
				agreed = next
				ledger.Commit(next)
				moved++
			}
			for i := range holders {
				if stamp, is := heard[i]; is {
					count++
					g := given{i, reign, count, ledger.Grant(fmt.Sprint("c", i), want[fmt.Sprint("c", i)], now, count), stamp + life, now + r.Int64N(3000)}
					if r.IntN(5) > 0 {
						sky = append(sky, g)
					}
					if r.IntN(5) == 0 { // once more, and late
						g.at += r.Int64N(9000)
						sky = append(sky, g)
					}
				}
			}
			ledger.DropExpired(now)
		}
		var later []given
		for _, g := range sky {
			h := &holders[g.to]
			switch {
			case g.at > now:
				later = append(later, g)
			case g.reign > h.reign || g.reign == h.reign && g.count > h.count:
				h.share, h.until, h.reign, h.count = g.share, g.until, g.reign, g.count
			}
		}
		sky = later
		for _, of := range ofs {
			out, caps := int64(0), int64(0)
			for i := range holders {
				if h := &holders[i]; h.time(now) < h.until {
					out += h.share[of]
				}
			}
			for _, s := range agreed.Limits {
				caps += s[of]
			}
			if out > FullShare || caps > FullShare {
				return fmt.Sprintf("at %d %d of %s are out, %d are agreed", now, out, of, caps)
			}
		}
	}
	if moved < 3 {
		return "nothing was agreed"
	}
	return ""
}

// A record whose write timed out may be agreed later: one that is wanted no more must be written over before anything is given.
func TestARecordInDoubtIsWrittenOver(t *testing.T) {
	l := NewLedger(Record{}, 5000, 0)
	want := map[string]Shares{"a": {Fleet: 700_000}, "b": {Fleet: 300_000}}
	r, differs := l.NextRecord(want, 1)
	if l.Commit(r); !differs {
		t.Error("the first is not written")
	}
	if _, differs := l.NextRecord(want, 2); differs {
		t.Error("what is agreed is written again")
	}
	if _, differs := l.NextRecord(map[string]Shares{"a": {Fleet: 300_000}}, 3); !differs {
		t.Error("a change is not written")
	}
	l.MarkUncertain() // it timed out, and what was wanted before is wanted again
	r, differs = l.NextRecord(want, 4)
	if !differs {
		t.Error("nothing is written over it")
	}
	if l.Commit(r); l.Grant("a", want["a"], 5, 1)[Fleet] != 700_000 {
		t.Error("it is not given once it is agreed")
	}
}

// What is wanted comes to be, once what was out has ended or been given back.
func TestPartsConverge(t *testing.T) {
	l := NewLedger(Record{}, 5000, 0)
	two := func(a, b int64) map[string]Shares { return map[string]Shares{"a": {Fleet: a}, "b": {Fleet: b}} }
	count := int64(0)
	turn := func(now int64, want map[string]Shares, heard bool) (got Shares) {
		if heard && count > 0 {
			l.Confirm("a", count-1)
			l.Confirm("b", count)
		}
		if r, differs := l.NextRecord(want, now); differs {
			l.Commit(r)
		}
		if heard {
			l.Grant("a", want["a"], now, count+1)
		}
		count += 2
		return l.Grant("b", want["b"], now, count)
	}
	if got := turn(1000, two(900_000, 100_000), true); got[Fleet] != 100_000 {
		t.Errorf("%v", got)
	}
	if got := turn(2000, two(100_000, 900_000), true); got[Fleet] != 100_000 {
		t.Errorf("given before it was given back: %v", got)
	}
	if got := turn(3000, two(100_000, 900_000), true); got[Fleet] != 900_000 {
		t.Errorf("given back, and not given on: %v", got)
	}
	// One that is not heard: its part is given on only when it has ended there.
	turn(4000, two(800_000, 200_000), true)
	turn(5000, two(800_000, 200_000), true)
	for now := int64(6000); now < 5000+5250; now += 1000 {
		if got := turn(now, two(0, FullShare), false); got[Fleet] != 200_000 {
			t.Errorf("at %d: %v", now, got)
		}
	}
	if got := turn(5000+5251, two(0, FullShare), false); got[Fleet] != FullShare {
		t.Errorf("%v, %v", got, l.Record())
	}
}

func half([]uint64) float64 { return 2 }

func TestPartsFollowWhatIsAsked(t *testing.T) {
	d := NewDemand()
	g, other := canary.Group{Type: "lookup", Tenant: "acme"}, canary.Group{Type: "lookup", Tenant: "bee"}
	look := func(now int64, a, b uint64, heard bool) {
		d.Observe(now, []Observation{{Member: "a", Reachable: true, Interval: 1e9, Work: map[canary.Group]canary.JobCounts{g: {Jobs: a, Done: a}}},
			{Member: "b", Reachable: heard, Interval: 1e9, Work: map[canary.Group]canary.JobCounts{g: {Jobs: b, Done: b}, other: {Jobs: b, Done: b}}},
			{Member: "c", Reachable: true, Interval: 1e9}}, half)
	}
	for now := int64(1e9); now <= 60e9; now += 1e9 {
		look(now, 80, 10, true)
	}
	want := d.Targets(60e9)
	sum := int64(0)
	for _, m := range []string{"a", "b", "c"} {
		sum += want[m][Fleet]
	}
	if sum > FullShare || sum < FullShare-3 || want["a"][Fleet] < 600_000 || want["c"][Fleet] < 50_000 || want["b"][TenantQuota("bee")] < 800_000 || want["a"][TenantQuota("acme")] < 700_000 {
		t.Errorf("%v", want)
	}
	for now := int64(61e9); now < 64e9; now += 1e9 { // what changes by little changes nothing
		if look(now, 80, 12, true); fmt.Sprint(d.Targets(now)) != fmt.Sprint(want) {
			t.Errorf("at %d: %v", now, d.Targets(now))
		}
	}
	for now := int64(64e9); now < 90e9; now += 1e9 {
		look(now, 80, 0, false)
	}
	if got := d.Targets(90e9); got["b"] == nil || got["b"][Fleet] > FullShare/3+1 {
		t.Errorf("one that is not heard: %v", got)
	}
	look(63e9+unseenTimeout, 80, 0, false)
	if got := d.Targets(63e9 + unseenTimeout); got["b"] != nil || got["a"][Fleet] < 700_000 {
		t.Errorf("long not heard: %v", got)
	}
	d.Observe(200e9, []Observation{{Member: "a", Reachable: true}}, half)
	if len(d.members) != 1 {
		t.Errorf("%d are remembered", len(d.members))
	}
	if got := NewDemand(); true {
		got.Observe(1, []Observation{{Member: "a", Reachable: true}, {Member: "b", Reachable: true}}, half)
		if w := got.Targets(1); w["a"][Fleet] != FullShare/2 || w["b"][Fleet] != FullShare/2 {
			t.Errorf("nothing asked: %v", w)
		}
	}
}

package quota

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"swiftreel/internal/canary"
	"swiftreel/internal/golden"
)

// The files in testdata were written by the program as it stood at commit 70e2e4b. With -record a missing one is written.

// checkGolden compares text with a file of testdata, and returns what that holds.
func checkGolden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	golden.Check(t, name, got)
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func marshal(t *testing.T, v any) []byte {
	t.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

// A ledger takes over from the record as it was written before: nothing of it is given twice until it has ended.
func TestALedgerGoesOnFromARecordOfAnEarlierProgram(t *testing.T) {
	want := map[string]Shares{"a": {Fleet: 700_000, TenantQuota("acme"): 1_000_000}, "b": {Fleet: 300_000}}
	l := NewLedger(Record{}, 5000, 0)
	first, _ := l.NextRecord(want, 1)
	var r Record
	if err := json.Unmarshal(checkGolden(t, "record.json", marshal(t, first)), &r); err != nil {
		t.Fatal(err)
	}
	l = NewLedger(r, 5000, 1000)
	other := map[string]Shares{"a": {Fleet: 100_000}, "b": {Fleet: 900_000}}
	next, _ := l.NextRecord(other, 1001)
	checkGolden(t, "record-next.json", marshal(t, next))
	l.Commit(next)
	if got := l.Grant("b", other["b"], 1002, 1); got[Fleet] != 300_000 {
		t.Errorf("%v is given while the part before is out", got)
	}
	next, _ = l.NextRecord(other, 1000+5000+250)
	checkGolden(t, "record-ended.json", marshal(t, next))
}

// What ledgers and demands decide on drawn input, step by step, is what they decided before.
func TestDecisionsAreThoseOfAnEarlierProgram(t *testing.T) {
	var lines bytes.Buffer
	for seed := range uint64(40) {
		fmt.Fprintf(&lines, "ledger %d: %s\n", seed, ledgerTrace(t, seed))
		fmt.Fprintf(&lines, "demand %d: %s\n", seed, demandTrace(t, seed))
	}
	checkGolden(t, "decisions.txt", lines.Bytes())
}

func ledgerTrace(t *testing.T, seed uint64) string {
	r, trace := rand.New(rand.NewPCG(seed, 7)), fnv.New64a()
	members, of := []string{"a", "b", "c", "d"}, []Resource{Fleet, TenantQuota("x"), TenantQuota("y")}
	l, count := NewLedger(Record{}, 5000, 0), int64(0)
	var last []byte
	for now := int64(0); now < 60_000; now += 500 {
		want := map[string]Shares{}
		for _, o := range of {
			left := int64(FullShare)
			for _, m := range members {
				if r.IntN(8) > 0 {
					if want[m] == nil {
						want[m] = Shares{}
					}
					n := r.Int64N(left + 1)
					want[m][o], left = n, left-n
				}
			}
		}
		next, differs := l.NextRecord(want, now)
		fmt.Fprint(trace, now, differs)
		last = marshal(t, next)
		trace.Write(last)
		switch r.IntN(6) {
		case 0:
			l.MarkUncertain()
		case 1:
			l = NewLedger(next, 5000, now)
		default:
			l.Commit(next)
		}
		for _, m := range members {
			if r.IntN(3) > 0 {
				count++
				trace.Write(marshal(t, l.Grant(m, want[m], now, count)))
			}
			if r.IntN(3) > 0 {
				l.Confirm(m, count-r.Int64N(5))
			}
		}
		if r.IntN(4) == 0 {
			l.DropExpired(now)
		}
		trace.Write(marshal(t, l.Clone().Record()))
	}
	return fmt.Sprintf("%016x %s", trace.Sum64(), bytes.TrimSpace(last))
}

func demandTrace(t *testing.T, seed uint64) string {
	r, trace := rand.New(rand.NewPCG(seed, 8)), fnv.New64a()
	d := NewDemand()
	var last []byte
	for now := int64(1e9); now < 120e9; now += 1e9 {
		var seen []Observation
		for _, m := range []string{"a", "b", "c", "d"} {
			if r.IntN(20) == 0 {
				continue
			}
			s := Observation{Member: m, Reachable: r.IntN(10) > 0, Interval: r.Int64N(3) * 1e9, Work: map[canary.Group]canary.JobCounts{}}
			for _, g := range []canary.Group{{Type: "lookup", Tenant: "acme"}, {Type: "report", Tenant: "acme"}, {Type: "lookup", Tenant: "bee"}} {
				if r.IntN(3) == 0 {
					n := uint64(r.IntN(400))
					s.Work[g] = canary.JobCounts{Jobs: n, Done: n / 2, LatencyBuckets: []uint64{n, n / 3}}
				}
			}
			seen = append(seen, s)
		}
		d.Observe(now, seen, func(took []uint64) float64 { return float64(1 + len(took)*int(took[0]%7)) })
		last = marshal(t, d.Targets(now))
		trace.Write(last)
		for _, m := range []string{"a", "b", "c", "d"} {
			for _, g := range []canary.Group{{Type: "lookup", Tenant: "acme"}, {Type: "report", Tenant: "acme"}} {
				fmt.Fprintf(trace, "%.9f", d.Rates()[m][g])
			}
		}
	}
	return fmt.Sprintf("%016x %s", trace.Sum64(), bytes.TrimSpace(last))
}

package quota

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"hash/fnv"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"swiftreel/internal/canary"
)

// The files in testdata were written by the program as it stood at commit 70e2e4b. With -record a missing one is written.
var record = flag.Bool("record", false, "write files of testdata that are not there")

func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	want, err := os.ReadFile(path)
	if *record && errors.Is(err, fs.ErrNotExist) {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return got
	}
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s:\n%s\nwanted:\n%s", name, got, want)
	}
	return want
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
	want := map[string]Share{"a": {Fleet: 700_000, Quota("acme"): 1_000_000}, "b": {Fleet: 300_000}}
	l := NewLedger(Record{}, 5000, 0)
	first, _ := l.Next(want, 1)
	var r Record
	if err := json.Unmarshal(golden(t, "record.json", marshal(t, first)), &r); err != nil {
		t.Fatal(err)
	}
	l = NewLedger(r, 5000, 1000)
	other := map[string]Share{"a": {Fleet: 100_000}, "b": {Fleet: 900_000}}
	next, _ := l.Next(other, 1001)
	golden(t, "record-next.json", marshal(t, next))
	l.Agreed(next)
	if got := l.Give("b", other["b"], 1002, 1); got[Fleet] != 300_000 {
		t.Errorf("%v is given while the part before is out", got)
	}
	next, _ = l.Next(other, 1000+5000+250)
	golden(t, "record-ended.json", marshal(t, next))
}

// What ledgers and demands decide on drawn input, step by step, is what they decided before.
func TestDecisionsAreThoseOfAnEarlierProgram(t *testing.T) {
	var lines bytes.Buffer
	for seed := range uint64(40) {
		fmt.Fprintf(&lines, "ledger %d: %s\n", seed, ledgerTrace(t, seed))
		fmt.Fprintf(&lines, "demand %d: %s\n", seed, demandTrace(t, seed))
	}
	golden(t, "decisions.txt", lines.Bytes())
}

func ledgerTrace(t *testing.T, seed uint64) string {
	r, trace := rand.New(rand.NewPCG(seed, 7)), fnv.New64a()
	members, of := []string{"a", "b", "c", "d"}, []Of{Fleet, Quota("x"), Quota("y")}
	l, count := NewLedger(Record{}, 5000, 0), int64(0)
	var last []byte
	for now := int64(0); now < 60_000; now += 500 {
		want := map[string]Share{}
		for _, o := range of {
			left := int64(Whole)
			for _, m := range members {
				if r.IntN(8) > 0 {
					if want[m] == nil {
						want[m] = Share{}
					}
					n := r.Int64N(left + 1)
					want[m][o], left = n, left-n
				}
			}
		}
		next, differs := l.Next(want, now)
		fmt.Fprint(trace, now, differs)
		last = marshal(t, next)
		trace.Write(last)
		switch r.IntN(6) {
		case 0:
			l.Doubt()
		case 1:
			l = NewLedger(next, 5000, now)
		default:
			l.Agreed(next)
		}
		for _, m := range members {
			if r.IntN(3) > 0 {
				count++
				trace.Write(marshal(t, l.Give(m, want[m], now, count)))
			}
			if r.IntN(3) > 0 {
				l.Holds(m, count-r.Int64N(5))
			}
		}
		if r.IntN(4) == 0 {
			l.Forget(now)
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
		var seen []Seen
		for _, m := range []string{"a", "b", "c", "d"} {
			if r.IntN(20) == 0 {
				continue
			}
			s := Seen{Member: m, Heard: r.IntN(10) > 0, Span: r.Int64N(3) * 1e9, Work: map[canary.Group]canary.Work{}}
			for _, g := range []canary.Group{{Type: "lookup", Tenant: "acme"}, {Type: "report", Tenant: "acme"}, {Type: "lookup", Tenant: "bee"}} {
				if r.IntN(3) == 0 {
					n := uint64(r.IntN(400))
					s.Work[g] = canary.Work{Jobs: n, Done: n / 2, Took: []uint64{n, n / 3}}
				}
			}
			seen = append(seen, s)
		}
		d.Look(now, seen, func(took []uint64) float64 { return float64(1 + len(took)*int(took[0]%7)) })
		last = marshal(t, d.Want(now))
		trace.Write(last)
		for _, m := range []string{"a", "b", "c", "d"} {
			for _, g := range []canary.Group{{Type: "lookup", Tenant: "acme"}, {Type: "report", Tenant: "acme"}} {
				fmt.Fprintf(trace, "%.9f", d.Rates()[m][g])
			}
		}
	}
	return fmt.Sprintf("%016x %s", trace.Sum64(), bytes.TrimSpace(last))
}

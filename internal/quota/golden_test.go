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

// The files in testdata were written by the version at commit 70e2e4b. With -record a missing file is written.

// checkGolden compares got with a file in testdata, and returns the content of that file.
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

// A ledger can resume from a record written by an earlier version, and grants none of its shares to another member
// before they have expired.
func TestALedgerGoesOnFromARecordOfAnEarlierProgram(t *testing.T) {
	targets := map[string]Shares{
		"a": {FleetThreads: 700_000, TenantQuota("acme"): 1_000_000},
		"b": {FleetThreads: 300_000},
	}
	l := NewLedger(Record{}, 5000, 0)
	first, _ := l.NextRecord(targets, 1)
	var record Record
	if err := json.Unmarshal(checkGolden(t, "record.json", marshal(t, first)), &record); err != nil {
		t.Fatal(err)
	}
	l = NewLedger(record, 5000, 1000)
	other := map[string]Shares{"a": {FleetThreads: 100_000}, "b": {FleetThreads: 900_000}}
	next, _ := l.NextRecord(other, 1001)
	checkGolden(t, "record-next.json", marshal(t, next))
	l.Commit(next)
	if got := l.Grant("b", other["b"], 1002, 1); got[FleetThreads] != 300_000 {
		t.Errorf("%v is granted while the earlier shares are still in use", got)
	}
	next, _ = l.NextRecord(other, 1000+5000+250)
	checkGolden(t, "record-ended.json", marshal(t, next))
}

// On random input, Ledger and Demand make the same decisions as the earlier version.
func TestDecisionsAreThoseOfAnEarlierProgram(t *testing.T) {
	var lines bytes.Buffer
	for seed := range uint64(40) {
		fmt.Fprintf(&lines, "ledger %d: %s\n", seed, ledgerTrace(t, seed))
		fmt.Fprintf(&lines, "demand %d: %s\n", seed, demandTrace(t, seed))
	}
	checkGolden(t, "decisions.txt", lines.Bytes())
}

var traceMembers = []string{"a", "b", "c", "d"}

// ledgerTrace runs a ledger on random input, and returns a digest of all decisions and the last record.
func ledgerTrace(t *testing.T, seed uint64) string {
	t.Helper()
	random, trace := rand.New(rand.NewPCG(seed, 7)), fnv.New64a()
	l, sequence := NewLedger(Record{}, 5000, 0), int64(0)
	var last []byte
	for now := int64(0); now < 60_000; now += 500 {
		targets := drawTargets(random)
		next, isChanged := l.NextRecord(targets, now)
		fmt.Fprint(trace, now, isChanged)
		last = marshal(t, next)
		trace.Write(last)
		switch random.IntN(6) {
		case 0:
			l.MarkUncertain()
		case 1:
			l = NewLedger(next, 5000, now)
		default:
			l.Commit(next)
		}
		for _, member := range traceMembers {
			if random.IntN(3) > 0 {
				sequence++
				trace.Write(marshal(t, l.Grant(member, targets[member], now, sequence)))
			}
			if random.IntN(3) > 0 {
				l.Confirm(member, sequence-random.Int64N(5))
			}
		}
		if random.IntN(4) == 0 {
			l.DropExpired(now)
		}
		trace.Write(marshal(t, l.Clone().record))
	}
	return fmt.Sprintf("%016x %s", trace.Sum64(), bytes.TrimSpace(last))
}

// drawTargets randomly divides three resources among most of the members.
func drawTargets(random *rand.Rand) map[string]Shares {
	targets := map[string]Shares{}
	for _, resource := range []Resource{FleetThreads, TenantQuota("x"), TenantQuota("y")} {
		left := int64(FullShare)
		for _, member := range traceMembers {
			if random.IntN(8) == 0 {
				continue
			}
			if targets[member] == nil {
				targets[member] = Shares{}
			}
			share := random.Int64N(left + 1)
			targets[member][resource] = share
			left -= share
		}
	}
	return targets
}

// demandTrace runs a Demand on random input, and returns a digest of all targets and rates and the last targets.
func demandTrace(t *testing.T, seed uint64) string {
	t.Helper()
	random, trace := rand.New(rand.NewPCG(seed, 8)), fnv.New64a()
	d := NewDemand()
	var last []byte
	for now := int64(1e9); now < 120e9; now += 1e9 {
		d.Observe(now, drawObservations(random), func(counts []uint64) float64 {
			return float64(1 + len(counts)*int(counts[0]%7))
		})
		last = marshal(t, d.Targets(now))
		trace.Write(last)
		for _, member := range traceMembers {
			for _, group := range traceGroups[:2] {
				fmt.Fprintf(trace, "%.9f", d.Rates()[member][group])
			}
		}
	}
	return fmt.Sprintf("%016x %s", trace.Sum64(), bytes.TrimSpace(last))
}

var traceGroups = []canary.Group{
	{Type: "lookup", Tenant: "acme"},
	{Type: "report", Tenant: "acme"},
	{Type: "lookup", Tenant: "bee"},
}

// drawObservations returns observations of random work for most of the members.
func drawObservations(random *rand.Rand) []Observation {
	var observations []Observation
	for _, member := range traceMembers {
		if random.IntN(20) == 0 {
			continue
		}
		observed := Observation{Member: member, Work: map[canary.Group]canary.JobCounts{}}
		observed.Reachable = random.IntN(10) > 0
		observed.Interval = random.Int64N(3) * 1e9
		for _, group := range traceGroups {
			if random.IntN(3) == 0 {
				jobs := uint64(random.IntN(400))
				observed.Work[group] = canary.JobCounts{Jobs: jobs, Done: jobs / 2, LatencyBuckets: []uint64{jobs, jobs / 3}}
			}
		}
		observations = append(observations, observed)
	}
	return observations
}

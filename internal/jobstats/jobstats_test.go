package jobstats

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"swiftreel/internal/canary"
	"swiftreel/internal/golden"
)

// sampleRecorder returns a recorder with jobs of two groups and every outcome.
func sampleRecorder() *Recorder {
	b := NewRecorder()
	lookup, report := canary.Group{Type: "lookup", Tenant: "acme"}, canary.Group{Type: "report", Tenant: "b c"}
	for i := range 20 {
		b.RecordJob(lookup, Done, time.Duration(i+1)*time.Millisecond, i < 15, uint64(1+i%3))
	}
	b.RecordJob(lookup, Throttled, 0, false, 0)
	b.RecordJob(lookup, Cancelled, time.Second, false, 2)
	b.RecordJob(lookup, Abandoned, time.Second, true, 1)
	b.RecordJob(report, Done, 0, true, 1)
	b.RecordJob(report, Done, 2*time.Hour, false, 1)
	b.RecordProbe()
	b.RecordProbe()
	return b
}

// sampleReport returns a report with every field set.
func sampleReport() (r Report) {
	r = Report{
		StartedUnixNS:  1700000000000000001,
		Version:        "v1",
		SpecDigest:     "aa",
		SettingsDigest: "bb",
		Ready:          true,
		PendingAnswers: 3,
		ReloadsFailed:  2,
		EjectedEngines: 4,
		TypeStats: json.RawMessage(
			`{"lookup":1.5}`,
		),
		EngineHealth:    json.RawMessage(`{"e1":{}}`),
		ReadyEngines:    []string{"e1", "e2"},
		SharePerMillion: 250_000,
	}
	sampleRecorder().FillReport(&r)
	return r
}

func TestReportIsServedAsRecorded(t *testing.T) {
	server, err := Serve("127.0.0.1:0", sampleReport, func(Share) {})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	answer, err := http.Get("http://" + server.Address() + "/tally")
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode != http.StatusOK || answer.Header.Get("Content-Type") != "application/json" {
		t.Errorf("%s %v %v", answer.Status, answer.Header, err)
	}
	golden.Check(t, "report.json", body)
	for i, v := 0, reflect.ValueOf(sampleReport()); i < v.NumField(); i++ {
		if v.Field(i).IsZero() {
			t.Errorf("%s is not set, so the golden file lacks its key", v.Type().Field(i).Name)
		}
	}
	var read Report
	if err := json.Unmarshal(body, &read); err != nil || !reflect.DeepEqual(read, sampleReport()) {
		t.Errorf("%v: read back as %+v", err, read)
	}
}

func TestSharesAreAcceptedOrRefused(t *testing.T) {
	var got []Share
	server, err := Serve("127.0.0.1:0", sampleReport, func(p Share) { got = append(got, p) })
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	post := func(text string) (int, string) {
		t.Helper()
		answer, err := http.Post("http://"+server.Address()+"/part", "application/json", strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		defer answer.Body.Close()
		body, err := io.ReadAll(answer.Body)
		if err != nil {
			t.Fatal(err)
		}
		return answer.StatusCode, string(body)
	}
	sent := Share{PerMillion: 500_000, TenantQuotas: map[string]int64{"acme": 7, "": 1_000_000}, ExpiryNS: 9e9}
	text, err := json.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "part.json", text)
	code, body := post(string(text))
	if code != http.StatusNoContent || body != "" || len(got) != 1 || !reflect.DeepEqual(got[0], sent) {
		t.Errorf("%d %q: %+v", code, body, got)
	}
	for _, bad := range []string{
		`{`,
		`{}`,
		`{"per_million":0,"until_boot_ns":1}`,
		`{"per_million":1000001,"until_boot_ns":1}`,
		`{"per_million":5}`,
		`{"per_million":5,"until_boot_ns":1,"quotas":{"a":-1}}`,
		`{"per_million":5,"until_boot_ns":1,"quotas":{"a":1000001}}`,
	} {
		if code, _ := post(bad); code != http.StatusUnprocessableEntity || len(got) != 1 {
			t.Errorf("%s: %d", bad, code)
		}
	}
	answer, err := http.Get("http://" + server.Address() + "/part")
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusMethodNotAllowed {
		t.Errorf("GET: %s", answer.Status)
	}
}

// TestCountsOfAReportReachTheAnalysis checks that the counts in an encoded report reach the sums of the canary analysis
// and that quantiles of its latencies are right.
func TestCountsOfAReportReachTheAnalysis(t *testing.T) {
	text, err := json.Marshal(sampleReport())
	if err != nil {
		t.Fatal(err)
	}
	var read Report
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(&read); err != nil {
		t.Fatal(err)
	}
	sum := canary.SumCounts([]canary.Sample{{Member: "c1", Counts: read.JobCounts}}, false)
	if sum.Jobs != 25 || sum.Done != 22 || sum.WithinSLA != 16 || sum.Throttled != 1 || sum.Cancelled != 1 ||
		sum.Dispatches != 44 ||
		sum.Retries != 20 {
		t.Errorf("%+v", sum)
	}
	took := read.JobCounts[canary.Group{Type: "lookup", Tenant: "acme"}].LatencyBuckets
	p50 := Quantile(took, 50)
	if p50 < 9*time.Millisecond || p50 > 11*time.Millisecond {
		t.Errorf("median: %v", p50)
	}
	p99 := Quantile(took, 99)
	if p99 < 19*time.Millisecond || p99 > 21*time.Millisecond {
		t.Errorf("99th percentile: %v", p99)
	}
	if q := Quantile(nil, 50); q != 0 {
		t.Errorf("without latencies: %v", q)
	}
}

func TestNilRecorderCountsNothing(t *testing.T) {
	var b *Recorder
	b.RecordJob(canary.Group{}, Done, time.Second, true, 1)
	b.RecordProbe()
}

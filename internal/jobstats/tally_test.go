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

// sampleBook counts jobs of two groups, each way that a job may end.
func sampleBook() *Book {
	b := NewBook()
	lookup, report := canary.Group{Type: "lookup", Tenant: "acme"}, canary.Group{Type: "report", Tenant: "b c"}
	for i := range 20 {
		b.Answered(lookup, Done, time.Duration(i+1)*time.Millisecond, i < 15, uint64(1+i%3))
	}
	b.Answered(lookup, Throttled, 0, false, 0)
	b.Answered(lookup, Cancelled, time.Second, false, 2)
	b.Answered(lookup, Left, time.Second, true, 1)
	b.Answered(report, Done, 0, true, 1)
	b.Answered(report, Done, 2*time.Hour, false, 1)
	b.Probe()
	b.Probe()
	return b
}

// sampleReport fills every field.
func sampleReport() (r Report) {
	r = Report{Started: 1700000000000000001, Version: "v1", Spec: "aa", Settings: "bb", Ready: true, Owed: 3, Refused: 2, Aside: 4,
		Learned: json.RawMessage(`{"lookup":1.5}`), Health: json.RawMessage(`{"e1":{}}`), Engines: []string{"e1", "e2"}, Carries: 250_000}
	sampleBook().Fill(&r)
	return r
}

func TestReportIsServedAsRecorded(t *testing.T) {
	server, err := Serve("127.0.0.1:0", sampleReport, func(Part) {})
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
			t.Errorf("%s is not filled: the golden file does not hold its key", v.Type().Field(i).Name)
		}
	}
	var read Report
	if err := json.Unmarshal(body, &read); err != nil || !reflect.DeepEqual(read, sampleReport()) {
		t.Errorf("%v: read back as %+v", err, read)
	}
}

func TestPartsAreTakenWholeOrRefused(t *testing.T) {
	var got []Part
	server, err := Serve("127.0.0.1:0", sampleReport, func(p Part) { got = append(got, p) })
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
	sent := Part{PerMillion: 500_000, Quotas: map[string]int64{"acme": 7, "": 1_000_000}, UntilNS: 9e9}
	text, err := json.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "part.json", text)
	if code, body := post(string(text)); code != http.StatusNoContent || body != "" || len(got) != 1 || !reflect.DeepEqual(got[0], sent) {
		t.Errorf("%d %q: %+v", code, body, got)
	}
	for _, bad := range []string{`{`, `{}`, `{"per_million":0,"until_boot_ns":1}`, `{"per_million":1000001,"until_boot_ns":1}`, `{"per_million":5}`,
		`{"per_million":5,"until_boot_ns":1,"quotas":{"a":-1}}`, `{"per_million":5,"until_boot_ns":1,"quotas":{"a":1000001}}`} {
		if code, _ := post(bad); code != http.StatusUnprocessableEntity || len(got) != 1 {
			t.Errorf("%s: %d", bad, code)
		}
	}
	if answer, err := http.Get("http://" + server.Address() + "/part"); err != nil || answer.StatusCode != http.StatusMethodNotAllowed {
		t.Errorf("%v %v", answer, err)
	} else {
		answer.Body.Close()
	}
}

// TestWhatTheJudgeReadsOfAReport has counts go from a report's text into a verdict's sums, and latencies come back.
func TestWhatTheJudgeReadsOfAReport(t *testing.T) {
	text, err := json.Marshal(sampleReport())
	if err != nil {
		t.Fatal(err)
	}
	var read Report
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(&read); err != nil {
		t.Fatal(err)
	}
	sum := canary.Sum([]canary.Seen{{Member: "c1", Work: read.Work}}, false)
	if sum.Jobs != 25 || sum.Done != 22 || sum.Within != 16 || sum.Throttled != 1 || sum.Cancelled != 1 || sum.Dispatches != 44 || sum.Further != 20 {
		t.Errorf("%+v", sum)
	}
	took := read.Work[canary.Group{Type: "lookup", Tenant: "acme"}].Took
	if p50, p99 := Quantile(took, 50), Quantile(took, 99); p50 < 9*time.Millisecond || p50 > 11*time.Millisecond || p99 < 19*time.Millisecond || p99 > 21*time.Millisecond {
		t.Errorf("%v %v", p50, p99)
	}
	if q := Quantile(nil, 50); q != 0 {
		t.Errorf("of nothing: %v", q)
	}
}

func TestNoBookCountsNothing(t *testing.T) {
	var b *Book
	b.Answered(canary.Group{}, Done, time.Second, true, 1)
	b.Probe()
}

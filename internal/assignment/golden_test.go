package assignment

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"swiftreel/internal/change"
	"swiftreel/internal/golden"
	"swiftreel/internal/quota"
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

// The encodings of Assignment and Accepted match the recorded ones byte for byte, and can be decoded without loss.
func TestAssignmentEncodingStaysCompatible(t *testing.T) {
	plan := json.RawMessage(`{"method":"m","status":"optimal"}`)
	full := Assignment{
		Format:      change.Format,
		Term:        5,
		Sequence:    17,
		Leader:      "v1",
		Member:      "c1",
		Incarnation: "0123456789abcdef",
		Shares: quota.Shares{
			quota.FleetThreads: 250_000, quota.TenantQuota("acme"): 500_000, quota.TenantQuota(""): 1,
		},
		SharesUntil: 123_456_789_000,
		Plan:        change.JSONDigest(plan),
		PlanUntil:   987_654_321_000,
		PlanText:    plan,
	}
	smallest := Assignment{
		Format: change.Format, Term: 1, Sequence: 1, Leader: "a", Member: "b", Incarnation: "c",
	}
	for name, written := range map[string]Assignment{"word-full.json": full, "word-least.json": smallest} {
		got, err := Read(bytes.NewReader(checkGolden(t, name, marshal(t, written))))
		if err != nil || !reflect.DeepEqual(got, written) {
			t.Errorf("%s is decoded as %+v, %v", name, got, err)
		}
	}
	accepted, err := Accepted{}.Accept(full, "c1", full.Incarnation, 1000)
	if err != nil {
		t.Fatal(err)
	}
	for name, written := range map[string]Accepted{"held-full.json": accepted, "held-none.json": {}} {
		var got Accepted
		if err := json.Unmarshal(checkGolden(t, name, marshal(t, written)), &got); err != nil {
			t.Fatal(err)
		}
		written.PlanText = nil // a status does not include it
		if !reflect.DeepEqual(got, written) {
			t.Errorf("%s is decoded as %+v", name, got)
		}
	}
}

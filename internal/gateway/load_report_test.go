package gateway

import (
	"slices"
	"testing"

	"swiftreel/internal/backend"
)

func TestAReportIsReadIntoTheOrderOfTheSettings(t *testing.T) {
	r := settings{loadFields: []string{"concurrent", "load_share", "x1"}}
	for text, want := range map[string][]float64{
		"concurrent:16.5;load_share:0.5;x1:0.25": {16.5, 0.5, 0.25},
		"x1:0.25;util:0.5;other:9;inflight:16.5": {16.5, 0.5, 0.25},
		"concurrent:16.5;load_share:0.5":         nil,
		"concurrent:x;load_share:0.5;x1:0.25":    nil,
		"":                                       nil,
	} {
		if got := r.parseLoad(text); !slices.Equal(got, want) {
			t.Errorf("%q: %v", text, got)
		}
	}
	r.loadFields = []string{"depth", "load_share", "x0"} // without a count of jobs
	if got := r.parseLoad("util:0.5;x0:1.25;queue:3"); !slices.Equal(got, []float64{3, 0.5, 1.25}) {
		t.Errorf("report without a count of jobs: %v", got)
	}
	if got := packUsage(backend.Reply{WorkMS: 35, MemoryMB: 76}); got != 35*4096+19 {
		t.Errorf("packed usage %d", got)
	}
	if got := packUsage(backend.Reply{WorkMS: 1e12, MemoryMB: 1e9}); got != 1<<32-1 {
		t.Errorf("packed usage of values above the limits: %d", got)
	}
}

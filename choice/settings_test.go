package choice

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
)

// Parsed settings must equal what reading them by path gives, also for malformed settings.

func parseJSON(t *testing.T, text string) RawSettings {
	t.Helper()
	var raw RawSettings
	if err := json.Unmarshal([]byte(text), &raw); err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestSettingsByIndexAreThoseOfTheirPaths(t *testing.T) {
	for name, text := range map[string]string{
		"none": `{}`,
		"lists": `{"domain": {"cpu_of_kind": [8, 0.5, 16], "size_mb": [1000, 2000]},
			"tenants": [{"quota_per_s": 5}, {}]}`,
		"odd elements": `{"domain": {"cpu_of_kind": [8, "16", null, 4], "size_mb": [true, 7]},
			"tenants": [3, {"quota_per_s": "9"}]}`,
		"objects": `{"domain": {"cpu_of_kind": {"1": 4, "02": 9, "x": 1}},
			"tenants": {"2": {"quota_per_s": 0.5}}}`,
		"wrong types":      `{"domain": {"cpu_of_kind": 8, "size_mb": "big"}, "tenants": true}`,
		"domain no object": `{"domain": [1, 2], "tenants": null}`,
	} {
		t.Run(name, func(t *testing.T) {
			raw := parseJSON(t, text)
			s := ParseSettings(raw)
			for i := range 5 {
				cores := math.Max(1, raw.number(fmt.Sprintf("domain.cpu_of_kind.%d", i), 1))
				if got := s.cores(KindID(i)); got != cores {
					t.Errorf("cores of kind %d: got %v, want %v", i, got, cores)
				}
				memory := raw.number(fmt.Sprintf("domain.size_mb.%d", i), 0)
				if got := s.memoryMB(KindID(i)); got != memory {
					t.Errorf("memory of kind %d: got %v, want %v", i, got, memory)
				}
				quota := raw.number(fmt.Sprintf("tenants.%d.quota_per_s", i), 1e9)
				if got := s.tenantQuota(TenantID(i)); got != quota {
					t.Errorf("quota of tenant %d: got %v, want %v", i, got, quota)
				}
			}
		})
	}
}

func TestAbsentAndOddSettingsHaveTheirDefaults(t *testing.T) {
	odd := `{"balancers": "3", "me": null, "over_share_worth": {}, "discovery": 4, "classes": {"0": {"gain": 2}},
		"limits": {"most_tries": true, "cancel": 1, "probes": "yes", "retry_after": "no", "max_retry_after_ns": 5e9},
		"invariants": {"start_capacity": "half", "further_ratio": null, "drain_grace_ns": []},
		"domain": {"max_grant_share": "all", "grants_count": "true"}, "telemetry": {"fields": "concurrent"}}`
	for name, text := range map[string]string{"absent": `{}`, "odd": odd} {
		t.Run(name, func(t *testing.T) {
			s := ParseSettings(parseJSON(t, text))
			if s.controllers != 1 || s.ownIndex != 0 || s.evenShare != 1 || s.maxAttempts != 1 || len(s.types) != 0 {
				t.Errorf("controllers %d, own index %d, share %v, attempts %d, %d types", s.controllers, s.ownIndex, s.evenShare,
					s.maxAttempts, len(s.types))
			}
			if s.cancelAllowed || s.probesAllowed || s.gossipAllowed || s.grantsHonored || s.subscribesToList ||
				s.retryAfter != 0 {
				t.Errorf("a setting is not false or 0: %+v", s)
			}
			if s.startCapacity != 1 || s.slowStartWorkLimit != 0 || s.drainGrace != 1e18 || !math.IsInf(s.retryRatio, 1) {
				t.Errorf("capacity %v, work %v, grace %v, ratio %v", s.startCapacity, s.slowStartWorkLimit, s.drainGrace,
					s.retryRatio)
			}
			if s.maxGrantShare != 1 || s.overQuotaValueFactor != 1 || s.showsPeerLoad() {
				t.Errorf("grant %v, value %v, peer load shown %v", s.maxGrantShare, s.overQuotaValueFactor, s.showsPeerLoad())
			}
		})
	}
}

func TestIndexSets(t *testing.T) {
	all, none, some := indexSet(nil), indexSet{}, indexSet{1.0, "x"}
	if !all.contains(7) || none.contains(7) || !some.contains(1) || some.contains(7) {
		t.Error("contains gives a wrong result")
	}
	for _, c := range []struct {
		set, other indexSet
		want       bool
	}{
		{all, all, true}, {all, none, false}, {all, some, false},
		{none, all, true}, {none, none, true}, {none, some, true},
		{some, all, true}, {some, none, false}, {some, some, true}, {indexSet{1.0}, some, true}, {some, indexSet{1.0}, false},
	} {
		if got := c.set.subsetOf(c.other); got != c.want {
			t.Errorf("%v is a subset of %v: got %v", c.set, c.other, got)
		}
	}
}

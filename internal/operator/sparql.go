package operator

import (
	"fmt"
	"net"
	"net/url"
	"slices"

	"swiftreel/choice"
	"swiftreel/internal/sparql/decide"
)

// SPARQL is the front of the SPARQL protocol, and the engines that speak it.
type SPARQL struct {
	Listen       string `json:"listen"`
	Path         string `json:"path"`
	Tenant       string `json:"tenant"`
	TenantHeader string `json:"tenant_header"`
	Types        []struct {
		Type      string   `json:"type"`
		Forms     []string `json:"forms"`
		Keyed     bool     `json:"marked"`
		MinWorkMS int64    `json:"least_work_ms"`
		MaxWorkMS int64    `json:"most_work_ms"`
	} `json:"types"`
	TimeoutMS           int64             `json:"timeout_ms"`
	MaxTimeoutMS        int64             `json:"most_timeout_ms"`
	Services            []string          `json:"services"`
	Endpoints           map[string]string `json:"endpoints"`
	Connections         int               `json:"connections"`
	IdempotencyKeys     int               `json:"marks"`
	IdempotencyWindowMS int64             `json:"mark_window_ms"`
}

// complete fills in what is absent, and names what a schema does not see.
func (s *SPARQL) complete() (faults []string) {
	if s.Path == "" {
		s.Path = "/sparql"
	}
	if s.TimeoutMS == 0 {
		s.TimeoutMS = 10_000
	}
	if s.MaxTimeoutMS == 0 {
		s.MaxTimeoutMS = max(60_000, s.TimeoutMS)
	}
	if s.Connections == 0 {
		s.Connections = 32
	}
	if s.IdempotencyKeys == 0 {
		s.IdempotencyKeys = 4096
	}
	if s.IdempotencyWindowMS == 0 {
		s.IdempotencyWindowMS = 600_000
	}
	if _, _, err := net.SplitHostPort(s.Listen); err != nil {
		faults = append(faults, "/sparql/listen: "+err.Error())
	}
	if s.TimeoutMS > s.MaxTimeoutMS {
		faults = append(faults, "/sparql/timeout_ms: over most_timeout_ms")
	}
	for name, text := range s.Endpoints {
		if u, err := url.Parse(text); err != nil || u.Host == "" || u.User != nil || u.Fragment != "" {
			faults = append(faults, fmt.Sprintf("/sparql/endpoints/%s: %q is no endpoint", name, text))
		}
	}
	for i, t := range s.Types {
		if t.MaxWorkMS > 0 && t.MaxWorkMS <= t.MinWorkMS {
			faults = append(faults, fmt.Sprintf("/sparql/types/%d/most_work_ms: not over least_work_ms", i))
		}
	}
	slices.Sort(faults)
	return faults
}

// Rules map texts to reservation types.
func (s *SPARQL) Rules() (list []decide.Rule) {
	for _, t := range s.Types {
		list = append(list, decide.Rule{Forms: t.Forms, Marked: t.Keyed, Least: choice.Nanos(t.MinWorkMS) * 1e6, Most: choice.Nanos(t.MaxWorkMS) * 1e6, Type: t.Type})
	}
	return list
}

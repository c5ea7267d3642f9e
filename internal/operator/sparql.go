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
		Type        string   `json:"type"`
		Forms       []string `json:"forms"`
		Marked      bool     `json:"marked"`
		LeastWorkMS int64    `json:"least_work_ms"`
		MostWorkMS  int64    `json:"most_work_ms"`
	} `json:"types"`
	TimeoutMS     int64             `json:"timeout_ms"`
	MostTimeoutMS int64             `json:"most_timeout_ms"`
	Services      []string          `json:"services"`
	Endpoints     map[string]string `json:"endpoints"`
	Connections   int               `json:"connections"`
	Marks         int               `json:"marks"`
	MarkWindowMS  int64             `json:"mark_window_ms"`
}

// complete fills in what is absent, and names what a schema does not see.
func (s *SPARQL) complete() (faults []string) {
	if s.Path == "" {
		s.Path = "/sparql"
	}
	if s.TimeoutMS == 0 {
		s.TimeoutMS = 10_000
	}
	if s.MostTimeoutMS == 0 {
		s.MostTimeoutMS = max(60_000, s.TimeoutMS)
	}
	if s.Connections == 0 {
		s.Connections = 32
	}
	if s.Marks == 0 {
		s.Marks = 4096
	}
	if s.MarkWindowMS == 0 {
		s.MarkWindowMS = 600_000
	}
	if _, _, err := net.SplitHostPort(s.Listen); err != nil {
		faults = append(faults, "/sparql/listen: "+err.Error())
	}
	if s.TimeoutMS > s.MostTimeoutMS {
		faults = append(faults, "/sparql/timeout_ms: over most_timeout_ms")
	}
	for name, text := range s.Endpoints {
		if u, err := url.Parse(text); err != nil || u.Host == "" || u.User != nil || u.Fragment != "" {
			faults = append(faults, fmt.Sprintf("/sparql/endpoints/%s: %q is no endpoint", name, text))
		}
	}
	for i, t := range s.Types {
		if t.MostWorkMS > 0 && t.MostWorkMS <= t.LeastWorkMS {
			faults = append(faults, fmt.Sprintf("/sparql/types/%d/most_work_ms: not over least_work_ms", i))
		}
	}
	slices.Sort(faults)
	return faults
}

// Rules map texts to reservation types.
func (s *SPARQL) Rules() (list []decide.Rule) {
	for _, t := range s.Types {
		list = append(list, decide.Rule{Forms: t.Forms, Marked: t.Marked, Least: choice.Nanos(t.LeastWorkMS) * 1e6, Most: choice.Nanos(t.MostWorkMS) * 1e6, Type: t.Type})
	}
	return list
}

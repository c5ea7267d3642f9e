package operator

import (
	"cmp"
	"fmt"
	"net"
	"net/url"
	"slices"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/sparql/decide"
)

// SPARQL configures the SPARQL front end and the engines that are SPARQL endpoints.
type SPARQL struct {
	Listen              string            `json:"listen"` // host:port
	Path                string            `json:"path"`   // of request URLs; a tenant may follow it
	Tenant              string            `json:"tenant"` // of requests that name none
	TenantHeader        string            `json:"tenant_header"`
	Types               []SPARQLType      `json:"types"`
	TimeoutMS           int64             `json:"timeout_ms"` // job timeout of requests that set none
	MaxTimeoutMS        int64             `json:"most_timeout_ms"`
	Services            []string          `json:"services"`       // endpoints that SERVICE clauses may name
	Endpoints           map[string]string `json:"endpoints"`      // URL by engine name
	Connections         int               `json:"connections"`    // limit of those to endpoints
	IdempotencyKeys     int               `json:"marks"`          // maximum number of stored keys
	IdempotencyWindowMS int64             `json:"mark_window_ms"` // how long keys are stored after their update has ended
}

// SPARQLType maps requests to a job type. The first entry that matches a request applies.
type SPARQLType struct {
	Type      string   `json:"type"`
	Forms     []string `json:"forms"`  // SELECT, CONSTRUCT, DESCRIBE, ASK, UPDATE; empty: all
	Keyed     bool     `json:"marked"` // only updates with an idempotency key
	MinWorkMS int64    `json:"least_work_ms"`
	MaxWorkMS int64    `json:"most_work_ms"` // 0: no limit
}

// Defaults of the SPARQL part.
const (
	defaultPath                = "/sparql"
	defaultTimeoutMS           = 10_000
	defaultMaxTimeoutMS        = 60_000
	defaultConnections         = 64
	defaultIdempotencyKeys     = 4096
	defaultIdempotencyWindowMS = 600_000
)

func (s *SPARQL) setDefaults() {
	s.Path = cmp.Or(s.Path, defaultPath)
	s.TimeoutMS = cmp.Or(s.TimeoutMS, defaultTimeoutMS)
	s.MaxTimeoutMS = cmp.Or(s.MaxTimeoutMS, max(defaultMaxTimeoutMS, s.TimeoutMS))
	s.Connections = cmp.Or(s.Connections, defaultConnections)
	s.IdempotencyKeys = cmp.Or(s.IdempotencyKeys, defaultIdempotencyKeys)
	s.IdempotencyWindowMS = cmp.Or(s.IdempotencyWindowMS, defaultIdempotencyWindowMS)
}

// problems returns the problems that the schema cannot detect, sorted.
func (s *SPARQL) problems() []string {
	var problems []string
	if _, _, err := net.SplitHostPort(s.Listen); err != nil {
		problems = append(problems, "/sparql/listen: "+err.Error())
	}
	if s.TimeoutMS > s.MaxTimeoutMS {
		problems = append(problems, "/sparql/timeout_ms: over most_timeout_ms")
	}
	for name, text := range s.Endpoints {
		if !isEndpoint(text) {
			problems = append(problems, fmt.Sprintf("/sparql/endpoints/%s: %q is no endpoint", name, text))
		}
	}
	for i, t := range s.Types {
		if t.MaxWorkMS > 0 && t.MaxWorkMS <= t.MinWorkMS {
			problems = append(problems, fmt.Sprintf("/sparql/types/%d/most_work_ms: not over least_work_ms", i))
		}
	}
	slices.Sort(problems)
	return problems
}

func isEndpoint(text string) bool {
	u, err := url.Parse(text)
	return err == nil && u.Host != "" && u.User == nil && u.Fragment == ""
}

// Rules returns the rules that map requests to job types, in their order.
func (s *SPARQL) Rules() []decide.Rule {
	var rules []decide.Rule
	for _, t := range s.Types {
		rules = append(rules, decide.Rule{
			Forms:     t.Forms,
			KeyedOnly: t.Keyed,
			MinWork:   nanos(t.MinWorkMS),
			MaxWork:   nanos(t.MaxWorkMS),
			Type:      t.Type,
		})
	}
	return rules
}

func nanos(milliseconds int64) choice.Nanos {
	return choice.Nanos(milliseconds) * choice.Nanos(time.Millisecond)
}

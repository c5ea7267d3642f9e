package decide

import (
	"slices"

	"swiftreel/choice"
	"swiftreel/internal/sparql/syntax"
)

// Rule maps texts to a reservation type: those of its forms whose guessed work is within its bounds.
type Rule struct {
	Forms       []string // SELECT, CONSTRUCT, DESCRIBE, ASK, UPDATE; none: all
	Marked      bool     // only updates that have a mark
	Least, Most choice.Nanos
	Type        string
}

// Classify gives the reservation type of the first rule that fits.
func Classify(rules []Rule, s *syntax.Statement, work choice.Nanos, marked bool) (string, bool) {
	for _, r := range rules {
		if (marked || !r.Marked) && (len(r.Forms) == 0 || slices.Contains(r.Forms, s.Form.String())) && work >= r.Least && (r.Most == 0 || work < r.Most) {
			return r.Type, true
		}
	}
	return "", false
}

// OrderKey is what an update is kept in order by: the graph that it writes. One that writes several, or any, has a key
// that all such share. A query has none.
func OrderKey(s *syntax.Statement) string {
	switch {
	case s.Form != syntax.Update:
		return ""
	case s.WritesAny || len(s.Writes) > 1 || len(s.Writes) == 1 && s.WritesDefault:
		return "many graphs"
	case len(s.Writes) == 1:
		return "graph " + s.Writes[0]
	}
	return "default graph"
}

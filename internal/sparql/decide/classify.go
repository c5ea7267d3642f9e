package decide

import (
	"slices"

	"swiftreel/choice"
	"swiftreel/internal/sparql/syntax"
)

// Rule maps statements to a job type: those of its forms whose estimated work is within its bounds.
type Rule struct {
	Forms     []string     // of SELECT, CONSTRUCT, DESCRIBE, ASK, UPDATE; empty: all
	KeyedOnly bool         // matches only updates with an idempotency key
	MinWork   choice.Nanos // inclusive
	MaxWork   choice.Nanos // exclusive; 0: no bound
	Type      string
}

// Classify returns the job type of the first rule that matches, or false if none does.
func Classify(rules []Rule, statement *syntax.Statement, work choice.Nanos, keyed bool) (string, bool) {
	for _, rule := range rules {
		if rule.matches(statement, work, keyed) {
			return rule.Type, true
		}
	}
	return "", false
}

func (r Rule) matches(statement *syntax.Statement, work choice.Nanos, keyed bool) bool {
	if r.KeyedOnly && !keyed {
		return false
	}
	if len(r.Forms) > 0 && !slices.Contains(r.Forms, statement.Form.String()) {
		return false
	}
	return work >= r.MinWork && (r.MaxWork == 0 || work < r.MaxWork)
}

// OrderKey returns the ordering key of an update: the graph that it writes. All updates that write several graphs, or
// any graph, share one key. A query has none.
func OrderKey(statement *syntax.Statement) string {
	switch {
	case statement.Form != syntax.Update:
		return ""
	case statement.WritesAny || len(statement.Writes) > 1:
		return manyGraphsKey
	case len(statement.Writes) == 1 && statement.WritesDefault:
		return manyGraphsKey
	case len(statement.Writes) == 1:
		return "graph " + statement.Writes[0]
	}
	return "default graph"
}

const manyGraphsKey = "many graphs"

package fake

import (
	"maps"
	"strings"
)

// triple is a subject, a predicate and an object, or a triple pattern in which variables ("?name") replace some terms.
type triple [3]string

// insideBraces returns the text between the first opening and the last closing brace.
func insideBraces(text string) (inside string, ok bool) {
	from := strings.IndexByte(text, '{')
	to := strings.LastIndexByte(text, '}')
	if from < 0 || to < from {
		return "", false
	}
	return text[from+1 : to], true
}

// parseTriples parses triples separated by dots. An incomplete triple at the end is ignored.
func parseTriples(text string) []triple {
	var list []triple
	terms := strings.Fields(text)
	for i := 0; i+2 < len(terms); i++ {
		if terms[i] != "." {
			list = append(list, triple(terms[i:i+3]))
			i += 2
		}
	}
	return list
}

// solve joins the solutions of all patterns over a store.
func solve(store, patterns []triple) []map[string]string {
	rows := []map[string]string{{}}
	for _, pattern := range patterns {
		var joined []map[string]string
		for _, row := range rows {
			for _, t := range store {
				if extended, ok := match(pattern, t, row); ok {
					joined = append(joined, extended)
				}
			}
		}
		rows = joined
	}
	return rows
}

// match extends a row with the bindings of a pattern's variables to a triple. ok is false if the triple does not match.
func match(pattern, t triple, row map[string]string) (extended map[string]string, ok bool) {
	extended = maps.Clone(row)
	for i, term := range pattern {
		name, variable := strings.CutPrefix(term, "?")
		if !variable {
			if term != t[i] {
				return nil, false
			}
			continue
		}
		if bound, isBound := extended[name]; isBound && bound != t[i] {
			return nil, false
		}
		extended[name] = t[i]
	}
	return extended, true
}

// Package syntax reads SPARQL 1.1 queries and updates (W3C Recommendation of 2013-03-21, section 19) far enough to know
// what they are and what they touch. It runs nothing, and retains nothing of a text but names of graphs and counts. Its
// functions are safe for concurrent use.
package syntax

import (
	"fmt"
	"hash/fnv"
	"slices"
)

// Error says where and why a text is no SPARQL, or none that is accepted here.
type Error struct {
	Line, Column int // from 1; columns count characters
	Reason       string
}

// Error returns the place and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("line %d column %d: %s", e.Line, e.Column, e.Reason)
}

// Form is the form of a query, or Update.
type Form uint8

// The forms.
const (
	Select Form = iota
	Construct
	Describe
	Ask
	Update
)

// String returns the keyword of the form.
func (f Form) String() string {
	return [...]string{"SELECT", "CONSTRUCT", "DESCRIBE", "ASK", "UPDATE"}[f]
}

// Bounds of a text; beyond them it is refused before it is read further.
const (
	MaxBytes  = 1 << 20
	MaxDepth  = 128  // of groups, paths, expressions and lists in each other
	MaxGraphs = 1000 // named in one text
)

// Statement is what is known of a text. IRIs are resolved against the prefixes and the base of the text.
type Statement struct {
	Form Form

	// Graphs by their IRI, in order, each once. Any: also others, named by a variable, by ALL or by NAMED. Default: the
	// default graph.
	Reads, Writes               []string
	ReadsAny, WritesAny         bool
	ReadsDefault, WritesDefault bool
	Services                    []string // endpoints of SERVICE; "" for one named by a variable
	Dataset                     bool     // FROM, USING or WITH names graphs in the text
	Loads                       bool     // LOAD fetches from elsewhere

	Fingerprint uint64 // equal for texts that differ in literals, numbers, names of variables and white space only
	Cost        Counts
}

// Counts are what an estimate of the cost is based on.
type Counts struct {
	Patterns   int    // triple patterns
	Free       [4]int // of them, by how many of their three places are variables
	Paths      int    // property paths of any length: * and +
	Joins      int    // OPTIONAL, MINUS, EXISTS
	Unions     int
	Subqueries int
	Filters    int
	Aggregates int
	Sorts      int   // ORDER BY, GROUP BY, DISTINCT
	Rows       int   // inline data: VALUES, INSERT DATA, DELETE DATA
	Limit      int64 // of the outermost; -1: none
}

// Parse reads a query, or an update. The error is an *Error.
func Parse(text string, update bool) (statement *Statement, err error) {
	if len(text) > MaxBytes {
		return nil, &Error{1, 1, "longer than a text may be"}
	}
	p := &parser{
		lexer:       lexer{text: text},
		statement:   &Statement{Cost: Counts{Limit: -1}},
		prefixes:    map[string]string{},
		fingerprint: fnv.New64a(),
	}
	defer func() {
		if thrown := recover(); thrown != nil {
			failure, ok := thrown.(parseFailure)
			if !ok {
				panic(thrown)
			}
			line, column := lineAndColumn(text, failure.at)
			statement = nil
			err = &Error{line, column, failure.reason}
		}
	}()
	p.advance()
	if update {
		p.update()
	} else {
		p.query()
	}
	if p.token.kind != end {
		p.unexpected("the end")
	}
	p.statement.Fingerprint = p.fingerprint.Sum64()
	for _, list := range []*[]string{&p.statement.Reads, &p.statement.Writes, &p.statement.Services} {
		slices.Sort(*list)
		*list = slices.Compact(*list)
	}
	return p.statement, nil
}

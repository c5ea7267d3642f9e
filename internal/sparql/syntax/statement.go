// Package syntax parses SPARQL 1.1 queries and updates (W3C Recommendation of 2013-03-21, section 19) to determine
// their form, the graphs that they access and the counts for a cost estimate. It builds no syntax tree and evaluates
// nothing. Its functions are safe for concurrent use.
package syntax

import (
	"fmt"
	"hash/fnv"
	"slices"
)

// Error is a syntax error, or a limit that a text exceeds, with its position.
type Error struct {
	Line, Column int // from 1; columns count characters
	Reason       string
}

// Error returns the position and the reason.
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

// Limits of a text. Parsing stops at the first one exceeded.
const (
	MaxBytes  = 1 << 20
	MaxDepth  = 128  // of nested groups, paths, expressions and lists
	MaxGraphs = 1000 // and services that a text may name, and prefixes that it may declare
)

// Statement is the result of parsing a text. IRIs are resolved against the prefixes and the base of the text.
type Statement struct {
	Form Form

	// IRIs of graphs, sorted, without duplicates. ReadsAny and WritesAny: also graphs that the text does not name,
	// through a variable, ALL or NAMED. ReadsDefault and WritesDefault: the default graph.
	Reads, Writes               []string
	ReadsAny, WritesAny         bool
	ReadsDefault, WritesDefault bool
	Services                    []string // IRIs of SERVICE, sorted, without duplicates; "" for a variable
	HasDatasetClause            bool     // the text has FROM, USING or WITH
	UsesLoad                    bool     // the text has LOAD, which fetches a remote document

	Fingerprint uint64 // equal for texts that differ only in literals, numbers, names of variables and white space
	Cost        Counts
}

// Counts are the features of a text on which cost estimates are based.
type Counts struct {
	Patterns            int    // triple patterns
	PatternsByVariables [4]int // triple patterns by their number of variables
	Paths               int    // property paths of arbitrary length: * and +
	Joins               int    // OPTIONAL, MINUS, EXISTS
	Unions              int
	Subqueries          int
	Filters             int
	Aggregates          int
	Sorts               int   // ORDER BY, GROUP BY, DISTINCT
	Rows                int   // inline data: VALUES, INSERT DATA, DELETE DATA
	Limit               int64 // of the outermost query; -1: none
}

// Parse parses a query, or an update if update is set. The error is an *Error.
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
	if p.token.kind != endOfText {
		p.unexpected("the end")
	}
	p.statement.Fingerprint = p.fingerprint.Sum64()
	for _, list := range []*[]string{&p.statement.Reads, &p.statement.Writes, &p.statement.Services} {
		slices.Sort(*list)
		*list = slices.Compact(*list)
	}
	return p.statement, nil
}

package syntax

import (
	"hash/fnv"
	"slices"
)

// Form is what a text asks for.
type Form uint8

// The forms.
const (
	Select Form = iota
	Construct
	Describe
	Ask
	Update
)

func (f Form) String() string {
	return [...]string{"SELECT", "CONSTRUCT", "DESCRIBE", "ASK", "UPDATE"}[f]
}

// Bounds of a text, beyond which it is refused before it is read further.
const (
	MostBytes  = 1 << 20
	MostDepth  = 128  // of groups, paths, expressions and lists in each other
	MostGraphs = 1000 // named in one text
)

// Statement is what is known of a text.
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

	Shape uint64 // the same for texts that differ in literals, numbers, names of variables and white space only
	Cost  Counts
}

// Counts are what a guess of the cost goes by.
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
func Parse(text string, update bool) (s *Statement, err error) {
	if len(text) > MostBytes {
		return nil, &Error{1, 1, "longer than a text may be"}
	}
	p := &parser{lexer: lexer{text: text}, s: &Statement{Cost: Counts{Limit: -1}}, prefixes: map[string]string{}, shape: fnv.New64a()}
	defer func() {
		if thrown := recover(); thrown != nil {
			f, is := thrown.(fault)
			if !is {
				panic(thrown)
			}
			line, column := place(text, f.at)
			s, err = nil, &Error{line, column, f.reason}
		}
	}()
	p.advance()
	if update {
		p.update()
	} else {
		p.query()
	}
	if p.tok.kind != end {
		p.unexpected("the end")
	}
	p.s.Shape = p.shape.Sum64()
	for _, list := range []*[]string{&p.s.Reads, &p.s.Writes, &p.s.Services} {
		slices.Sort(*list)
		*list = slices.Compact(*list)
	}
	return p.s, nil
}

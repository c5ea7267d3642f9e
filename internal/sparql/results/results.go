// Package results reads and writes SPARQL query results as streams: JSON, XML, CSV and TSV (W3C Recommendations of
// 2013-03-21). A result is whole only when its reader has come to the end of its form without a fault; whatever else
// came before, one that breaks off is none.
package results

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Format is one of the four.
type Format uint8

// The formats.
const (
	JSON Format = iota
	XML
	CSV
	TSV
)

// MediaType is the format's own (RFC 7231 terms); writers state the charset where the Recommendation asks for it.
func (f Format) MediaType() string {
	return [...]string{"application/sparql-results+json", "application/sparql-results+xml", "text/csv", "text/tab-separated-values"}[f]
}

// Kind is what a term is.
type Kind uint8

// The kinds. An unbound variable has no term.
const (
	Unbound Kind = iota
	IRI
	Literal
	Blank
)

// Term is a value of a variable. Lang and Datatype are of literals, one of them at most.
type Term struct {
	Kind                  Kind
	Value, Lang, Datatype string
}

// Bounds of a result. A row is read into memory whole; a result never is.
const (
	MostVars = 1000
	MostRow  = 4 << 20 // bytes as they come
	mostHead = 1 << 20
)

// Faults of a result.
var (
	ErrForm  = errors.New("no result in the form that it states")
	ErrCut   = errors.New("the result breaks off")
	ErrBound = errors.New("a row or head past its bound")
)

// Reader reads a result: first its head, then row after row. Next gives io.EOF only where the result is whole.
type Reader interface {
	// Head gives the variables, or the answer of an ASK.
	Head() (Head, error)
	// Next gives a row, a term for each variable; it is used again by the next call.
	Next() ([]Term, error)
}

// Head is what stands before the rows. An ASK has no variables and no rows.
type Head struct {
	Vars    []string
	Ask     bool
	Boolean bool
}

// Writer writes a result. Close ends its form: one without it is unmistakably cut where the form has an end (JSON, XML).
type Writer interface {
	Head(Head) error
	Row([]Term) error
	Close() error
}

// NewReader reads a format.
func NewReader(f Format, from io.Reader) Reader {
	b := &bounded{from: from, left: mostHead}
	switch f {
	case XML:
		return newXMLReader(b)
	case CSV:
		return newCSVReader(b)
	case TSV:
		return newTSVReader(b)
	}
	return newJSONReader(b)
}

// NewWriter writes a format.
func NewWriter(f Format, to io.Writer) Writer {
	switch f {
	case XML:
		return &xmlWriter{to: to}
	case CSV, TSV:
		return &lineWriter{to: to, tabs: f == TSV}
	}
	return &jsonWriter{to: to}
}

// Copy turns a result of one format into another on the fly, and tells how many rows it had. An error of the writer is
// an ErrWrite, any other is the result's.
func Copy(to Writer, from Reader) (rows int, err error) {
	head, err := from.Head()
	if err != nil {
		return 0, err
	}
	if err := to.Head(head); err != nil {
		return 0, &ErrWrite{err}
	}
	for ; ; rows++ {
		row, err := from.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return rows, err
		}
		if err := to.Row(row); err != nil {
			return rows, &ErrWrite{err}
		}
	}
	if err := to.Close(); err != nil {
		return rows, &ErrWrite{err}
	}
	return rows, nil
}

// ErrWrite is a fault of who is written to.
type ErrWrite struct{ Err error }

func (e *ErrWrite) Error() string { return "writing: " + e.Err.Error() }
func (e *ErrWrite) Unwrap() error { return e.Err }

// bounded lets through so much until it is renewed, at each row. It remembers how it ended.
type bounded struct {
	from io.Reader
	left int
	err  error // of the source, but for io.EOF
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, ErrBound
	}
	n, err := b.from.Read(p[:min(len(p), b.left)])
	b.left -= n
	if err != nil && err != io.EOF {
		b.err = err
	}
	return n, err
}

// renew is for one more row. What a reader buffers beyond it counts for the next.
func (b *bounded) renew() { b.left = MostRow }

// cause says what a parser's error comes from: the bound, the source, a cut, or the form.
func (b *bounded) cause(err error) error {
	switch {
	case errors.Is(err, ErrBound):
		return ErrBound
	case b.err != nil:
		return fmt.Errorf("%w: %w", ErrCut, b.err)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return ErrCut
	}
	return fmt.Errorf("%w: %w", ErrForm, err)
}

// isName tells a variable's name, without its mark (VARNAME of the grammar).
func isName(v string) bool {
	return v != "" && utf8.ValidString(v) && strings.IndexFunc(v, func(r rune) bool {
		return r != '_' && r != '\u00b7' && !unicode.In(r, unicode.L, unicode.N, unicode.Mn, unicode.Mc)
	}) < 0
}

// indexOf gives places of variables; a name twice, or too many, is a fault.
func indexOf(vars []string) (map[string]int, error) {
	if len(vars) > MostVars {
		return nil, ErrBound
	}
	at := map[string]int{}
	for i, v := range vars {
		if _, twice := at[v]; twice || !isName(v) {
			return nil, fmt.Errorf("%w: variable %q", ErrForm, v)
		}
		at[v] = i
	}
	return at, nil
}

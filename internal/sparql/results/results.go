// Package results reads and writes SPARQL query results as streams: JSON, XML, CSV and TSV (W3C Recommendations of
// 2013-03-21). A result is complete only when its reader has come to the end of its form without an error; one that
// breaks off is no result, whatever came before. Readers and writers are for one goroutine at a time.
package results

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Format is a serialization of results.
type Format uint8

// The formats.
const (
	JSON Format = iota
	XML
	CSV
	TSV
)

// MediaType returns the media type of the format, without a charset.
func (f Format) MediaType() string {
	return [...]string{
		JSON: "application/sparql-results+json",
		XML:  "application/sparql-results+xml",
		CSV:  "text/csv",
		TSV:  "text/tab-separated-values",
	}[f]
}

// Kind is the kind of a term.
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

// Bounds of a result. A row is read into memory completely; a result never is.
const (
	MaxVars = 1000
	MaxRow  = 4 << 20 // bytes as received
	maxHead = 1 << 20 // bytes as received
)

// Errors of a result, wrapped with what is known of the cause.
var (
	ErrForm  = errors.New("no result in the form that it states")
	ErrCut   = errors.New("the result breaks off")
	ErrBound = errors.New("a row or head past its bound")
)

// Reader reads a result: first its head, then row after row. Next returns io.EOF only if the result is complete.
type Reader interface {
	// Head returns the variables, or the answer of an ASK.
	Head() (Head, error)
	// Next returns a row, a term for each variable. The next call overwrites it.
	Next() ([]Term, error)
}

// Head is what stands before the rows. An ASK has no variables and no rows.
type Head struct {
	Vars    []string
	Ask     bool
	Boolean bool
}

// Writer writes a result. Close ends its form: without it a result is unmistakably cut where the form has an
// end (JSON, XML).
type Writer interface {
	Head(Head) error
	Row([]Term) error
	Close() error
}

// NewReader returns a reader of a format.
func NewReader(f Format, source io.Reader) Reader {
	b := &bounded{source: source, left: maxHead}
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

// NewWriter returns a writer of a format.
func NewWriter(f Format, destination io.Writer) Writer {
	switch f {
	case XML:
		return &xmlWriter{destination: destination}
	case CSV, TSV:
		return &lineWriter{destination: destination, tabs: f == TSV}
	}
	return &jsonWriter{destination: destination}
}

// Copy converts a result of one format into another while it is read, and returns how many rows it had. An error of the
// writer is a *WriteError, any other is the result's.
func Copy(to Writer, from Reader) (rows int, err error) {
	head, err := from.Head()
	if err != nil {
		return 0, err
	}
	if err := to.Head(head); err != nil {
		return 0, &WriteError{err}
	}
	for ; ; rows++ {
		row, err := from.Next()
		if err == io.EOF { //nolint:errorlint // an error that wraps io.EOF is a result that breaks off
			break
		}
		if err != nil {
			return rows, err
		}
		if err := to.Row(row); err != nil {
			return rows, &WriteError{err}
		}
	}
	if err := to.Close(); err != nil {
		return rows, &WriteError{err}
	}
	return rows, nil
}

// WriteError is an error of the destination of Copy.
type WriteError struct{ Err error }

// Error returns the text of the cause.
func (e *WriteError) Error() string { return "writing: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Err }

// bounded limits the bytes read until it is renewed, at each row. It remembers the error of its source.
type bounded struct {
	source io.Reader
	left   int   // bytes
	err    error // of the source, but for io.EOF
}

// Read reads up to what is left of the bound, and returns ErrBound beyond it.
func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, ErrBound
	}
	n, err := b.source.Read(p[:min(len(p), b.left)])
	b.left -= n
	if err != nil && err != io.EOF {
		b.err = err
	}
	return n, err
}

// renew allows the bytes of one more row. What a reader buffers beyond it counts for the next.
func (b *bounded) renew() { b.left = MaxRow }

// cause returns the error that a parser's error comes from: the bound, the source, a cut, or the form.
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

// isVariableName reports whether a text is a variable's name, without its mark (VARNAME of the grammar).
func isVariableName(name string) bool {
	return name != "" && utf8.ValidString(name) && strings.IndexFunc(name, func(r rune) bool {
		return r != '_' && r != '\u00b7' && !unicode.In(r, unicode.L, unicode.N, unicode.Mn, unicode.Mc)
	}) < 0
}

// indexVariables returns the column of each variable. A duplicate name, or too many, is an error.
func indexVariables(vars []string) (map[string]int, error) {
	if len(vars) > MaxVars {
		return nil, ErrBound
	}
	columns := map[string]int{}
	for column, name := range vars {
		if _, duplicate := columns[name]; duplicate || !isVariableName(name) {
			return nil, fmt.Errorf("%w: variable %q", ErrForm, name)
		}
		columns[name] = column
	}
	return columns, nil
}

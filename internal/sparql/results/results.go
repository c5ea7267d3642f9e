// Package results reads and writes SPARQL query results as streams: JSON, XML, CSV and TSV (W3C Recommendations of
// 2013-03-21). A result is valid only if its reader has reached the end of the format without an error; a truncated one
// must be discarded, whatever rows it began with. Readers and writers are not safe for concurrent use.
package results

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Format is a serialization format of results.
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

// The kinds of terms. Unbound stands for a variable without a value.
const (
	Unbound Kind = iota
	IRI
	Literal
	Blank
)

// Term is the value of a variable. A literal may have Lang or Datatype, not both.
type Term struct {
	Kind                  Kind
	Value, Lang, Datatype string
}

// Limits of a result. Readers hold one row in memory, never the whole result.
const (
	MaxVars      = 1000
	MaxRow       = 4 << 20 // bytes as received
	maxHeadBytes = 1 << 20 // bytes as received
)

// Errors of a result. They may be wrapped together with the cause.
var (
	ErrMalformed = errors.New("malformed result")
	ErrTruncated = errors.New("truncated result")
	ErrTooLarge  = errors.New("row or head exceeds its size limit")
)

// Reader reads a result: first the head, then the rows. Next returns io.EOF only if the result is complete.
type Reader interface {
	// Head returns the variables, or the result of an ASK.
	Head() (Head, error)
	// Next returns the next row, with a term for each variable. The row is valid until the next call.
	Next() ([]Term, error)
}

// Head is the head of a result, or the complete result of an ASK, which has no variables and no rows.
type Head struct {
	Vars    []string
	Ask     bool
	Boolean bool
}

// Writer writes a result. Close writes the end of the format, if it has one (JSON, XML): without it, readers see a
// truncated result.
type Writer interface {
	Head(Head) error
	Row([]Term) error
	Close() error
}

// NewReader returns a reader of a format.
func NewReader(f Format, source io.Reader) Reader {
	b := &limitedReader{source: source, remaining: maxHeadBytes}
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
		return &separatedWriter{destination: destination, isTSV: f == TSV}
	}
	return &jsonWriter{destination: destination}
}

// Copy writes a result to a writer while reading it, for instance to convert its format, and returns its number of
// rows. An error of the writer is returned as a *WriteError; any other error is the reader's.
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
		if err == io.EOF { //nolint:errorlint // an error that wraps io.EOF means a truncated result
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

// WriteError is an error of the writer of Copy.
type WriteError struct{ Err error }

// Error returns the text of the cause.
func (e *WriteError) Error() string { return "writing: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Err }

// limitedReader limits the bytes read for a head or row, and keeps the error of its source. The limit is reset after
// each head and row.
type limitedReader struct {
	source    io.Reader
	remaining int   // bytes
	err       error // of the source, except io.EOF
}

// Read reads at most the remaining bytes, and returns ErrTooLarge if none remain.
func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, ErrTooLarge
	}
	n, err := b.source.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	if err != nil && err != io.EOF {
		b.err = err
	}
	return n, err
}

// resetLimit allows the bytes of another row. Bytes that a reader has buffered already do not count for it.
func (b *limitedReader) resetLimit() { b.remaining = MaxRow }

// cause converts an error of a format's parser to the error of its cause: a size limit, the source, a truncated result
// or a malformed one.
func (b *limitedReader) cause(err error) error {
	switch {
	case errors.Is(err, ErrTooLarge):
		return ErrTooLarge
	case b.err != nil:
		return fmt.Errorf("%w: %w", ErrTruncated, b.err)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return ErrTruncated
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}

// isVariableName reports whether a text is a variable name without its ? or $ (VARNAME of the grammar).
func isVariableName(name string) bool {
	return name != "" && utf8.ValidString(name) && strings.IndexFunc(name, func(r rune) bool {
		return r != '_' && r != '\u00b7' && !unicode.In(r, unicode.L, unicode.N, unicode.Mn, unicode.Mc)
	}) < 0
}

// indexVariables returns the column of each variable. Invalid or duplicate names and too many variables are errors.
func indexVariables(vars []string) (map[string]int, error) {
	if len(vars) > MaxVars {
		return nil, ErrTooLarge
	}
	columns := map[string]int{}
	for column, name := range vars {
		if _, duplicate := columns[name]; duplicate || !isVariableName(name) {
			return nil, fmt.Errorf("%w: invalid or duplicate variable %q", ErrMalformed, name)
		}
		columns[name] = column
	}
	return columns, nil
}

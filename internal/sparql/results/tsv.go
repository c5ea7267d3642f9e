package results

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

// tsvReader reads TSV: variables with their ? or $, terms as in Turtle. A line without its newline is truncated.
type tsvReader struct {
	source *limitedReader
	lines  *bufio.Reader
	row    []Term
}

func newTSVReader(source *limitedReader) *tsvReader {
	return &tsvReader{source: source, lines: bufio.NewReader(source)}
}

// Head implements Reader.
func (r *tsvReader) Head() (Head, error) {
	text, err := r.line()
	if err == io.EOF { //nolint:errorlint // line returns it unwrapped at the end
		err = ErrTruncated
	}
	if err != nil {
		return Head{}, err
	}
	var head Head
	if text != "" {
		for field := range strings.SplitSeq(text, "\t") {
			if len(field) < 2 || field[0] != '?' && field[0] != '$' {
				return Head{}, fmt.Errorf("%w: invalid variable %.20q", ErrMalformed, field)
			}
			head.Vars = append(head.Vars, field[1:])
		}
	}
	if _, err := indexVariables(head.Vars); err != nil {
		return Head{}, err
	}
	r.row = make([]Term, len(head.Vars))
	return head, nil
}

// Next implements Reader.
func (r *tsvReader) Next() ([]Term, error) {
	text, err := r.line()
	if err != nil {
		return nil, err
	}
	values := 0
	if len(r.row) > 0 || text != "" {
		for field := range strings.SplitSeq(text, "\t") {
			if values == len(r.row) {
				return nil, fmt.Errorf("%w: row with over %d values", ErrMalformed, values)
			}
			if r.row[values], err = parseTurtleTerm(field); err != nil {
				return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
			}
			values++
		}
	}
	if values != len(r.row) {
		return nil, fmt.Errorf("%w: row with only %d values", ErrMalformed, values)
	}
	return r.row, nil
}

// line reads a line and returns it without its line ending. It returns io.EOF only if the source ended after a complete
// line.
func (r *tsvReader) line() (string, error) {
	text, err := r.lines.ReadString('\n')
	if err != nil {
		if err == io.EOF && text == "" && r.source.err == nil {
			return "", io.EOF
		}
		return "", r.source.cause(err)
	}
	r.source.resetLimit()
	if !utf8.ValidString(text) {
		return "", errNotUTF8
	}
	return strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r"), nil
}

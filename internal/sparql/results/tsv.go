package results

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

// tsvReader reads TSV: variables with their mark, terms as in Turtle. A line that does not end is cut.
type tsvReader struct {
	source *bounded
	lines  *bufio.Reader
	row    []Term
}

func newTSVReader(source *bounded) *tsvReader {
	return &tsvReader{source: source, lines: bufio.NewReader(source)}
}

// Head implements Reader.
func (r *tsvReader) Head() (Head, error) {
	text, err := r.line()
	if err == io.EOF { //nolint:errorlint // line returns it as it is at the end
		err = ErrCut
	}
	if err != nil {
		return Head{}, err
	}
	var head Head
	if text != "" {
		for field := range strings.SplitSeq(text, "\t") {
			if len(field) < 2 || field[0] != '?' && field[0] != '$' {
				return Head{}, fmt.Errorf("%w: variable %.20q", ErrForm, field)
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
				return nil, fmt.Errorf("%w: a row of over %d values", ErrForm, values)
			}
			if r.row[values], err = parseTurtle(field); err != nil {
				return nil, fmt.Errorf("%w: %w", ErrForm, err)
			}
			values++
		}
	}
	if values != len(r.row) {
		return nil, fmt.Errorf("%w: a row of %d values", ErrForm, values)
	}
	return r.row, nil
}

// line reads a line without its end. It returns io.EOF only where the source ended behind a complete line.
func (r *tsvReader) line() (string, error) {
	text, err := r.lines.ReadString('\n')
	if err != nil {
		if err == io.EOF && text == "" && r.source.err == nil {
			return "", io.EOF
		}
		return "", r.source.cause(err)
	}
	r.source.renew()
	if !utf8.ValidString(text) {
		return "", errNotUTF8
	}
	return strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r"), nil
}

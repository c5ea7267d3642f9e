package results

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

// ErrNoBoolean is returned by writers of formats that cannot represent the boolean result of an ASK.
var ErrNoBoolean = errors.New("CSV and TSV cannot represent the boolean result of an ASK")

// csvReader reads CSV, which does not distinguish kinds of terms: every value is a plain literal, an empty one is
// unbound. CSV has no end marker: only the HTTP framing, a Content-Length or the last chunk, shows whether a result is
// complete, which the HTTP client checks.
type csvReader struct {
	source  *limitedReader
	records *csv.Reader
	row     []Term
}

func newCSVReader(source *limitedReader) *csvReader {
	r := &csvReader{source: source, records: csv.NewReader(source)}
	r.records.ReuseRecord = true
	return r
}

// Head implements Reader.
func (r *csvReader) Head() (Head, error) {
	vars, err := r.records.Read()
	if err != nil {
		return Head{}, r.source.cause(err)
	}
	head := Head{Vars: append([]string{}, vars...)}
	if _, err := indexVariables(head.Vars); err != nil {
		return Head{}, err
	}
	r.row = make([]Term, len(vars))
	r.source.resetLimit()
	return head, nil
}

// Next implements Reader.
func (r *csvReader) Next() ([]Term, error) {
	values, err := r.records.Read()
	if err == io.EOF && r.source.err == nil {
		return nil, io.EOF
	}
	if err != nil {
		return nil, r.source.cause(err)
	}
	r.source.resetLimit()
	for column, value := range values {
		if !utf8.ValidString(value) {
			return nil, errNotUTF8
		}
		r.row[column] = Term{}
		if value != "" {
			r.row[column] = Term{Kind: Literal, Value: value}
		}
	}
	return r.row, nil
}

var errNotUTF8 = fmt.Errorf("%w: invalid UTF-8", ErrMalformed)

// separatedWriter writes CSV, or TSV if isTSV is set.
type separatedWriter struct {
	destination io.Writer
	isTSV       bool
	buffer      []byte // holds one line
}

// Head implements Writer.
func (w *separatedWriter) Head(head Head) error {
	if head.Ask {
		return ErrNoBoolean
	}
	w.buffer = w.buffer[:0]
	for column, name := range head.Vars {
		w.appendSeparator(column)
		if w.isTSV {
			w.buffer = append(w.buffer, '?')
		}
		w.buffer = append(w.buffer, name...)
	}
	return w.writeLine()
}

// Row implements Writer.
func (w *separatedWriter) Row(row []Term) error {
	w.buffer = w.buffer[:0]
	for column, term := range row {
		w.appendSeparator(column)
		switch {
		case term.Kind == Unbound:
		case w.isTSV:
			w.buffer = appendTurtleTerm(w.buffer, term)
		case term.Kind == Blank:
			w.appendCSV("_:" + term.Value)
		default:
			w.appendCSV(term.Value)
		}
	}
	return w.writeLine()
}

// Close implements Writer. Neither format has an end marker.
func (w *separatedWriter) Close() error { return nil }

func (w *separatedWriter) appendSeparator(column int) {
	switch {
	case column == 0:
	case w.isTSV:
		w.buffer = append(w.buffer, '\t')
	default:
		w.buffer = append(w.buffer, ',')
	}
}

func (w *separatedWriter) writeLine() error {
	if !w.isTSV {
		w.buffer = append(w.buffer, '\r')
	}
	w.buffer = append(w.buffer, '\n')
	_, err := w.destination.Write(w.buffer)
	return err
}

func (w *separatedWriter) appendCSV(value string) {
	if !strings.ContainsAny(value, "\",\r\n") {
		w.buffer = append(w.buffer, value...)
		return
	}
	w.buffer = append(w.buffer, '"')
	w.buffer = append(w.buffer, strings.ReplaceAll(value, `"`, `""`)...)
	w.buffer = append(w.buffer, '"')
}

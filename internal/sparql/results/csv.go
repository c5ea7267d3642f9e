package results

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

// ErrNoBooleanForm is returned by formats that have no form for a boolean.
var ErrNoBooleanForm = errors.New("CSV and TSV have no form for ASK")

// csvReader reads CSV, which shows no kinds: every value is a plain literal, an empty one unbound. Its form has no end
// of its own: only the length of its body, or its last chunk, shows that it is complete, which the HTTP side checks.
type csvReader struct {
	source  *bounded
	records *csv.Reader
	row     []Term
}

func newCSVReader(source *bounded) *csvReader {
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
	r.source.renew()
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
	r.source.renew()
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

var errNotUTF8 = fmt.Errorf("%w: no UTF-8", ErrForm)

// lineWriter writes CSV or TSV.
type lineWriter struct {
	destination io.Writer
	tabs        bool   // TSV
	buffer      []byte // of a line
}

// Head implements Writer.
func (w *lineWriter) Head(head Head) error {
	if head.Ask {
		return ErrNoBooleanForm
	}
	w.buffer = w.buffer[:0]
	for column, name := range head.Vars {
		w.separate(column)
		if w.tabs {
			w.buffer = append(w.buffer, '?')
		}
		w.buffer = append(w.buffer, name...)
	}
	return w.writeLine()
}

// Row implements Writer.
func (w *lineWriter) Row(row []Term) error {
	w.buffer = w.buffer[:0]
	for column, term := range row {
		w.separate(column)
		switch {
		case term.Kind == Unbound:
		case w.tabs:
			w.buffer = appendTurtle(w.buffer, term)
		case term.Kind == Blank:
			w.appendCSV("_:" + term.Value)
		default:
			w.appendCSV(term.Value)
		}
	}
	return w.writeLine()
}

// Close implements Writer. Neither form has an end.
func (w *lineWriter) Close() error { return nil }

func (w *lineWriter) separate(column int) {
	switch {
	case column == 0:
	case w.tabs:
		w.buffer = append(w.buffer, '\t')
	default:
		w.buffer = append(w.buffer, ',')
	}
}

func (w *lineWriter) writeLine() error {
	if !w.tabs {
		w.buffer = append(w.buffer, '\r')
	}
	w.buffer = append(w.buffer, '\n')
	_, err := w.destination.Write(w.buffer)
	return err
}

func (w *lineWriter) appendCSV(value string) {
	if !strings.ContainsAny(value, "\",\r\n") {
		w.buffer = append(w.buffer, value...)
		return
	}
	w.buffer = append(w.buffer, '"')
	w.buffer = append(w.buffer, strings.ReplaceAll(value, `"`, `""`)...)
	w.buffer = append(w.buffer, '"')
}

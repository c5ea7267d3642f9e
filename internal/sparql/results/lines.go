package results

import (
	"bufio"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"unicode/utf8"
)

// csvReader reads CSV, which tells no kinds: every value is a plain literal, an empty one unbound. Its form has no end
// of its own: only the length of its body, or its last chunk, tells that it is whole, which is for who reads HTTP.
type csvReader struct {
	from *bounded
	c    *csv.Reader
	row  []Term
}

func newCSVReader(b *bounded) *csvReader {
	r := &csvReader{from: b, c: csv.NewReader(b)}
	r.c.ReuseRecord = true
	return r
}

func (r *csvReader) Head() (Head, error) {
	vars, err := r.c.Read()
	if err != nil {
		return Head{}, r.from.cause(err)
	}
	h := Head{Vars: append([]string{}, vars...)}
	if _, err := indexOf(h.Vars); err != nil {
		return Head{}, err
	}
	r.row = make([]Term, len(vars))
	r.from.renew()
	return h, nil
}

func (r *csvReader) Next() ([]Term, error) {
	values, err := r.c.Read()
	if err == io.EOF && r.from.err == nil {
		return nil, io.EOF
	}
	if err != nil {
		return nil, r.from.cause(err)
	}
	r.from.renew()
	for i, v := range values {
		if !utf8.ValidString(v) {
			return nil, fmt.Errorf("%w: no UTF-8", ErrForm)
		}
		if r.row[i] = (Term{Kind: Literal, Value: v}); v == "" {
			r.row[i] = Term{}
		}
	}
	return r.row, nil
}

// tsvReader reads TSV: variables with their mark, terms as in Turtle. A line that does not end is cut.
type tsvReader struct {
	from *bounded
	b    *bufio.Reader
	row  []Term
}

func newTSVReader(b *bounded) *tsvReader { return &tsvReader{from: b, b: bufio.NewReader(b)} }

func (r *tsvReader) line() (string, error) {
	text, err := r.b.ReadString('\n')
	if err != nil {
		if err == io.EOF && text == "" && r.from.err == nil {
			return "", io.EOF
		}
		return "", r.from.cause(err)
	}
	r.from.renew()
	if !utf8.ValidString(text) {
		return "", fmt.Errorf("%w: no UTF-8", ErrForm)
	}
	return strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r"), nil
}

func (r *tsvReader) Head() (h Head, err error) {
	text, err := r.line()
	if err == io.EOF {
		err = ErrCut
	}
	if err != nil {
		return h, err
	}
	if text != "" {
		for v := range strings.SplitSeq(text, "\t") {
			if len(v) < 2 || v[0] != '?' && v[0] != '$' {
				return Head{}, fmt.Errorf("%w: variable %.20q", ErrForm, v)
			}
			h.Vars = append(h.Vars, v[1:])
		}
	}
	if _, err := indexOf(h.Vars); err != nil {
		return Head{}, err
	}
	r.row = make([]Term, len(h.Vars))
	return h, nil
}

func (r *tsvReader) Next() ([]Term, error) {
	text, err := r.line()
	if err != nil {
		return nil, err
	}
	n := 0
	if len(r.row) > 0 || text != "" {
		for v := range strings.SplitSeq(text, "\t") {
			if n == len(r.row) {
				return nil, fmt.Errorf("%w: a row of over %d values", ErrForm, n)
			}
			if r.row[n], err = turtle(v); err != nil {
				return nil, fmt.Errorf("%w: %w", ErrForm, err)
			}
			n++
		}
	}
	if n != len(r.row) {
		return nil, fmt.Errorf("%w: a row of %d values", ErrForm, n)
	}
	return r.row, nil
}

var errTerm = errors.New("a term that is none")

const xsd = "http://www.w3.org/2001/XMLSchema#"

// turtle reads one term.
func turtle(v string) (Term, error) {
	switch {
	case v == "":
		return Term{}, nil
	case v[0] == '<':
		if len(v) < 2 || v[len(v)-1] != '>' || strings.ContainsAny(v[1:len(v)-1], "<> ") {
			return Term{}, errTerm
		}
		iri, ok := numeric(v[1 : len(v)-1])
		if !ok {
			return Term{}, errTerm
		}
		return Term{Kind: IRI, Value: iri}, nil
	case strings.HasPrefix(v, "_:") && len(v) > 2:
		return Term{Kind: Blank, Value: v[2:]}, nil
	case v[0] == '"' || v[0] == '\'':
		return quoted(v)
	case v == "true" || v == "false":
		return Term{Kind: Literal, Value: v, Datatype: xsd + "boolean"}, nil
	}
	kind := "integer"
	for i, c := range []byte(v) {
		switch {
		case c >= '0' && c <= '9', i == 0 && (c == '+' || c == '-'):
		case c == '.' && kind == "integer":
			kind = "decimal"
		case (c == 'e' || c == 'E') && i > 0:
			kind = "double"
		case (c == '+' || c == '-') && (v[i-1] == 'e' || v[i-1] == 'E'):
		default:
			return Term{}, errTerm
		}
	}
	return Term{Kind: Literal, Value: v, Datatype: xsd + kind}, nil
}

// numeric resolves \uXXXX and \UXXXXXXXX, the only escapes of an IRI.
func numeric(v string) (string, bool) {
	if strings.IndexByte(v, '\\') < 0 {
		return v, true
	}
	var b strings.Builder
	for i := 0; i < len(v); i++ {
		if v[i] != '\\' {
			b.WriteByte(v[i])
			continue
		}
		n := 4
		if i+1 < len(v) && v[i+1] == 'U' {
			n = 8
		} else if i+1 >= len(v) || v[i+1] != 'u' {
			return "", false
		}
		if i+2+n > len(v) {
			return "", false
		}
		r, err := strconv.ParseUint(v[i+2:i+2+n], 16, 32)
		if err != nil || !utf8.ValidRune(rune(r)) {
			return "", false
		}
		b.WriteRune(rune(r))
		i += 1 + n
	}
	return b.String(), true
}

func quoted(v string) (Term, error) {
	var b strings.Builder
	i := 1
	for ; i < len(v) && v[i] != v[0]; i++ {
		c := v[i]
		if c == '\\' {
			if i++; i == len(v) {
				return Term{}, errTerm
			}
			if v[i] == 'u' || v[i] == 'U' {
				n := map[byte]int{'u': 4, 'U': 8}[v[i]]
				if i+n >= len(v) {
					return Term{}, errTerm
				}
				r, ok := numeric(v[i-1 : i+1+n])
				if !ok {
					return Term{}, errTerm
				}
				b.WriteString(r)
				i += n
				continue
			}
			k := strings.IndexByte("tnrbf\\\"'", v[i])
			if k < 0 {
				return Term{}, errTerm
			}
			c = "\t\n\r\b\f\\\"'"[k]
		}
		b.WriteByte(c)
	}
	if i >= len(v) {
		return Term{}, errTerm
	}
	t, rest := Term{Kind: Literal, Value: b.String()}, v[i+1:]
	switch {
	case rest == "":
	case rest[0] == '@' && len(rest) > 1:
		t.Lang = rest[1:]
	case strings.HasPrefix(rest, "^^<") && rest[len(rest)-1] == '>' && len(rest) > 4:
		t.Datatype = rest[3 : len(rest)-1]
	default:
		return Term{}, errTerm
	}
	return t, nil
}

// lineWriter writes CSV or TSV. Neither can tell an ASK: Head says so.
type lineWriter struct {
	to   io.Writer
	tabs bool
	buf  []byte
}

// ErrAsk tells that a format has no place for a boolean.
var ErrAsk = errors.New("CSV and TSV have no form for ASK")

func (w *lineWriter) Head(h Head) error {
	if h.Ask {
		return ErrAsk
	}
	w.buf = w.buf[:0]
	for i, v := range h.Vars {
		if i > 0 {
			w.buf = append(w.buf, w.sign())
		}
		if w.tabs {
			w.buf = append(w.buf, '?')
		}
		w.buf = append(w.buf, v...)
	}
	return w.line()
}

func (w *lineWriter) sign() byte {
	if w.tabs {
		return '\t'
	}
	return ','
}

func (w *lineWriter) line() error {
	if !w.tabs {
		w.buf = append(w.buf, '\r')
	}
	_, err := w.to.Write(append(w.buf, '\n'))
	return err
}

func (w *lineWriter) Row(row []Term) error {
	w.buf = w.buf[:0]
	for i, t := range row {
		if i > 0 {
			w.buf = append(w.buf, w.sign())
		}
		switch {
		case t.Kind == Unbound:
		case w.tabs:
			w.turtle(t)
		case t.Kind == Blank:
			w.csv("_:" + t.Value)
		default:
			w.csv(t.Value)
		}
	}
	return w.line()
}

func (w *lineWriter) csv(v string) {
	if !strings.ContainsAny(v, "\",\r\n") {
		w.buf = append(w.buf, v...)
		return
	}
	w.buf = append(w.buf, '"')
	w.buf = append(w.buf, strings.ReplaceAll(v, `"`, `""`)...)
	w.buf = append(w.buf, '"')
}

var escapes = strings.NewReplacer("\t", `\t`, "\n", `\n`, "\r", `\r`, "\b", `\b`, "\f", `\f`, `\`, `\\`, `"`, `\"`)

func (w *lineWriter) turtle(t Term) {
	switch t.Kind {
	case IRI:
		w.buf = append(w.buf, '<')
		for _, c := range []byte(t.Value) { // what may not stand in an IRI must not break the line
			if c <= ' ' || strings.IndexByte("<>\"{}|^`\\", c) >= 0 {
				w.buf = fmt.Appendf(w.buf, "\\u%04X", c)
			} else {
				w.buf = append(w.buf, c)
			}
		}
		w.buf = append(w.buf, '>')
	case Blank:
		w.buf = append(append(w.buf, "_:"...), t.Value...)
	default:
		w.buf = append(append(append(w.buf, '"'), escapes.Replace(t.Value)...), '"')
		if t.Lang != "" {
			w.buf = append(append(w.buf, '@'), t.Lang...)
		} else if t.Datatype != "" {
			w.buf = append(append(append(w.buf, "^^<"...), t.Datatype...), '>')
		}
	}
}

func (w *lineWriter) Close() error { return nil }

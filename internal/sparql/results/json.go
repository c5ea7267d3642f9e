package results

import (
	"encoding/json"
	"fmt"
	"io"
)

// jsonReader reads {"head":{"vars":[...]},"results":{"bindings":[...]}} or {"head":{},"boolean":b} token by token. The
// head has to stand first: what streams could not be given out otherwise.
type jsonReader struct {
	from *bounded
	d    *json.Decoder
	head Head
	at   map[string]int
	row  []Term
	over bool
}

func newJSONReader(b *bounded) *jsonReader { return &jsonReader{from: b, d: json.NewDecoder(b)} }

func (r *jsonReader) delim(want json.Delim) error {
	t, err := r.d.Token()
	if err == nil && t != want {
		err = fmt.Errorf("%v where %v is wanted", t, want)
	}
	return err
}

func (r *jsonReader) Head() (Head, error) {
	if err := r.readHead(); err != nil {
		return Head{}, r.from.cause(err)
	}
	r.from.renew()
	return r.head, nil
}

func (r *jsonReader) readHead() error {
	if err := r.delim('{'); err != nil {
		return err
	}
	headed := false
	for r.d.More() {
		t, err := r.d.Token()
		if err != nil {
			return err
		}
		switch t {
		case "head":
			var h struct {
				Vars []string `json:"vars"`
			}
			if headed {
				return fmt.Errorf("two heads")
			}
			if err := r.d.Decode(&h); err != nil {
				return err
			}
			headed, r.head.Vars = true, h.Vars
			if r.at, err = indexOf(h.Vars); err != nil {
				return err
			}
		case "boolean":
			if err := r.d.Decode(&r.head.Boolean); err != nil {
				return err
			}
			if !headed || len(r.head.Vars) > 0 {
				return fmt.Errorf("a boolean without its head")
			}
			r.head.Ask = true
			return r.rest()
		case "results":
			if !headed {
				return fmt.Errorf("results before their head")
			}
			return r.open()
		default:
			var any json.RawMessage
			if err := r.d.Decode(&any); err != nil {
				return err
			}
		}
	}
	return fmt.Errorf("neither results nor boolean")
}

// open goes to the first binding.
func (r *jsonReader) open() error {
	if err := r.delim('{'); err != nil {
		return err
	}
	for r.d.More() {
		t, err := r.d.Token()
		if err != nil {
			return err
		}
		if t == "bindings" {
			return r.delim('[')
		}
		var any json.RawMessage
		if err := r.d.Decode(&any); err != nil {
			return err
		}
	}
	return fmt.Errorf("no bindings")
}

// rest goes to the end of the outermost object, and makes sure that nothing follows.
func (r *jsonReader) rest() error {
	for r.d.More() {
		if t, err := r.d.Token(); err != nil {
			return err
		} else if t == "head" || t == "results" || t == "boolean" {
			return fmt.Errorf("%v once more", t)
		}
		var any json.RawMessage
		if err := r.d.Decode(&any); err != nil {
			return err
		}
	}
	if err := r.delim('}'); err != nil {
		return err
	}
	if t, err := r.d.Token(); err != io.EOF {
		if err == nil {
			err = fmt.Errorf("%v after the end", t)
		}
		return err
	}
	r.over = true
	return nil
}

func (r *jsonReader) Next() ([]Term, error) {
	if r.over {
		return nil, io.EOF
	}
	if !r.d.More() {
		if err := r.end(); err != nil {
			return nil, r.from.cause(err)
		}
		return nil, io.EOF
	}
	var b map[string]struct {
		Type     string  `json:"type"`
		Value    *string `json:"value"`
		Lang     string  `json:"xml:lang"`
		Datatype string  `json:"datatype"`
	}
	if err := r.d.Decode(&b); err != nil {
		return nil, r.from.cause(err)
	}
	r.from.renew()
	if r.row == nil {
		r.row = make([]Term, len(r.head.Vars))
	}
	clear(r.row)
	for name, v := range b {
		i, known := r.at[name]
		if !known || v.Value == nil {
			return nil, fmt.Errorf("%w: binding of %q", ErrForm, name)
		}
		t := Term{Value: *v.Value}
		switch v.Type {
		case "uri":
			t.Kind = IRI
		case "bnode":
			t.Kind = Blank
		case "literal", "typed-literal":
			if t.Kind, t.Lang, t.Datatype = Literal, v.Lang, v.Datatype; t.Lang != "" && t.Datatype != "" {
				return nil, fmt.Errorf("%w: a literal with language and datatype", ErrForm)
			}
		default:
			return nil, fmt.Errorf("%w: type %q", ErrForm, v.Type)
		}
		r.row[i] = t
	}
	return r.row, nil
}

// end leaves bindings and results.
func (r *jsonReader) end() error {
	if err := r.delim(']'); err != nil {
		return err
	}
	for r.d.More() {
		var any json.RawMessage
		if t, err := r.d.Token(); err != nil {
			return err
		} else if t == "bindings" {
			return fmt.Errorf("bindings once more")
		}
		if err := r.d.Decode(&any); err != nil {
			return err
		}
	}
	if err := r.delim('}'); err != nil {
		return err
	}
	return r.rest()
}

type jsonWriter struct {
	to   io.Writer
	head Head
	rows int
	buf  []byte
}

func (w *jsonWriter) Head(h Head) error {
	w.head = h
	if h.Ask {
		_, err := fmt.Fprintf(w.to, `{"head":{},"boolean":%v`, h.Boolean)
		return err
	}
	vars, err := json.Marshal(append([]string{}, h.Vars...))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w.to, `{"head":{"vars":%s},"results":{"bindings":[`, vars)
	return err
}

func (w *jsonWriter) Row(row []Term) error {
	b := w.buf[:0]
	if w.rows++; w.rows > 1 {
		b = append(b, ',')
	}
	b = append(b, "\n{"...)
	text := func(s string) {
		t, _ := json.Marshal(s) // a string always can be
		b = append(b, t...)
	}
	first := true
	for i, t := range row {
		if t.Kind == Unbound {
			continue
		}
		if !first {
			b = append(b, ',')
		}
		first = false
		text(w.head.Vars[i])
		b = append(b, `:{"type":"`+[...]string{"", "uri", "literal", "bnode"}[t.Kind]+`","value":`...)
		text(t.Value)
		if t.Lang != "" {
			b = append(b, `,"xml:lang":`...)
			text(t.Lang)
		} else if t.Datatype != "" {
			b = append(b, `,"datatype":`...)
			text(t.Datatype)
		}
		b = append(b, '}')
	}
	w.buf = append(b, '}')
	_, err := w.to.Write(w.buf)
	return err
}

func (w *jsonWriter) Close() error {
	text := "\n]}}\n"
	if w.head.Ask {
		text = "}\n"
	}
	_, err := io.WriteString(w.to, text)
	return err
}

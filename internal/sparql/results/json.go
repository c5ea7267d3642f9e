package results

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// The member names of a result object.
const (
	jsonHead     = "head"
	jsonBoolean  = "boolean"
	jsonResults  = "results"
	jsonBindings = "bindings"
)

var (
	errDuplicateHead     = errors.New("duplicate head")
	errBooleanHead       = errors.New("boolean without a head, or with variables")
	errResultsBeforeHead = errors.New("results before the head")
	errNoResult          = errors.New("neither results nor boolean present")
	errNoBindings        = errors.New("missing bindings")
	errDuplicateBindings = errors.New("duplicate bindings")
)

// jsonReader reads {"head":{"vars":[...]},"results":{"bindings":[...]}} or {"head":{},"boolean":b} token by token. The
// head must come first, as a result could not be converted while streaming otherwise.
type jsonReader struct {
	source   *limitedReader
	decoder  *json.Decoder
	head     Head
	columns  map[string]int // by variable
	row      []Term
	complete bool
}

// jsonTerm is the JSON form of a term.
type jsonTerm struct {
	Type     string  `json:"type"`
	Value    *string `json:"value"`
	Lang     string  `json:"xml:lang"`
	Datatype string  `json:"datatype"`
}

func newJSONReader(source *limitedReader) *jsonReader {
	return &jsonReader{source: source, decoder: json.NewDecoder(source)}
}

// Head implements Reader.
func (r *jsonReader) Head() (Head, error) {
	if err := r.readHead(); err != nil {
		return Head{}, r.source.cause(err)
	}
	r.source.resetLimit()
	return r.head, nil
}

// readHead reads up to the first binding, or the complete result of an ASK.
func (r *jsonReader) readHead() error {
	if err := r.expect('{'); err != nil {
		return err
	}
	hasHead := false
	for r.decoder.More() {
		name, err := r.decoder.Token()
		if err != nil {
			return err
		}
		switch name {
		case jsonHead:
			if hasHead {
				return errDuplicateHead
			}
			hasHead = true
			err = r.readVariables()
		case jsonBoolean:
			return r.readBoolean(hasHead)
		case jsonResults:
			if !hasHead {
				return errResultsBeforeHead
			}
			return r.enterBindings()
		default:
			err = r.skipValue()
		}
		if err != nil {
			return err
		}
	}
	return errNoResult
}

func (r *jsonReader) readVariables() error {
	var head struct {
		Vars []string `json:"vars"`
	}
	if err := r.decoder.Decode(&head); err != nil {
		return err
	}
	columns, err := indexVariables(head.Vars)
	if err != nil {
		return err
	}
	r.head.Vars = head.Vars
	r.columns = columns
	return nil
}

func (r *jsonReader) readBoolean(hasHead bool) error {
	if err := r.decoder.Decode(&r.head.Boolean); err != nil {
		return err
	}
	if !hasHead || len(r.head.Vars) > 0 {
		return errBooleanHead
	}
	r.head.Ask = true
	return r.finish()
}

// enterBindings advances to the first binding.
func (r *jsonReader) enterBindings() error {
	if err := r.expect('{'); err != nil {
		return err
	}
	for r.decoder.More() {
		name, err := r.decoder.Token()
		if err != nil {
			return err
		}
		if name == jsonBindings {
			return r.expect('[')
		}
		if err := r.skipValue(); err != nil {
			return err
		}
	}
	return errNoBindings
}

// Next implements Reader.
func (r *jsonReader) Next() ([]Term, error) {
	if r.complete {
		return nil, io.EOF
	}
	if !r.decoder.More() {
		if err := r.leaveBindings(); err != nil {
			return nil, r.source.cause(err)
		}
		return nil, io.EOF
	}
	var binding map[string]jsonTerm
	if err := r.decoder.Decode(&binding); err != nil {
		return nil, r.source.cause(err)
	}
	r.source.resetLimit()
	if r.row == nil {
		r.row = make([]Term, len(r.head.Vars))
	}
	clear(r.row)
	for name, value := range binding {
		column, known := r.columns[name]
		if !known || value.Value == nil {
			return nil, fmt.Errorf("%w: invalid binding of variable %q", ErrMalformed, name)
		}
		term, err := value.term()
		if err != nil {
			return nil, err
		}
		r.row[column] = term
	}
	return r.row, nil
}

func (t jsonTerm) term() (Term, error) {
	switch t.Type {
	case "uri":
		return Term{Kind: IRI, Value: *t.Value}, nil
	case "bnode":
		return Term{Kind: Blank, Value: *t.Value}, nil
	case "literal", "typed-literal":
		if t.Lang != "" && t.Datatype != "" {
			return Term{}, fmt.Errorf("%w: literal with both a language and a datatype", ErrMalformed)
		}
		return Term{Kind: Literal, Value: *t.Value, Lang: t.Lang, Datatype: t.Datatype}, nil
	}
	return Term{}, fmt.Errorf("%w: unknown term type %q", ErrMalformed, t.Type)
}

// leaveBindings reads from the end of the bindings to the end of the result.
func (r *jsonReader) leaveBindings() error {
	if err := r.expect(']'); err != nil {
		return err
	}
	for r.decoder.More() {
		name, err := r.decoder.Token()
		if err != nil {
			return err
		}
		if name == jsonBindings {
			return errDuplicateBindings
		}
		if err := r.skipValue(); err != nil {
			return err
		}
	}
	if err := r.expect('}'); err != nil {
		return err
	}
	return r.finish()
}

// finish reads to the end of the outermost object and checks that nothing follows.
func (r *jsonReader) finish() error {
	for r.decoder.More() {
		name, err := r.decoder.Token()
		if err != nil {
			return err
		}
		if name == jsonHead || name == jsonResults || name == jsonBoolean {
			return fmt.Errorf("duplicate %v", name)
		}
		if err := r.skipValue(); err != nil {
			return err
		}
	}
	if err := r.expect('}'); err != nil {
		return err
	}
	extra, err := r.decoder.Token()
	if err == nil {
		return fmt.Errorf("data after the end: %v", extra)
	}
	if err != io.EOF {
		return err
	}
	r.complete = true
	return nil
}

func (r *jsonReader) expect(wanted json.Delim) error {
	found, err := r.decoder.Token()
	if err != nil {
		return err
	}
	if found != wanted {
		return fmt.Errorf("found %v, expected %v", found, wanted)
	}
	return nil
}

func (r *jsonReader) skipValue() error {
	var skipped json.RawMessage
	return r.decoder.Decode(&skipped)
}

// jsonKinds are the JSON types of terms by kind.
var jsonKinds = [...]string{IRI: "uri", Literal: "literal", Blank: "bnode"}

// jsonWriter writes JSON, with each binding on a line of its own.
type jsonWriter struct {
	destination io.Writer
	head        Head
	rows        int
	buffer      []byte // holds one row
}

// Head implements Writer.
func (w *jsonWriter) Head(head Head) error {
	w.head = head
	if head.Ask {
		_, err := fmt.Fprintf(w.destination, `{"head":{},"boolean":%v`, head.Boolean)
		return err
	}
	vars, err := json.Marshal(append([]string{}, head.Vars...))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w.destination, `{"head":{"vars":%s},"results":{"bindings":[`, vars)
	return err
}

// Row implements Writer.
func (w *jsonWriter) Row(row []Term) error {
	w.buffer = w.buffer[:0]
	w.rows++
	if w.rows > 1 {
		w.buffer = append(w.buffer, ',')
	}
	w.buffer = append(w.buffer, "\n{"...)
	first := true
	for column, term := range row {
		if term.Kind == Unbound {
			continue
		}
		if !first {
			w.buffer = append(w.buffer, ',')
		}
		first = false
		w.appendTerm(w.head.Vars[column], term)
	}
	w.buffer = append(w.buffer, '}')
	_, err := w.destination.Write(w.buffer)
	return err
}

func (w *jsonWriter) appendTerm(name string, term Term) {
	w.appendString(name)
	w.buffer = append(w.buffer, `:{"type":"`+jsonKinds[term.Kind]+`","value":`...)
	w.appendString(term.Value)
	if term.Lang != "" {
		w.buffer = append(w.buffer, `,"xml:lang":`...)
		w.appendString(term.Lang)
	} else if term.Datatype != "" {
		w.buffer = append(w.buffer, `,"datatype":`...)
		w.appendString(term.Datatype)
	}
	w.buffer = append(w.buffer, '}')
}

func (w *jsonWriter) appendString(text string) {
	quoted, _ := json.Marshal(text) // never fails for a string
	w.buffer = append(w.buffer, quoted...)
}

// Close implements Writer.
func (w *jsonWriter) Close() error {
	text := "\n]}}\n"
	if w.head.Ask {
		text = "}\n"
	}
	_, err := io.WriteString(w.destination, text)
	return err
}

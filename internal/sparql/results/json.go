package results

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// The names of a result's members.
const (
	jsonHead     = "head"
	jsonBoolean  = "boolean"
	jsonResults  = "results"
	jsonBindings = "bindings"
)

var (
	errTwoHeads         = errors.New("two heads")
	errBooleanNoHead    = errors.New("a boolean without its head")
	errResultsNoHead    = errors.New("results before their head")
	errNeitherForm      = errors.New("neither results nor boolean")
	errNoBindings       = errors.New("no bindings")
	errBindingsRepeated = errors.New("bindings once more")
)

// jsonReader reads {"head":{"vars":[...]},"results":{"bindings":[...]}} or {"head":{},"boolean":b} token by token. The
// head has to come first: a streamed answer could not be sent on otherwise.
type jsonReader struct {
	source   *bounded
	decoder  *json.Decoder
	head     Head
	columns  map[string]int // by variable
	row      []Term
	complete bool
}

// jsonTerm is a term of a binding.
type jsonTerm struct {
	Type     string  `json:"type"`
	Value    *string `json:"value"`
	Lang     string  `json:"xml:lang"`
	Datatype string  `json:"datatype"`
}

func newJSONReader(source *bounded) *jsonReader {
	return &jsonReader{source: source, decoder: json.NewDecoder(source)}
}

// Head implements Reader.
func (r *jsonReader) Head() (Head, error) {
	if err := r.readHead(); err != nil {
		return Head{}, r.source.cause(err)
	}
	r.source.renew()
	return r.head, nil
}

// readHead reads up to the first binding, or the whole answer of an ASK.
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
				return errTwoHeads
			}
			hasHead = true
			err = r.readVariables()
		case jsonBoolean:
			return r.readBoolean(hasHead)
		case jsonResults:
			if !hasHead {
				return errResultsNoHead
			}
			return r.enterBindings()
		default:
			err = r.skipValue()
		}
		if err != nil {
			return err
		}
	}
	return errNeitherForm
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
		return errBooleanNoHead
	}
	r.head.Ask = true
	return r.finish()
}

// enterBindings goes to the first binding.
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
	r.source.renew()
	if r.row == nil {
		r.row = make([]Term, len(r.head.Vars))
	}
	clear(r.row)
	for name, value := range binding {
		column, known := r.columns[name]
		if !known || value.Value == nil {
			return nil, fmt.Errorf("%w: binding of %q", ErrForm, name)
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
			return Term{}, fmt.Errorf("%w: a literal with language and datatype", ErrForm)
		}
		return Term{Kind: Literal, Value: *t.Value, Lang: t.Lang, Datatype: t.Datatype}, nil
	}
	return Term{}, fmt.Errorf("%w: type %q", ErrForm, t.Type)
}

// leaveBindings leaves bindings and results, and finishes.
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
			return errBindingsRepeated
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

// finish goes to the end of the outermost object, and makes sure that nothing follows.
func (r *jsonReader) finish() error {
	for r.decoder.More() {
		name, err := r.decoder.Token()
		if err != nil {
			return err
		}
		if name == jsonHead || name == jsonResults || name == jsonBoolean {
			return fmt.Errorf("%v once more", name)
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
		return fmt.Errorf("%v after the end", extra)
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
		return fmt.Errorf("%v where %v is wanted", found, wanted)
	}
	return nil
}

func (r *jsonReader) skipValue() error {
	var skipped json.RawMessage
	return r.decoder.Decode(&skipped)
}

// jsonKinds are the types of terms by their kind.
var jsonKinds = [...]string{IRI: "uri", Literal: "literal", Blank: "bnode"}

// jsonWriter writes one binding a line.
type jsonWriter struct {
	destination io.Writer
	head        Head
	rows        int
	buffer      []byte // of a row
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
	quoted, _ := json.Marshal(text) // cannot fail for a string
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

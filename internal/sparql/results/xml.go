package results

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
)

const xmlNamespace = "http://www.w3.org/2005/sparql-results#"

var (
	errTextBetweenElements = errors.New("unexpected text between elements")
	errSecondResult        = errors.New("more than one boolean or results element")
	errTrailingData        = errors.New("data after the end of the document")
	errSecondBinding       = errors.New("more than one value in a binding")
)

// xmlReader reads the <sparql> element with its head and its results or boolean.
type xmlReader struct {
	source   *limitedReader
	decoder  *xml.Decoder
	head     Head
	columns  map[string]int // by variable
	row      []Term
	complete bool
}

func newXMLReader(source *limitedReader) *xmlReader {
	return &xmlReader{source: source, decoder: xml.NewDecoder(source)}
}

// Head implements Reader.
func (r *xmlReader) Head() (Head, error) {
	if err := r.readHead(); err != nil {
		return Head{}, r.source.cause(err)
	}
	r.source.resetLimit()
	return r.head, nil
}

// readHead reads up to the first result, or the complete result of an ASK.
func (r *xmlReader) readHead() error {
	if _, err := r.start("sparql"); err != nil {
		return err
	}
	if _, err := r.start("head"); err != nil {
		return err
	}
	if err := r.readVariables(); err != nil {
		return err
	}
	element, err := r.start("")
	if err != nil {
		return err
	}
	switch element.Name.Local {
	case "results":
		return nil
	case "boolean":
		return r.readBoolean()
	}
	return fmt.Errorf("unexpected element %s", element.Name.Local)
}

// readVariables reads the variables, to the end of the head element.
func (r *xmlReader) readVariables() error {
	for {
		token, err := r.token()
		if err != nil {
			return err
		}
		element, isStart := token.(xml.StartElement)
		if !isStart {
			break
		}
		if element.Name.Local == "variable" {
			r.head.Vars = append(r.head.Vars, attribute(element, "name"))
		}
		if err := r.decoder.Skip(); err != nil {
			return err
		}
	}
	columns, err := indexVariables(r.head.Vars)
	r.columns = columns
	return err
}

func (r *xmlReader) readBoolean() error {
	text, err := r.text()
	if err != nil {
		return err
	}
	text = strings.TrimSpace(text)
	if len(r.head.Vars) > 0 || text != "true" && text != "false" {
		return fmt.Errorf("invalid boolean %.20q", text)
	}
	r.head.Ask = true
	r.head.Boolean = text == "true"
	return r.finish()
}

// Next implements Reader.
func (r *xmlReader) Next() ([]Term, error) {
	if r.complete {
		return nil, io.EOF
	}
	token, err := r.token()
	if err != nil {
		return nil, r.source.cause(err)
	}
	element, isStart := token.(xml.StartElement)
	if !isStart { // the end of results
		if err := r.finish(); err != nil {
			return nil, r.source.cause(err)
		}
		return nil, io.EOF
	}
	if element.Name.Local != "result" {
		return nil, fmt.Errorf("%w: unexpected element %s", ErrMalformed, element.Name.Local)
	}
	if err := r.readBindings(); err != nil {
		return nil, r.source.cause(err)
	}
	r.source.resetLimit()
	return r.row, nil
}

// readBindings reads the bindings of a row, to the end of its element.
func (r *xmlReader) readBindings() error {
	if r.row == nil {
		r.row = make([]Term, len(r.head.Vars))
	}
	clear(r.row)
	for {
		token, err := r.token()
		if err != nil {
			return err
		}
		element, isStart := token.(xml.StartElement)
		if !isStart {
			return nil
		}
		if err := r.readBinding(element); err != nil {
			return err
		}
	}
}

func (r *xmlReader) readBinding(binding xml.StartElement) error {
	name := attribute(binding, "name")
	column, known := r.columns[name]
	if binding.Name.Local != "binding" || !known || r.row[column].Kind != Unbound {
		return fmt.Errorf("unexpected element %s with name %q", binding.Name.Local, name)
	}
	element, err := r.start("")
	if err != nil {
		return err
	}
	term := Term{}
	switch element.Name.Local {
	case "uri":
		term.Kind = IRI
	case "bnode":
		term.Kind = Blank
	case "literal":
		term.Kind = Literal
		term.Lang = attribute(element, "lang")
		term.Datatype = attribute(element, "datatype")
	default:
		return fmt.Errorf("unexpected element %s", element.Name.Local)
	}
	if term.Value, err = r.text(); err != nil {
		return err
	}
	r.row[column] = term
	return r.expectEnd(errSecondBinding)
}

// finish checks that the outermost element ends and that nothing follows.
func (r *xmlReader) finish() error {
	if err := r.expectEnd(errSecondResult); err != nil {
		return err
	}
	_, err := r.token()
	if err == nil {
		return errTrailingData
	}
	if err != io.EOF { //nolint:errorlint // an error that wraps io.EOF means a truncated result
		return err
	}
	r.complete = true
	return nil
}

// token returns the next start or end of an element. It skips comments and the like; text must be white space.
func (r *xmlReader) token() (xml.Token, error) {
	for {
		token, err := r.decoder.Token()
		if err != nil {
			return nil, err
		}
		switch token := token.(type) {
		case xml.StartElement:
			if token.Name.Space != xmlNamespace {
				return nil, fmt.Errorf("element %s is not in the SPARQL results namespace", token.Name.Local)
			}
			return token, nil
		case xml.EndElement:
			return token, nil
		case xml.CharData:
			if len(bytes.TrimSpace(token)) > 0 {
				return nil, errTextBetweenElements
			}
		}
	}
}

// start returns the start of the next element, which must have the given name; "" allows any.
func (r *xmlReader) start(name string) (xml.StartElement, error) {
	token, err := r.token()
	if err != nil {
		return xml.StartElement{}, err
	}
	element, isStart := token.(xml.StartElement)
	if !isStart || name != "" && element.Name.Local != name {
		return xml.StartElement{}, fmt.Errorf("missing element %s", name)
	}
	return element, nil
}

// expectEnd reads the end of an element. It returns the error otherwise if another element starts instead.
func (r *xmlReader) expectEnd(otherwise error) error {
	token, err := r.token()
	if err != nil {
		return err
	}
	if _, isEnd := token.(xml.EndElement); !isEnd {
		return otherwise
	}
	return nil
}

// text reads to the end of the current element, which must contain only text.
func (r *xmlReader) text() (string, error) {
	var text strings.Builder
	for {
		token, err := r.decoder.Token()
		if err != nil {
			return "", err
		}
		switch token := token.(type) {
		case xml.CharData:
			text.Write(token)
		case xml.EndElement:
			return text.String(), nil
		case xml.StartElement:
			return "", fmt.Errorf("unexpected element %s inside text", token.Name.Local)
		}
	}
}

func attribute(element xml.StartElement, name string) string {
	for _, attribute := range element.Attr {
		if attribute.Name.Local == name {
			return attribute.Value
		}
	}
	return ""
}

// xmlElements are the element names of terms by kind.
var xmlElements = [...]string{IRI: "uri", Literal: "literal", Blank: "bnode"}

// xmlWriter writes XML, with each result on a line of its own.
type xmlWriter struct {
	destination io.Writer
	head        Head
	buffer      bytes.Buffer // holds one row
}

// Head implements Writer.
func (w *xmlWriter) Head(head Head) error {
	w.head = head
	w.buffer.WriteString("<?xml version=\"1.0\"?>\n<sparql xmlns=\"" + xmlNamespace + "\"><head>")
	for _, name := range head.Vars {
		w.buffer.WriteString(`<variable name="`)
		w.escape(name)
		w.buffer.WriteString(`"/>`)
	}
	w.buffer.WriteString("</head>")
	if head.Ask {
		fmt.Fprintf(&w.buffer, "<boolean>%v</boolean>", head.Boolean)
	} else {
		w.buffer.WriteString("<results>")
	}
	return w.flush()
}

// Row implements Writer.
func (w *xmlWriter) Row(row []Term) error {
	w.buffer.WriteString("\n<result>")
	for column, term := range row {
		if term.Kind != Unbound {
			w.writeBinding(w.head.Vars[column], term)
		}
	}
	w.buffer.WriteString("</result>")
	return w.flush()
}

func (w *xmlWriter) writeBinding(name string, term Term) {
	w.buffer.WriteString(`<binding name="`)
	w.escape(name)
	w.buffer.WriteString(`">`)
	element := xmlElements[term.Kind]
	w.buffer.WriteString("<" + element)
	if term.Lang != "" {
		w.writeAttribute("xml:lang", term.Lang)
	} else if term.Datatype != "" {
		w.writeAttribute("datatype", term.Datatype)
	}
	w.buffer.WriteString(">")
	w.escape(term.Value)
	w.buffer.WriteString("</" + element + "></binding>")
}

func (w *xmlWriter) writeAttribute(name, value string) {
	w.buffer.WriteString(" " + name + `="`)
	w.escape(value)
	w.buffer.WriteString(`"`)
}

func (w *xmlWriter) escape(text string) {
	_ = xml.EscapeText(&w.buffer, []byte(text)) // never fails on a bytes.Buffer
}

func (w *xmlWriter) flush() error {
	_, err := w.destination.Write(w.buffer.Bytes())
	w.buffer.Reset()
	return err
}

// Close implements Writer.
func (w *xmlWriter) Close() error {
	if !w.head.Ask {
		w.buffer.WriteString("\n</results>")
	}
	w.buffer.WriteString("</sparql>\n")
	return w.flush()
}

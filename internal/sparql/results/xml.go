package results

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"io"
	"strings"
)

const space = "http://www.w3.org/2005/sparql-results#"

// xmlReader reads <sparql> with its head and results, or boolean.
type xmlReader struct {
	from *bounded
	d    *xml.Decoder
	head Head
	at   map[string]int
	row  []Term
	over bool
}

func newXMLReader(b *bounded) *xmlReader { return &xmlReader{from: b, d: xml.NewDecoder(b)} }

// token gives the next start or end of an element; what else there is between them must be white space.
func (r *xmlReader) token() (xml.Token, error) {
	for {
		t, err := r.d.Token()
		if err != nil {
			return nil, err
		}
		switch x := t.(type) {
		case xml.StartElement:
			if x.Name.Space != space {
				return nil, fmt.Errorf("element %s of another name space", x.Name.Local)
			}
			return x, nil
		case xml.EndElement:
			return x, nil
		case xml.CharData:
			if len(bytes.TrimSpace(x)) > 0 {
				return nil, fmt.Errorf("text between elements")
			}
		}
	}
}

func (r *xmlReader) start(name string) (xml.StartElement, error) {
	t, err := r.token()
	if err != nil {
		return xml.StartElement{}, err
	}
	if s, is := t.(xml.StartElement); is && (name == "" || s.Name.Local == name) {
		return s, nil
	}
	return xml.StartElement{}, fmt.Errorf("no element %s", name)
}

func attribute(s xml.StartElement, name string) string {
	for _, a := range s.Attr {
		if a.Name.Local == name {
			return a.Value
		}
	}
	return ""
}

func (r *xmlReader) Head() (Head, error) {
	if err := r.readHead(); err != nil {
		return Head{}, r.from.cause(err)
	}
	r.from.renew()
	return r.head, nil
}

func (r *xmlReader) readHead() error {
	if _, err := r.start("sparql"); err != nil {
		return err
	}
	if _, err := r.start("head"); err != nil {
		return err
	}
	for {
		t, err := r.token()
		if err != nil {
			return err
		}
		s, is := t.(xml.StartElement)
		if !is {
			break
		}
		if s.Name.Local == "variable" {
			r.head.Vars = append(r.head.Vars, attribute(s, "name"))
		}
		if err := r.d.Skip(); err != nil {
			return err
		}
	}
	var err error
	if r.at, err = indexOf(r.head.Vars); err != nil {
		return err
	}
	s, err := r.start("")
	if err != nil {
		return err
	}
	switch s.Name.Local {
	case "results":
		return nil
	case "boolean":
		text, err := r.text()
		if err != nil {
			return err
		}
		if text = strings.TrimSpace(text); len(r.head.Vars) > 0 || text != "true" && text != "false" {
			return fmt.Errorf("boolean %.20q", text)
		}
		r.head.Ask, r.head.Boolean = true, text == "true"
		return r.end()
	}
	return fmt.Errorf("element %s", s.Name.Local)
}

// text reads to the end of the element at hand.
func (r *xmlReader) text() (string, error) {
	var b strings.Builder
	for {
		t, err := r.d.Token()
		if err != nil {
			return "", err
		}
		switch x := t.(type) {
		case xml.CharData:
			b.Write(x)
		case xml.EndElement:
			return b.String(), nil
		case xml.StartElement:
			return "", fmt.Errorf("element %s inside text", x.Name.Local)
		}
	}
}

// end makes sure that the outermost element ends and nothing follows.
func (r *xmlReader) end() error {
	if t, err := r.token(); err != nil {
		return err
	} else if _, is := t.(xml.EndElement); !is {
		return fmt.Errorf("more than one result")
	}
	if _, err := r.token(); err != io.EOF {
		if err == nil {
			err = fmt.Errorf("more after the end")
		}
		return err
	}
	r.over = true
	return nil
}

func (r *xmlReader) Next() ([]Term, error) {
	if r.over {
		return nil, io.EOF
	}
	t, err := r.token()
	if err != nil {
		return nil, r.from.cause(err)
	}
	s, is := t.(xml.StartElement)
	if !is { // of results
		if err := r.end(); err != nil {
			return nil, r.from.cause(err)
		}
		return nil, io.EOF
	}
	if s.Name.Local != "result" {
		return nil, fmt.Errorf("%w: element %s", ErrForm, s.Name.Local)
	}
	if r.row == nil {
		r.row = make([]Term, len(r.head.Vars))
	}
	clear(r.row)
	for {
		t, err := r.token()
		if err != nil {
			return nil, r.from.cause(err)
		}
		s, is := t.(xml.StartElement)
		if !is {
			r.from.renew()
			return r.row, nil
		}
		if err := r.binding(s); err != nil {
			return nil, r.from.cause(err)
		}
	}
}

func (r *xmlReader) binding(s xml.StartElement) error {
	i, known := r.at[attribute(s, "name")]
	if s.Name.Local != "binding" || !known || r.row[i].Kind != Unbound {
		return fmt.Errorf("element %s of %q", s.Name.Local, attribute(s, "name"))
	}
	v, err := r.start("")
	if err != nil {
		return err
	}
	t := Term{}
	switch v.Name.Local {
	case "uri":
		t.Kind = IRI
	case "bnode":
		t.Kind = Blank
	case "literal":
		t.Kind, t.Lang, t.Datatype = Literal, attribute(v, "lang"), attribute(v, "datatype")
	default:
		return fmt.Errorf("element %s", v.Name.Local)
	}
	if t.Value, err = r.text(); err != nil {
		return err
	}
	r.row[i] = t
	if e, err := r.token(); err != nil {
		return err
	} else if _, is := e.(xml.EndElement); !is {
		return fmt.Errorf("two values in a binding")
	}
	return nil
}

type xmlWriter struct {
	to   io.Writer
	head Head
	buf  bytes.Buffer
}

func (w *xmlWriter) flush() error {
	_, err := w.to.Write(w.buf.Bytes())
	w.buf.Reset()
	return err
}

func (w *xmlWriter) text(s string) { xml.EscapeText(&w.buf, []byte(s)) }

func (w *xmlWriter) Head(h Head) error {
	w.head = h
	w.buf.WriteString("<?xml version=\"1.0\"?>\n<sparql xmlns=\"" + space + "\"><head>")
	for _, v := range h.Vars {
		w.buf.WriteString(`<variable name="`)
		w.text(v)
		w.buf.WriteString(`"/>`)
	}
	w.buf.WriteString("</head>")
	if h.Ask {
		fmt.Fprintf(&w.buf, "<boolean>%v</boolean>", h.Boolean)
	} else {
		w.buf.WriteString("<results>")
	}
	return w.flush()
}

func (w *xmlWriter) Row(row []Term) error {
	w.buf.WriteString("\n<result>")
	for i, t := range row {
		if t.Kind == Unbound {
			continue
		}
		w.buf.WriteString(`<binding name="`)
		w.text(w.head.Vars[i])
		w.buf.WriteString(`">`)
		name := [...]string{"", "uri", "literal", "bnode"}[t.Kind]
		w.buf.WriteString("<" + name)
		if t.Lang != "" {
			w.buf.WriteString(` xml:lang="`)
			w.text(t.Lang)
			w.buf.WriteString(`"`)
		} else if t.Datatype != "" {
			w.buf.WriteString(` datatype="`)
			w.text(t.Datatype)
			w.buf.WriteString(`"`)
		}
		w.buf.WriteString(">")
		w.text(t.Value)
		w.buf.WriteString("</" + name + "></binding>")
	}
	w.buf.WriteString("</result>")
	return w.flush()
}

func (w *xmlWriter) Close() error {
	if !w.head.Ask {
		w.buf.WriteString("\n</results>")
	}
	w.buf.WriteString("</sparql>\n")
	return w.flush()
}

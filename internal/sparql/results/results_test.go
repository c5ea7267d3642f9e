package results

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

var formats = []Format{JSON, XML, CSV, TSV}

func randomResult(r *rand.Rand) (Head, [][]Term) {
	words := []string{"", "a", "ä,\"b\"\r\nc", "<&>'\t", "\\", "x y", "1", "true", "\u2028"}
	word := func() string { return words[r.IntN(len(words))] }
	h := Head{Vars: []string{"x", "other", "z_9"}[:1+r.IntN(3)]}
	var rows [][]Term
	for range r.IntN(5) {
		row := make([]Term, len(h.Vars))
		for i := range row {
			switch r.IntN(5) {
			case 0:
				row[i] = Term{Kind: IRI, Value: "http://x/" + strings.Trim(word(), "<&>'\t\\\"\r\n bcä,")}
			case 1:
				row[i] = Term{Kind: Blank, Value: "b1"}
			case 2:
				row[i] = Term{Kind: Literal, Value: word(), Lang: "en-GB"}
			case 3:
				row[i] = Term{Kind: Literal, Value: word(), Datatype: xsdNamespace + "integer"}
			case 4:
				if r.IntN(2) == 0 {
					row[i] = Term{Kind: Literal, Value: word()}
				}
			}
		}
		rows = append(rows, row)
	}
	return h, rows
}

func encode(t *testing.T, f Format, h Head, rows [][]Term) []byte {
	t.Helper()
	var b bytes.Buffer
	w := NewWriter(f, &b)
	err := w.Head(h)
	for _, row := range rows {
		err = errors.Join(err, w.Row(row))
	}
	if err = errors.Join(err, w.Close()); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func readAll(r Reader) (h Head, rows [][]Term, err error) {
	if h, err = r.Head(); err != nil {
		return h, nil, err
	}
	for {
		row, err := r.Next()
		if err == io.EOF { //nolint:errorlint // an error that wraps io.EOF means a truncated result
			return h, rows, nil
		}
		if err != nil {
			return h, rows, err
		}
		rows = append(rows, append([]Term{}, row...))
	}
}

func TestWhatIsWrittenIsReadBack(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 7))
	for range 400 {
		h, rows := randomResult(r)
		for _, f := range []Format{JSON, XML, TSV} {
			text := encode(t, f, h, rows)
			gotHead, got, err := readAll(NewReader(f, bytes.NewReader(text)))
			if f == XML { // XML parsers normalize an unescaped CR in text; the writer escapes it, so nothing is lost
				err = errors.Join(err)
			}
			if err != nil || !reflect.DeepEqual(gotHead, h) || !reflect.DeepEqual(got, rows) {
				t.Fatalf("%d: %v\n%s\n%+v\n%+v", f, err, text, got, rows)
			}
			for _, to := range formats { // and converted to any other format while read
				var direct, converted = encode(t, to, h, rows), new(bytes.Buffer)
				n, err := Copy(NewWriter(to, converted), NewReader(f, bytes.NewReader(text)))
				if err != nil || n != len(rows) || !bytes.Equal(converted.Bytes(), direct) {
					t.Fatalf("%d to %d: %v\n%s\n%s", f, to, err, converted, direct)
				}
			}
		}
		h2, rows2, err := readAll(NewReader(CSV, bytes.NewReader(encode(t, CSV, h, rows))))
		if err != nil || len(rows2) != len(rows) && len(h.Vars) > 1 || !reflect.DeepEqual(h2, h) {
			t.Fatalf("CSV: %v, %d rows of %d", err, len(rows2), len(rows))
		}
	}
}

// A result truncated at any byte must be rejected. CSV, and TSV truncated between two lines, cannot show it; there the
// length of the HTTP body has to.
func TestACutResultIsNoResult(t *testing.T) {
	h := Head{Vars: []string{"x", "y"}}
	rows := [][]Term{
		{{Kind: IRI, Value: "http://a"}, {}},
		{{Kind: Literal, Value: "b", Lang: "en"}, {Kind: Literal, Value: "c"}},
	}
	for _, f := range []Format{JSON, XML, TSV} {
		for _, full := range [][]byte{encode(t, f, h, rows), encode(t, min(f, XML), Head{Ask: true, Boolean: true}, nil)} {
			last := len(bytes.TrimRight(full, "\n"))
			for n := range last {
				if f == TSV && (n > 0 && full[n-1] == '\n' || full[0] == '<') {
					continue
				}
				if _, _, err := readAll(NewReader(f, bytes.NewReader(full[:n]))); err == nil {
					t.Fatalf("%d: accepted as complete after %d of %d bytes: %s", f, n, last, full[:n])
				}
			}
			if f != TSV {
				if _, _, err := readAll(NewReader(f, io.MultiReader(bytes.NewReader(full), strings.NewReader("x")))); err == nil {
					t.Errorf("%d: data after the end was accepted", f)
				}
			}
		}
	}
	for _, f := range formats { // the source fails after any number of bytes
		full := encode(t, f, h, rows)
		for n := range len(full) + 1 {
			broken := io.MultiReader(bytes.NewReader(full[:n]), failingReader{})
			if _, _, err := readAll(NewReader(f, broken)); err == nil {
				t.Fatalf("%d: source failed after %d of %d bytes, but the result was accepted", f, n, len(full))
			}
		}
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("reset") }

func TestMalformedResultsAreRejected(t *testing.T) {
	for _, c := range []struct {
		f    Format
		text string
	}{
		{JSON, `[]`},
		{JSON, `{}`},
		{JSON, `{"results":{"bindings":[]},"head":{"vars":[]}}`},
		{JSON, `{"head":{"vars":["x","x"]},"results":{"bindings":[]}}`},
		{JSON, `{"head":{"vars":["x"]},"results":{"bindings":[{"y":{"type":"uri","value":"a"}}]}}`},
		{JSON, `{"head":{"vars":["x"]},"results":{"bindings":[{"x":{"type":"uri"}}]}}`},
		{JSON, `{"head":{"vars":["x"]},"results":{"bindings":[{"x":{"type":"other","value":"a"}}]}}`},
		{JSON, `{"head":{"vars":["x"]},"results":{"bindings":[{"x":{"type":"literal","value":"a",` +
			`"xml:lang":"e","datatype":"d"}}]}}`},
		{JSON, `{"head":{"vars":["x"]},"results":{"bindings":[],"bindings":[]}}`},
		{JSON, `{"head":{},"boolean":true,"boolean":false}`},
		{JSON, `{"head":{"vars":["x"]},"boolean":true}`},
		{JSON, `{"head":{"vars":["x"]},"results":{}}`},
		{JSON, strings.Repeat("[", 100000)},
		{XML, `<sparql/>`}, {XML, `<sparql xmlns="` + xmlNamespace + `"><head/><other/></sparql>`},
		{XML, `<sparql xmlns="` + xmlNamespace + `"><head><variable name="x"/></head><results>` +
			`<result><binding name="y"><uri>a</uri></binding></result></results></sparql>`},
		{XML, `<sparql xmlns="` + xmlNamespace + `"><head><variable name="x"/></head><results>` +
			`<result><binding name="x"><uri>a</uri><uri>b</uri></binding></result></results></sparql>`},
		{XML, `<sparql xmlns="` + xmlNamespace + `"><head/><boolean>maybe</boolean></sparql>`},
		{XML, `<!DOCTYPE s [<!ENTITY a "aaaa">]><sparql xmlns="` + xmlNamespace + `"><head/><boolean>&a;</boolean></sparql>`},
		{CSV, ""}, {CSV, "x,x\n"}, {CSV, "x,y\n1\n"}, {CSV, "x\n\"a\n"},
		{TSV, ""},
		{TSV, "x\n"},
		{TSV, "?x\n1\t2\n"},
		{TSV, "?x\t?y\n1\n"},
		{TSV, "?x\n\"a\n"},
		{TSV, "?x\nabc\n"},
		{TSV, "?x\n<a\n"},
		{TSV, "?x\n\"a\"@\n"},
	} {
		if _, rows, err := readAll(NewReader(c.f, strings.NewReader(c.text))); err == nil {
			t.Errorf("%d: %.200s: %d rows, no error", c.f, c.text, len(rows))
		}
	}
}

// endlessReader returns a given start, then the same byte without end. A row or head of unlimited length must not be
// read into memory.
type endlessReader struct {
	start io.Reader
	read  int
}

func (e *endlessReader) Read(p []byte) (int, error) {
	if n, err := e.start.Read(p); err == nil {
		return n, nil
	}
	for i := range p {
		p[i] = 'a'
	}
	e.read += len(p)
	return len(p), nil
}

func TestARowWithoutEndIsBounded(t *testing.T) {
	for f, starts := range map[Format][]string{
		JSON: {`{"head":{"vars":["`, `{"head":{"vars":["x"]},"results":{"bindings":[{"x":{"type":"literal","value":"`},
		XML: {
			`<sparql xmlns="` + xmlNamespace + `"><head><variable name="`,
			`<sparql xmlns="` + xmlNamespace + `"><head><variable name="x"/></head>` +
				`<results><result><binding name="x"><literal>`,
		},
		CSV: {"", "x\n"}, TSV: {"?", "?x\n\""}} {
		for _, start := range starts {
			e := &endlessReader{start: strings.NewReader(start)}
			if _, _, err := readAll(NewReader(f, e)); !errors.Is(err, ErrTooLarge) || e.read > 2*MaxRow {
				t.Errorf("%d: %s...: %v after %d bytes", f, start, err, e.read)
			}
		}
	}
}

func TestFormatsAreNegotiatedByWeight(t *testing.T) {
	types := []string{JSON.MediaType(), XML.MediaType(), CSV.MediaType(), TSV.MediaType()}
	for accept, want := range map[string]string{
		"": types[0], "*/*": types[0], "text/csv": types[2], "text/*": types[2],
		"text/*;q=0.5, application/sparql-results+xml;q=0.6": types[1],
		"text/csv;q=0.1, */*;q=0.5":                          types[0], "*/*, application/sparql-results+json;q=0": types[1],
		"text/*, text/csv;q=0.2":         types[3],
		"APPLICATION/SPARQL-RESULTS+XML": types[1], "image/png": "", "text/csv;q=0": "", "text/csv;q=2": "",
		"nonsense": "", "*/csv": "",
		strings.Repeat("a/b,", 100) + "*/*": "",
	} {
		if got, ok := Negotiate(accept, types); got != want || ok != (want != "") {
			t.Errorf("%.60q: %q", accept, got)
		}
	}
}

func FuzzReaders(f *testing.F) {
	r := rand.New(rand.NewPCG(5, 5))
	for range 6 {
		h, rows := randomResult(r)
		for _, format := range formats {
			var b bytes.Buffer
			w := NewWriter(format, &b)
			if err := w.Head(h); err != nil {
				f.Fatal(err)
			}
			for _, row := range rows {
				if err := w.Row(row); err != nil {
					f.Fatal(err)
				}
			}
			w.Close()
			f.Add(uint8(format), b.Bytes())
		}
	}
	f.Fuzz(func(t *testing.T, format uint8, text []byte) {
		from := Format(format % 4)
		h, rows, err := readAll(NewReader(from, bytes.NewReader(text)))
		if err != nil || h.Ask {
			return
		}
		for _, to := range []Format{JSON, TSV} { // a complete result can be written and read again
			if to == TSV && strings.ContainsAny(strings.Join(h.Vars, ""), "\t\r\n") {
				continue
			}
			var b bytes.Buffer
			if _, err := Copy(NewWriter(to, &b), NewReader(from, bytes.NewReader(text))); err != nil {
				t.Fatal(err)
			}
			_, again, err := readAll(NewReader(to, &b))
			if to == JSON && (err != nil || len(again) != len(rows)) {
				t.Fatalf("%v: %d rows, then %d", err, len(rows), len(again))
			}
		}
	})
}

package syntax

import (
	"hash"
	"net/url"
	"strconv"
	"strings"
)

// parser is a recursive descent parser: a function for each production of the grammar, which stands above it. Its
// functions leave by panic with a parseFailure, which Parse recovers.
type parser struct {
	lexer
	statement     *Statement
	base          string
	prefixes      map[string]string
	fingerprint   hash.Hash64
	depth         int // of nested groups, paths, expressions and lists
	graphs        int // named so far
	subqueryDepth int // only limits at 0 count
}

// advance reads the next token and adds the one that it stands for to the fingerprint.
func (p *parser) advance() {
	p.readToken()
	p.fingerprint.Write([]byte{byte(p.token.kind)})
	p.fingerprint.Write([]byte(p.token.normalized()))
	p.fingerprint.Write([]byte{0})
}

// normalized is the text of a token without what texts of one fingerprint may differ in.
func (t token) normalized() string {
	switch t.kind {
	case literal, langTag:
		return "L"
	case number:
		return "N"
	case variable, blank:
		return "V"
	case keyword:
		return strings.ToUpper(t.text)
	}
	return t.text
}

// maxQuoted bounds how many bytes of the text an error quotes.
const maxQuoted = 30

// unexpected fails at the present token.
func (p *parser) unexpected(wanted string) {
	found := "the end"
	if p.token.kind != end {
		stop := min(p.pos, p.token.at+maxQuoted)
		found = strconv.Quote(p.text[p.token.at:stop])
	}
	p.fail(p.token.at, "%s where %s is wanted", found, wanted)
}

func (p *parser) isPunct(sign string) bool { return p.token.kind == punct && p.token.text == sign }

func (p *parser) isKeyword(name string) bool {
	return p.token.kind == keyword && strings.EqualFold(p.token.text, name)
}

func (p *parser) isAnyKeyword(names ...string) bool {
	for _, name := range names {
		if p.isKeyword(name) {
			return true
		}
	}
	return false
}

func (p *parser) isIRI() bool { return p.token.kind == iriRef || p.token.kind == prefixedName }

// accept reads a sign if it is the present token.
func (p *parser) accept(sign string) bool {
	if !p.isPunct(sign) {
		return false
	}
	p.advance()
	return true
}

// acceptKeyword reads a keyword if it is the present token.
func (p *parser) acceptKeyword(name string) bool {
	if !p.isKeyword(name) {
		return false
	}
	p.advance()
	return true
}

func (p *parser) expect(sign string) {
	if !p.accept(sign) {
		p.unexpected(strconv.Quote(sign))
	}
}

func (p *parser) expectKeyword(name string) {
	if !p.acceptKeyword(name) {
		p.unexpected(name)
	}
}

func (p *parser) expectVariable() {
	if p.token.kind != variable {
		p.unexpected("a variable")
	}
	p.advance()
}

func (p *parser) expectIRIRef() string {
	if p.token.kind != iriRef {
		p.unexpected("an IRI in <>")
	}
	iri := p.resolve(p.token.text, p.token.at)
	p.advance()
	return iri
}

// nested parses what stands inside something else, and bounds how deep.
func (p *parser) nested(inner func()) {
	p.depth++
	if p.depth > MaxDepth {
		p.fail(p.token.at, "over %d levels in each other", MaxDepth)
	}
	inner()
	p.depth--
}

// iri reads an IRI and returns it with prefix and base resolved.
func (p *parser) iri() string {
	switch p.token.kind {
	case iriRef:
		return p.expectIRIRef()
	case prefixedName:
		prefix, local, _ := strings.Cut(p.token.text, ":")
		namespace, known := p.prefixes[prefix]
		if !known {
			p.fail(p.token.at, "prefix %q is not declared", prefix+":")
		}
		p.advance()
		return namespace + unescape(local)
	}
	p.unexpected("an IRI")
	return ""
}

// unescape removes the backslashes of a local name.
func unescape(local string) string {
	if strings.IndexByte(local, '\\') < 0 {
		return local
	}
	var unescaped strings.Builder
	for i := 0; i < len(local); i++ {
		if local[i] == '\\' && i+1 < len(local) {
			i++
		}
		unescaped.WriteByte(local[i])
	}
	return unescaped.String()
}

// resolve returns a reference resolved against the base, if there is one.
func (p *parser) resolve(ref string, at int) string {
	if p.base == "" {
		return ref
	}
	resolved, err := resolveReference(p.base, ref)
	if err != nil {
		p.fail(at, "an IRI that cannot be resolved")
	}
	return resolved
}

func resolveReference(base, ref string) (string, error) {
	parsed, err := url.Parse(base)
	if err != nil {
		return "", err
	}
	resolved, err := parsed.Parse(ref)
	if err != nil {
		return "", err
	}
	if strings.HasSuffix(ref, "#") { // net/url drops an empty fragment, which namespaces end in
		return resolved.String() + "#", nil
	}
	return resolved.String(), nil
}

// addRead adds a graph that the statement reads.
func (p *parser) addRead(graph string) {
	p.statement.Reads = append(p.statement.Reads, p.countGraph(graph))
}

// addWrite adds a graph that the statement writes.
func (p *parser) addWrite(graph string) {
	p.statement.Writes = append(p.statement.Writes, p.countGraph(graph))
}

// countGraph bounds how many graphs and services a text names.
func (p *parser) countGraph(graph string) string {
	p.graphs++
	if p.graphs > MaxGraphs {
		p.fail(p.token.at, "over %d graphs", MaxGraphs)
	}
	return graph
}

func (p *parser) integer() int64 {
	value, err := strconv.ParseInt(p.token.text, 10, 64)
	if p.token.kind != number || err != nil {
		p.unexpected("a whole number")
	}
	p.advance()
	return value
}

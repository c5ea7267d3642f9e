package syntax

import (
	"hash"
	"net/url"
	"strconv"
	"strings"
)

// parser is a recursive descent parser with a method for each production of the grammar, quoted in its comment.
// Errors are panics with a parseFailure, which Parse recovers.
type parser struct {
	lexer
	statement     *Statement
	base          string
	prefixes      map[string]string
	fingerprint   hash.Hash64
	depth         int // of nested groups, paths, expressions and lists
	graphCount    int // graphs and services named so far
	subqueryDepth int // a LIMIT is recorded only at depth 0
}

// advance reads the next token and adds its normalized text to the fingerprint.
func (p *parser) advance() {
	p.readToken()
	p.fingerprint.Write([]byte{byte(p.token.kind)})
	p.fingerprint.Write([]byte(p.token.normalized()))
	p.fingerprint.Write([]byte{0})
}

// normalized returns the token's text without the details that do not affect the fingerprint: literals, numbers, names
// of variables and blank nodes, and the case of keywords.
func (t token) normalized() string {
	switch t.kind {
	case literal, langTag:
		return "L"
	case number:
		return "N"
	case variable, blankNode:
		return "V"
	case keyword:
		return strings.ToUpper(t.text)
	}
	return t.text
}

// maxQuotedBytes limits the part of the text that an error quotes.
const maxQuotedBytes = 30

// unexpected fails at the current token.
func (p *parser) unexpected(wanted string) {
	found := "the end"
	if p.token.kind != endOfText {
		stop := min(p.pos, p.token.offset+maxQuotedBytes)
		found = strconv.Quote(p.text[p.token.offset:stop])
	}
	p.fail(p.token.offset, "%s where %s is wanted", found, wanted)
}

func (p *parser) isPunct(symbol string) bool { return p.token.kind == punct && p.token.text == symbol }

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

// accept consumes the current token if it is the given symbol.
func (p *parser) accept(symbol string) bool {
	if !p.isPunct(symbol) {
		return false
	}
	p.advance()
	return true
}

// acceptKeyword consumes the current token if it is the given keyword.
func (p *parser) acceptKeyword(name string) bool {
	if !p.isKeyword(name) {
		return false
	}
	p.advance()
	return true
}

func (p *parser) expect(symbol string) {
	if !p.accept(symbol) {
		p.unexpected(strconv.Quote(symbol))
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
	iri := p.resolve(p.token.text, p.token.offset)
	p.advance()
	return iri
}

// nested parses a nested element and limits the nesting depth.
func (p *parser) nested(inner func()) {
	p.depth++
	if p.depth > MaxDepth {
		p.fail(p.token.offset, "over %d levels in each other", MaxDepth)
	}
	inner()
	p.depth--
}

// iri consumes an IRI or prefixed name and returns it resolved against the prefixes and the base.
func (p *parser) iri() string {
	switch p.token.kind {
	case iriRef:
		return p.expectIRIRef()
	case prefixedName:
		prefix, local, _ := strings.Cut(p.token.text, ":")
		namespace, known := p.prefixes[prefix]
		if !known {
			p.fail(p.token.offset, "prefix %q is not declared", prefix+":")
		}
		p.advance()
		return namespace + unescape(local)
	}
	p.unexpected("an IRI")
	return ""
}

// unescape resolves the backslash escapes of a local name.
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

// resolve resolves an IRI reference against the base, if there is one.
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
	if strings.HasSuffix(ref, "#") { // net/url drops an empty fragment, with which many namespaces end
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

// countGraph limits the number of graphs and services that a text names.
func (p *parser) countGraph(graph string) string {
	p.graphCount++
	if p.graphCount > MaxGraphs {
		p.fail(p.token.offset, "over %d graphs", MaxGraphs)
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

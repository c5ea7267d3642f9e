package syntax

import (
	"hash"
	"net/url"
	"strconv"
	"strings"
)

// parser goes by the grammar's productions, which stand at its functions.
type parser struct {
	lexer
	s        *Statement
	base     string
	prefixes map[string]string
	shape    hash.Hash64
	depth    int
	graphs   int
	outer    int // subqueries around; limits count at 0
}

func (p *parser) advance() {
	p.next()
	mark := p.tok.text
	switch p.tok.kind {
	case literal, langTag:
		mark = "L"
	case number:
		mark = "N"
	case variable, blank:
		mark = "V"
	case word:
		mark = strings.ToUpper(mark)
	}
	p.shape.Write([]byte{byte(p.tok.kind)})
	p.shape.Write([]byte(mark))
	p.shape.Write([]byte{0})
}

func (p *parser) unexpected(wanted string) {
	found := "the end"
	if p.tok.kind != end {
		stop := p.pos
		if stop-p.tok.at > 30 {
			stop = p.tok.at + 30
		}
		found = strconv.Quote(p.text[p.tok.at:stop])
	}
	p.fail(p.tok.at, "%s where %s is wanted", found, wanted)
}

func (p *parser) is(sign string) bool  { return p.tok.kind == punct && p.tok.text == sign }
func (p *parser) isWord(w string) bool { return p.tok.kind == word && strings.EqualFold(p.tok.text, w) }

func (p *parser) oneOf(words ...string) bool {
	for _, w := range words {
		if p.isWord(w) {
			return true
		}
	}
	return false
}

// has takes a sign if it stands here.
func (p *parser) has(sign string) bool {
	if p.is(sign) {
		p.advance()
		return true
	}
	return false
}

func (p *parser) hasWord(w string) bool {
	if p.isWord(w) {
		p.advance()
		return true
	}
	return false
}

func (p *parser) want(sign string) {
	if !p.has(sign) {
		p.unexpected(strconv.Quote(sign))
	}
}

func (p *parser) wantWord(w string) {
	if !p.hasWord(w) {
		p.unexpected(w)
	}
}

// within counts what stands in each other.
func (p *parser) within(inner func()) {
	if p.depth++; p.depth > MostDepth {
		p.fail(p.tok.at, "over %d levels in each other", MostDepth)
	}
	inner()
	p.depth--
}

// iri takes one, and gives it whole: prefixes and base resolved.
func (p *parser) iri() string {
	switch p.tok.kind {
	case iriRef:
		text := p.resolve(p.tok.text, p.tok.at)
		p.advance()
		return text
	case name:
		prefix, local, _ := strings.Cut(p.tok.text, ":")
		full, known := p.prefixes[prefix]
		if !known {
			p.fail(p.tok.at, "prefix %q is not declared", prefix+":")
		}
		p.advance()
		return full + unescape(local)
	}
	p.unexpected("an IRI")
	return ""
}

func unescape(local string) string {
	if strings.IndexByte(local, '\\') < 0 {
		return local
	}
	var b strings.Builder
	for i := 0; i < len(local); i++ {
		if local[i] == '\\' && i+1 < len(local) {
			i++
		}
		b.WriteByte(local[i])
	}
	return b.String()
}

func (p *parser) resolve(ref string, at int) string {
	if p.base == "" {
		return ref
	}
	base, err := url.Parse(p.base)
	if err == nil {
		var u *url.URL
		if u, err = base.Parse(ref); err == nil {
			if strings.HasSuffix(ref, "#") { // net/url drops an empty fragment, which namespaces end in
				return u.String() + "#"
			}
			return u.String()
		}
	}
	p.fail(at, "an IRI that cannot be resolved")
	return ""
}

func (p *parser) isIRI() bool { return p.tok.kind == iriRef || p.tok.kind == name }

// Prologue ::= ( BaseDecl | PrefixDecl )*
func (p *parser) prologue() {
	for {
		switch {
		case p.hasWord("BASE"):
			if p.tok.kind != iriRef {
				p.unexpected("an IRI in <>")
			}
			p.base = p.resolve(p.tok.text, p.tok.at)
			p.advance()
		case p.hasWord("PREFIX"):
			if p.tok.kind != name || !strings.HasSuffix(p.tok.text, ":") || strings.Count(p.tok.text, ":") != 1 {
				p.unexpected("a prefix with its colon")
			}
			prefix := strings.TrimSuffix(p.tok.text, ":")
			if len(p.prefixes) >= MostGraphs {
				p.fail(p.tok.at, "over %d prefixes", MostGraphs)
			}
			if p.advance(); p.tok.kind != iriRef {
				p.unexpected("an IRI in <>")
			}
			p.prefixes[prefix] = p.resolve(p.tok.text, p.tok.at)
			p.advance()
		default:
			return
		}
	}
}

// Query ::= Prologue ( SelectQuery | ConstructQuery | DescribeQuery | AskQuery ) ValuesClause
func (p *parser) query() {
	p.prologue()
	switch {
	case p.isWord("SELECT"):
		p.s.Form = Select
		p.selectClause()
		p.dataset("FROM")
		p.where()
	case p.hasWord("CONSTRUCT"):
		p.s.Form = Construct
		p.construct()
	case p.hasWord("DESCRIBE"):
		p.s.Form = Describe
		if !p.has("*") {
			p.varOrIRI()
			for p.tok.kind == variable || p.isIRI() {
				p.varOrIRI()
			}
		}
		p.dataset("FROM")
		if p.isWord("WHERE") || p.is("{") {
			p.where()
		}
	case p.hasWord("ASK"):
		p.s.Form = Ask
		p.dataset("FROM")
		p.where()
	default:
		p.unexpected("SELECT, CONSTRUCT, DESCRIBE or ASK")
	}
	p.modifiers()
	p.values()
	if len(p.s.Reads) == 0 {
		p.s.ReadsDefault = true
	}
}

// SelectClause ::= 'SELECT' ( 'DISTINCT' | 'REDUCED' )? ( ( Var | '(' Expression 'AS' Var ')' )+ | '*' )
func (p *parser) selectClause() {
	p.wantWord("SELECT")
	if p.hasWord("DISTINCT") {
		p.s.Cost.Sorts++
	} else {
		p.hasWord("REDUCED")
	}
	if p.has("*") {
		return
	}
	for n := 0; ; n++ {
		switch {
		case p.tok.kind == variable:
			p.advance()
		case p.has("("):
			p.expression()
			p.as()
			p.want(")")
		case n == 0:
			p.unexpected("a variable or *")
		default:
			return
		}
	}
}

func (p *parser) as() {
	p.wantWord("AS")
	p.wantVariable()
}

func (p *parser) wantVariable() {
	if p.tok.kind != variable {
		p.unexpected("a variable")
	}
	p.advance()
}

// ConstructQuery ::= 'CONSTRUCT' ( ConstructTemplate DatasetClause* WhereClause SolutionModifier |
// DatasetClause* 'WHERE' '{' TriplesTemplate? '}' SolutionModifier )
func (p *parser) construct() {
	if p.has("{") {
		p.triples(terms{vars: true, blanks: true}, false)
		p.want("}")
		p.dataset("FROM")
		p.where()
		return
	}
	p.dataset("FROM")
	p.wantWord("WHERE")
	p.want("{")
	p.triples(terms{vars: true, blanks: true}, true)
	p.want("}")
}

// DatasetClause ::= 'FROM' ( iri | 'NAMED' iri ), and UsingClause
func (p *parser) dataset(word string) {
	for p.hasWord(word) {
		p.s.Dataset = true
		p.hasWord("NAMED")
		p.reads(p.iri())
	}
}

func (p *parser) reads(graph string)  { p.s.Reads = append(p.s.Reads, p.one(graph)) }
func (p *parser) writes(graph string) { p.s.Writes = append(p.s.Writes, p.one(graph)) }

func (p *parser) one(graph string) string {
	if p.graphs++; p.graphs > MostGraphs {
		p.fail(p.tok.at, "over %d graphs", MostGraphs)
	}
	return graph
}

// WhereClause ::= 'WHERE'? GroupGraphPattern
func (p *parser) where() {
	p.hasWord("WHERE")
	p.group()
}

// SolutionModifier ::= GroupClause? HavingClause? OrderClause? LimitOffsetClauses?
func (p *parser) modifiers() {
	if p.hasWord("GROUP") {
		p.s.Cost.Sorts++
		p.wantWord("BY")
		for n := 0; ; n++ {
			switch {
			case p.tok.kind == variable:
				p.advance()
			case p.has("("):
				p.expression()
				if p.isWord("AS") {
					p.as()
				}
				p.want(")")
			case p.isCall():
				p.call()
			case n == 0:
				p.unexpected("what to group by")
			default:
				n = -2
			}
			if n < 0 {
				break
			}
		}
	}
	if p.hasWord("HAVING") {
		p.constraint()
		for p.is("(") || p.isCall() {
			p.constraint()
		}
	}
	if p.hasWord("ORDER") {
		p.s.Cost.Sorts++
		p.wantWord("BY")
		for n := 0; ; n++ {
			switch {
			case p.tok.kind == variable:
				p.advance()
				continue
			case p.oneOf("ASC", "DESC"):
				p.advance()
				p.bracketted()
				continue
			case p.is("(") || p.isCall():
				p.constraint()
				continue
			case n == 0:
				p.unexpected("what to order by")
			}
			break
		}
	}
	for limit, offset := false, false; ; {
		switch {
		case !limit && p.hasWord("LIMIT"):
			limit = true
			if n := p.integer(); p.outer == 0 {
				p.s.Cost.Limit = n
			}
			continue
		case !offset && p.hasWord("OFFSET"):
			offset = true
			p.integer()
			continue
		}
		return
	}
}

func (p *parser) integer() int64 {
	n, err := strconv.ParseInt(p.tok.text, 10, 64)
	if p.tok.kind != number || err != nil {
		p.unexpected("a whole number")
	}
	p.advance()
	return n
}

// ValuesClause ::= ( 'VALUES' DataBlock )?
func (p *parser) values() {
	if p.hasWord("VALUES") {
		p.dataBlock()
	}
}

// DataBlock ::= Var '{' DataBlockValue* '}' | ( NIL | '(' Var* ')' ) '{' ( '(' DataBlockValue* ')' | NIL )* '}'
func (p *parser) dataBlock() {
	value := func() {
		if p.hasWord("UNDEF") {
			return
		}
		p.term(terms{}, false)
	}
	if p.tok.kind == variable {
		p.advance()
		p.want("{")
		for !p.has("}") {
			p.s.Cost.Rows++
			value()
		}
		return
	}
	p.want("(")
	wide := 0
	for ; p.tok.kind == variable; wide++ {
		p.advance()
	}
	p.want(")")
	p.want("{")
	for !p.has("}") {
		at, n := p.tok.at, 0
		p.want("(")
		for ; !p.has(")"); n++ {
			value()
		}
		if n != wide {
			p.fail(at, "%d values for %d variables", n, wide)
		}
		p.s.Cost.Rows++
	}
}

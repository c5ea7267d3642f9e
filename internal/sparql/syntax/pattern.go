package syntax

// GroupGraphPattern ::= '{' ( SubSelect | GroupGraphPatternSub ) '}'
func (p *parser) group() {
	p.want("{")
	p.within(func() {
		if p.isWord("SELECT") {
			p.subSelect()
			return
		}
		p.groupInner()
	})
	p.want("}")
}

// SubSelect ::= SelectClause WhereClause SolutionModifier ValuesClause
func (p *parser) subSelect() {
	p.s.Cost.Subqueries++
	p.outer++
	p.selectClause()
	p.where()
	p.modifiers()
	p.values()
	p.outer--
}

// GroupGraphPatternSub ::= TriplesBlock? ( GraphPatternNotTriples '.'? TriplesBlock? )*
func (p *parser) groupInner() {
	in := terms{vars: true, blanks: true, paths: true}
	p.triples(in, true)
	for p.notTriples() {
		p.has(".")
		p.triples(in, true)
	}
}

// GraphPatternNotTriples ::= GroupOrUnionGraphPattern | OptionalGraphPattern | MinusGraphPattern | GraphGraphPattern |
// ServiceGraphPattern | Filter | Bind | InlineData
func (p *parser) notTriples() bool {
	switch {
	case p.is("{"):
		p.group()
		for p.hasWord("UNION") {
			p.s.Cost.Unions++
			p.group()
		}
	case p.oneOf("OPTIONAL", "MINUS"):
		p.s.Cost.Joins++
		p.advance()
		p.group()
	case p.hasWord("GRAPH"):
		if p.tok.kind == variable {
			p.s.ReadsAny = true
			p.advance()
		} else {
			p.reads(p.iri())
		}
		p.group()
	case p.hasWord("SERVICE"):
		p.hasWord("SILENT")
		if p.tok.kind == variable {
			p.s.Services = append(p.s.Services, p.one(""))
			p.advance()
		} else {
			p.s.Services = append(p.s.Services, p.one(p.iri()))
		}
		p.group()
	case p.hasWord("FILTER"):
		p.s.Cost.Filters++
		p.constraint()
	case p.hasWord("BIND"):
		p.want("(")
		p.expression()
		p.as()
		p.want(")")
	case p.hasWord("VALUES"):
		p.dataBlock()
	default:
		return false
	}
	return true
}

// terms is what may stand in triples.
type terms struct {
	vars, blanks, paths bool
	data                bool // counts as rows, not as patterns
}

// triples ::= ( TriplesSameSubject ( '.' triples? )? )?, as TriplesBlock, TriplesTemplate and ConstructTriples have it.
func (p *parser) triples(in terms, counted bool) {
	for p.startsTerm() {
		p.subject(in, counted)
		if !p.has(".") {
			return
		}
	}
}

// startsTerm tells whether a term, list or blank node begins here.
func (p *parser) startsTerm() bool {
	switch p.tok.kind {
	case iriRef, name, blank, variable, literal, number:
		return true
	case word:
		return p.oneOf("true", "false")
	}
	return p.is("(") || p.is("[") || p.is("+") || p.is("-")
}

// TriplesSameSubjectPath ::= VarOrTerm PropertyListPathNotEmpty | TriplesNodePath PropertyListPath
func (p *parser) subject(in terms, counted bool) {
	free, node := p.node(in, counted)
	if node && !p.startsVerb(in) {
		return
	}
	p.properties(in, free, counted)
}

// PropertyListPathNotEmpty ::= Verb ObjectList ( ';' ( Verb ObjectList )? )*
func (p *parser) properties(in terms, free int, counted bool) {
	p.verbObjects(in, free, counted)
	for p.has(";") {
		if p.startsVerb(in) {
			p.verbObjects(in, free, counted)
		}
	}
}

func (p *parser) startsVerb(in terms) bool {
	return p.isIRI() || p.tok.kind == variable || p.tok.kind == word && p.tok.text == "a" ||
		in.paths && (p.is("^") || p.is("!") || p.is("("))
}

func (p *parser) verbObjects(in terms, free int, counted bool) {
	if p.tok.kind == variable {
		p.mayVar(in)
		p.advance()
		free++
	} else if in.paths {
		p.path()
	} else {
		p.verb()
	}
	for {
		object, _ := p.node(in, counted)
		if in.data {
			p.s.Cost.Rows++
		} else if counted {
			p.s.Cost.Patterns++
			p.s.Cost.Free[free+object]++
		}
		if !p.has(",") {
			return
		}
	}
}

// verb ::= iri | 'a'
func (p *parser) verb() {
	if p.tok.kind == word && p.tok.text == "a" {
		p.advance()
		return
	}
	p.iri()
}

// node ::= VarOrTerm | Collection | BlankNodePropertyList; free: 1 where it is not bound; node: it has triples of its own.
func (p *parser) node(in terms, counted bool) (free int, node bool) {
	switch {
	case p.is("("):
		p.within(func() {
			p.advance()
			for n := 0; !p.has(")"); n++ {
				p.node(in, counted)
				node = true
			}
		})
		return 1, node
	case p.is("["):
		at := p.tok.at
		p.within(func() {
			p.advance()
			if p.has("]") {
				return
			}
			p.properties(in, 1, counted)
			p.want("]")
			node = true
		})
		if !in.blanks {
			p.fail(at, "no blank node may stand here")
		}
		return 1, node
	}
	return p.term(in, true), false
}

// term ::= iri | RDFLiteral | NumericLiteral | BooleanLiteral | BlankNode | Var, as far as they may stand here
func (p *parser) term(in terms, nodes bool) (free int) {
	switch {
	case p.tok.kind == variable:
		p.mayVar(in)
		p.advance()
		return 1
	case p.tok.kind == blank:
		if !in.blanks {
			p.fail(p.tok.at, "no blank node may stand here")
		}
		p.advance()
		return 1
	case p.isIRI():
		p.iri()
	case p.tok.kind == literal:
		p.literal()
	case p.tok.kind == number:
		p.advance()
	case p.is("+") || p.is("-"):
		if p.advance(); p.tok.kind != number || p.tok.spaced {
			p.unexpected("a number")
		}
		p.advance()
	case p.oneOf("true", "false"):
		p.advance()
	default:
		p.unexpected("a term")
	}
	return 0
}

func (p *parser) mayVar(in terms) {
	if !in.vars {
		p.fail(p.tok.at, "no variable may stand here")
	}
}

// RDFLiteral ::= String ( LANGTAG | ( '^^' iri ) )?
func (p *parser) literal() {
	p.advance()
	if p.tok.kind == langTag {
		p.advance()
	} else if p.has("^^") {
		p.iri()
	}
}

func (p *parser) varOrIRI() {
	if p.tok.kind == variable {
		p.advance()
		return
	}
	p.iri()
}

// Path ::= PathSequence ( '|' PathSequence )*; PathSequence ::= PathEltOrInverse ( '/' PathEltOrInverse )*
func (p *parser) path() {
	for {
		for {
			p.has("^")
			p.pathPrimary()
			switch {
			case p.has("*"), p.has("+"):
				p.s.Cost.Paths++
			default:
				p.has("?")
			}
			if !p.has("/") {
				break
			}
		}
		if !p.has("|") {
			return
		}
	}
}

// PathPrimary ::= iri | 'a' | '!' PathNegatedPropertySet | '(' Path ')'
func (p *parser) pathPrimary() {
	switch {
	case p.is("("):
		p.within(func() {
			p.advance()
			p.path()
		})
		p.want(")")
	case p.has("!"):
		one := func() {
			p.has("^")
			p.verb()
		}
		if !p.has("(") {
			one()
			return
		}
		if p.has(")") {
			return
		}
		one()
		for p.has("|") {
			one()
		}
		p.want(")")
	default:
		p.verb()
	}
}

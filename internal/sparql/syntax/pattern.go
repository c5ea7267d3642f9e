package syntax

// GroupGraphPattern ::= '{' ( SubSelect | GroupGraphPatternSub ) '}'
func (p *parser) group() {
	p.expect("{")
	p.nested(func() {
		if p.isKeyword("SELECT") {
			p.subSelect()
			return
		}
		p.groupInner()
	})
	p.expect("}")
}

// SubSelect ::= SelectClause WhereClause SolutionModifier ValuesClause
func (p *parser) subSelect() {
	p.statement.Cost.Subqueries++
	p.subqueryDepth++
	p.selectClause()
	p.where()
	p.solutionModifiers()
	p.values()
	p.subqueryDepth--
}

// GroupGraphPatternSub ::= TriplesBlock? ( GraphPatternNotTriples '.'? TriplesBlock? )*
func (p *parser) groupInner() {
	allowed := terms{vars: true, blanks: true, paths: true}
	p.triples(allowed, true)
	for p.notTriples() {
		p.accept(".")
		p.triples(allowed, true)
	}
}

// GraphPatternNotTriples ::= GroupOrUnionGraphPattern | OptionalGraphPattern | MinusGraphPattern | GraphGraphPattern |
// ServiceGraphPattern | Filter | Bind | InlineData.
func (p *parser) notTriples() bool {
	switch {
	case p.isPunct("{"):
		p.group()
		for p.acceptKeyword("UNION") {
			p.statement.Cost.Unions++
			p.group()
		}
	case p.isAnyKeyword("OPTIONAL", "MINUS"):
		p.statement.Cost.Joins++
		p.advance()
		p.group()
	case p.acceptKeyword("GRAPH"):
		p.graphPattern()
	case p.acceptKeyword("SERVICE"):
		p.servicePattern()
	case p.acceptKeyword("FILTER"):
		p.statement.Cost.Filters++
		p.constraint()
	case p.acceptKeyword("BIND"):
		p.expect("(")
		p.expression()
		p.as()
		p.expect(")")
	case p.acceptKeyword("VALUES"):
		p.dataBlock()
	default:
		return false
	}
	return true
}

// GraphGraphPattern ::= 'GRAPH' VarOrIri GroupGraphPattern, from the graph on.
func (p *parser) graphPattern() {
	if p.token.kind == variable {
		p.statement.ReadsAny = true
		p.advance()
	} else {
		p.addRead(p.iri())
	}
	p.group()
}

// ServiceGraphPattern ::= 'SERVICE' 'SILENT'? VarOrIri GroupGraphPattern, behind the first keyword.
func (p *parser) servicePattern() {
	p.acceptKeyword("SILENT")
	service := ""
	if p.token.kind == variable {
		p.countGraph("")
		p.advance()
	} else {
		service = p.countGraph(p.iri())
	}
	p.statement.Services = append(p.statement.Services, service)
	p.group()
}

// terms says which terms are allowed in triples, and how the triples count.
type terms struct {
	vars   bool
	blanks bool
	paths  bool
	data   bool // triples count as rows, not as patterns
}

// triples ::= ( TriplesSameSubject ( '.' triples? )? )?, as TriplesBlock, TriplesTemplate and ConstructTriples have it.
func (p *parser) triples(allowed terms, counted bool) {
	for p.startsTerm() {
		p.subject(allowed, counted)
		if !p.accept(".") {
			return
		}
	}
}

// startsTerm reports whether a term, list or blank node begins here.
func (p *parser) startsTerm() bool {
	switch p.token.kind {
	case iriRef, prefixedName, blank, variable, literal, number:
		return true
	case keyword:
		return p.isAnyKeyword("true", "false")
	}
	return p.isPunct("(") || p.isPunct("[") || p.isPunct("+") || p.isPunct("-")
}

// TriplesSameSubjectPath ::= VarOrTerm PropertyListPathNotEmpty | TriplesNodePath PropertyListPath
func (p *parser) subject(allowed terms, counted bool) {
	free, node := p.node(allowed, counted)
	if node && !p.startsVerb(allowed) {
		return
	}
	p.properties(allowed, free, counted)
}

// PropertyListPathNotEmpty ::= Verb ObjectList ( ';' ( Verb ObjectList )? )*
func (p *parser) properties(allowed terms, free int, counted bool) {
	p.verbObjects(allowed, free, counted)
	for p.accept(";") {
		if p.startsVerb(allowed) {
			p.verbObjects(allowed, free, counted)
		}
	}
}

func (p *parser) startsVerb(allowed terms) bool {
	return p.isIRI() || p.token.kind == variable || p.token.kind == keyword && p.token.text == "a" ||
		allowed.paths && (p.isPunct("^") || p.isPunct("!") || p.isPunct("("))
}

func (p *parser) verbObjects(allowed terms, free int, counted bool) {
	if p.token.kind == variable {
		p.requireVariableAllowed(allowed)
		p.advance()
		free++
	} else if allowed.paths {
		p.path()
	} else {
		p.verb()
	}
	for {
		object, _ := p.node(allowed, counted)
		if allowed.data {
			p.statement.Cost.Rows++
		} else if counted {
			p.statement.Cost.Patterns++
			p.statement.Cost.Free[free+object]++
		}
		if !p.accept(",") {
			return
		}
	}
}

// verb ::= iri | 'a'
func (p *parser) verb() {
	if p.token.kind == keyword && p.token.text == "a" {
		p.advance()
		return
	}
	p.iri()
}

// node ::= VarOrTerm | Collection | BlankNodePropertyList. Returns 1 where it is not bound, and whether it has triples
// of its own.
func (p *parser) node(allowed terms, counted bool) (free int, node bool) {
	switch {
	case p.isPunct("("):
		p.nested(func() {
			p.advance()
			for n := 0; !p.accept(")"); n++ {
				p.node(allowed, counted)
				node = true
			}
		})
		return 1, node
	case p.isPunct("["):
		at := p.token.at
		p.nested(func() {
			p.advance()
			if p.accept("]") {
				return
			}
			p.properties(allowed, 1, counted)
			p.expect("]")
			node = true
		})
		if !allowed.blanks {
			p.fail(at, "no blank node may stand here")
		}
		return 1, node
	}
	return p.term(allowed), false
}

// term ::= iri | RDFLiteral | NumericLiteral | BooleanLiteral | BlankNode | Var, as far as they may stand here
func (p *parser) term(allowed terms) (free int) {
	switch {
	case p.token.kind == variable:
		p.requireVariableAllowed(allowed)
		p.advance()
		return 1
	case p.token.kind == blank:
		if !allowed.blanks {
			p.fail(p.token.at, "no blank node may stand here")
		}
		p.advance()
		return 1
	case p.isIRI():
		p.iri()
	case p.token.kind == literal:
		p.literal()
	case p.token.kind == number:
		p.advance()
	case p.isPunct("+") || p.isPunct("-"):
		p.signedNumber()
	case p.isAnyKeyword("true", "false"):
		p.advance()
	default:
		p.unexpected("a term")
	}
	return 0
}

// signedNumber parses a sign and the number right behind it.
func (p *parser) signedNumber() {
	p.advance()
	if p.token.kind != number || p.token.spaced {
		p.unexpected("a number")
	}
	p.advance()
}

func (p *parser) requireVariableAllowed(allowed terms) {
	if !allowed.vars {
		p.fail(p.token.at, "no variable may stand here")
	}
}

// RDFLiteral ::= String ( LANGTAG | ( '^^' iri ) )?
func (p *parser) literal() {
	p.advance()
	if p.token.kind == langTag {
		p.advance()
	} else if p.accept("^^") {
		p.iri()
	}
}

func (p *parser) varOrIRI() {
	if p.token.kind == variable {
		p.advance()
		return
	}
	p.iri()
}

// Path ::= PathSequence ( '|' PathSequence )*; PathSequence ::= PathEltOrInverse ( '/' PathEltOrInverse )*
func (p *parser) path() {
	for {
		for {
			p.accept("^")
			p.pathPrimary()
			switch {
			case p.accept("*"), p.accept("+"):
				p.statement.Cost.Paths++
			default:
				p.accept("?")
			}
			if !p.accept("/") {
				break
			}
		}
		if !p.accept("|") {
			return
		}
	}
}

// PathPrimary ::= iri | 'a' | '!' PathNegatedPropertySet | '(' Path ')'
func (p *parser) pathPrimary() {
	switch {
	case p.isPunct("("):
		p.nested(func() {
			p.advance()
			p.path()
		})
		p.expect(")")
	case p.accept("!"):
		one := func() {
			p.accept("^")
			p.verb()
		}
		if !p.accept("(") {
			one()
			return
		}
		if p.accept(")") {
			return
		}
		one()
		for p.accept("|") {
			one()
		}
		p.expect(")")
	default:
		p.verb()
	}
}

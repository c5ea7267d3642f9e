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
	allowed := tripleRules{variables: true, blankNodes: true, paths: true}
	p.triples(allowed, true)
	for p.graphPatternNotTriples() {
		p.accept(".")
		p.triples(allowed, true)
	}
}

// GraphPatternNotTriples ::= GroupOrUnionGraphPattern | OptionalGraphPattern | MinusGraphPattern | GraphGraphPattern |
// ServiceGraphPattern | Filter | Bind | InlineData.
func (p *parser) graphPatternNotTriples() bool {
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
		p.asVariable()
		p.expect(")")
	case p.acceptKeyword("VALUES"):
		p.dataBlock()
	default:
		return false
	}
	return true
}

// GraphGraphPattern ::= 'GRAPH' VarOrIri GroupGraphPattern, after 'GRAPH'.
func (p *parser) graphPattern() {
	if p.token.kind == variable {
		p.statement.ReadsAny = true
		p.advance()
	} else {
		p.addRead(p.iri())
	}
	p.group()
}

// ServiceGraphPattern ::= 'SERVICE' 'SILENT'? VarOrIri GroupGraphPattern, after 'SERVICE'.
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

// tripleRules are the terms and paths that are allowed in triples, and how the triples are counted.
type tripleRules struct {
	variables  bool
	blankNodes bool
	paths      bool
	inlineData bool // triples count as rows, not as patterns
}

// triples ::= ( TriplesSameSubject ( '.' triples? )? )?, which covers TriplesBlock, TriplesTemplate and
// ConstructTriples. The triples are counted as patterns if counted is set.
func (p *parser) triples(allowed tripleRules, counted bool) {
	for p.startsTerm() {
		p.triplesSameSubject(allowed, counted)
		if !p.accept(".") {
			return
		}
	}
}

// startsTerm reports whether a term, list or blank node begins here.
func (p *parser) startsTerm() bool {
	switch p.token.kind {
	case iriRef, prefixedName, blankNode, variable, literal, number:
		return true
	case keyword:
		return p.isAnyKeyword("true", "false")
	}
	return p.isPunct("(") || p.isPunct("[") || p.isPunct("+") || p.isPunct("-")
}

// TriplesSameSubjectPath ::= VarOrTerm PropertyListPathNotEmpty | TriplesNodePath PropertyListPath
func (p *parser) triplesSameSubject(allowed tripleRules, counted bool) {
	variables, hasTriples := p.node(allowed, counted)
	if hasTriples && !p.startsVerb(allowed) {
		return
	}
	p.propertyList(allowed, variables, counted)
}

// PropertyListPathNotEmpty ::= Verb ObjectList ( ';' ( Verb ObjectList )? )*
func (p *parser) propertyList(allowed tripleRules, variables int, counted bool) {
	p.verbObjects(allowed, variables, counted)
	for p.accept(";") {
		if p.startsVerb(allowed) {
			p.verbObjects(allowed, variables, counted)
		}
	}
}

func (p *parser) startsVerb(allowed tripleRules) bool {
	return p.isIRI() || p.token.kind == variable || p.token.kind == keyword && p.token.text == "a" ||
		allowed.paths && (p.isPunct("^") || p.isPunct("!") || p.isPunct("("))
}

func (p *parser) verbObjects(allowed tripleRules, variables int, counted bool) {
	if p.token.kind == variable {
		p.requireVariableAllowed(allowed)
		p.advance()
		variables++
	} else if allowed.paths {
		p.path()
	} else {
		p.verb()
	}
	for {
		object, _ := p.node(allowed, counted)
		if allowed.inlineData {
			p.statement.Cost.Rows++
		} else if counted {
			p.statement.Cost.Patterns++
			p.statement.Cost.PatternsByVariables[variables+object]++
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

// node ::= VarOrTerm | Collection | BlankNodePropertyList. It returns 1 for a variable, blank node or collection, else
// 0, and whether the node has triples of its own.
func (p *parser) node(allowed tripleRules, counted bool) (variables int, hasTriples bool) {
	switch {
	case p.isPunct("("):
		p.nested(func() {
			p.advance()
			for n := 0; !p.accept(")"); n++ {
				p.node(allowed, counted)
				hasTriples = true
			}
		})
		return 1, hasTriples
	case p.isPunct("["):
		at := p.token.offset
		p.nested(func() {
			p.advance()
			if p.accept("]") {
				return
			}
			p.propertyList(allowed, 1, counted)
			p.expect("]")
			hasTriples = true
		})
		if !allowed.blankNodes {
			p.fail(at, "no blank node may stand here")
		}
		return 1, hasTriples
	}
	return p.term(allowed), false
}

// term ::= iri | RDFLiteral | NumericLiteral | BooleanLiteral | BlankNode | Var, as far as allowed. It returns 1 for a
// variable or blank node, else 0.
func (p *parser) term(allowed tripleRules) (variables int) {
	switch {
	case p.token.kind == variable:
		p.requireVariableAllowed(allowed)
		p.advance()
		return 1
	case p.token.kind == blankNode:
		if !allowed.blankNodes {
			p.fail(p.token.offset, "no blank node may stand here")
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

// signedNumber parses a sign and the number that follows it immediately.
func (p *parser) signedNumber() {
	p.advance()
	if p.token.kind != number || p.token.afterSpace {
		p.unexpected("a number")
	}
	p.advance()
}

func (p *parser) requireVariableAllowed(allowed tripleRules) {
	if !allowed.variables {
		p.fail(p.token.offset, "no variable may stand here")
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
		element := func() {
			p.accept("^")
			p.verb()
		}
		if !p.accept("(") {
			element()
			return
		}
		if p.accept(")") {
			return
		}
		element()
		for p.accept("|") {
			element()
		}
		p.expect(")")
	default:
		p.verb()
	}
}

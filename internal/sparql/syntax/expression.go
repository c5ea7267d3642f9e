package syntax

import "strings"

// isCall reports whether a BuiltInCall or FunctionCall begins here.
func (p *parser) isCall() bool {
	if p.isIRI() {
		return true
	}
	if p.token.kind != keyword {
		return false
	}
	name := strings.ToUpper(p.token.text)
	_, known := builtIns[name]
	return known || aggregates[name] || name == "EXISTS" || name == "NOT"
}

// Constraint ::= BrackettedExpression | BuiltInCall | FunctionCall
func (p *parser) constraint() {
	if p.isPunct("(") {
		p.bracketedExpression()
		return
	}
	if !p.isCall() {
		p.unexpected("a constraint")
	}
	p.call()
}

func (p *parser) bracketedExpression() {
	p.expect("(")
	p.expression()
	p.expect(")")
}

// call ::= BuiltInCall | iri ArgList
func (p *parser) call() {
	if p.isIRI() {
		p.iri()
		p.arguments(anyCount, true)
		return
	}
	name := strings.ToUpper(p.token.text)
	p.advance()
	count, known := builtIns[name]
	switch {
	case name == "NOT":
		p.expectKeyword("EXISTS")
		p.statement.Cost.Joins++
		p.group()
	case name == "EXISTS":
		p.statement.Cost.Joins++
		p.group()
	case aggregates[name]:
		p.aggregate(name)
	case name == "BOUND":
		p.expect("(")
		p.expectVariable()
		p.expect(")")
	case known:
		p.arguments(count, false)
	}
}

// arguments ::= NIL | '(' 'DISTINCT'? Expression ( ',' Expression )* ')'
func (p *parser) arguments(count argumentCount, distinct bool) {
	at := p.token.offset
	p.expect("(")
	if distinct {
		p.acceptKeyword("DISTINCT")
	}
	arguments := 0
	if !p.accept(")") {
		p.expression()
		arguments++
		for p.accept(",") {
			p.expression()
			arguments++
		}
		p.expect(")")
	}
	if !count.allows(arguments) {
		p.fail(at, "%d arguments", arguments)
	}
}

// Aggregate ::= NAME '(' 'DISTINCT'? ( '*' | Expression ) ')', after the name; GROUP_CONCAT may have a separator
func (p *parser) aggregate(name string) {
	p.statement.Cost.Aggregates++
	p.expect("(")
	p.acceptKeyword("DISTINCT")
	if name != "COUNT" || !p.accept("*") {
		p.expression()
	}
	if name == "GROUP_CONCAT" && p.accept(";") {
		p.expectKeyword("SEPARATOR")
		p.expect("=")
		if p.token.kind != literal {
			p.unexpected("a string")
		}
		p.advance()
	}
	p.expect(")")
}

// Expression ::= ConditionalOrExpression. By increasing precedence: ||, &&, relational, + and -, * and /, unary.
func (p *parser) expression() {
	p.nested(func() {
		p.conditionalAnd()
		for p.accept("||") {
			p.conditionalAnd()
		}
	})
}

func (p *parser) conditionalAnd() {
	p.relational()
	for p.accept("&&") {
		p.relational()
	}
}

func (p *parser) relational() {
	p.additive()
	for _, operator := range []string{"=", "!=", "<=", ">=", "<", ">"} {
		if p.accept(operator) {
			p.additive()
			return
		}
	}
	if p.acceptKeyword("NOT") {
		p.expectKeyword("IN")
		p.arguments(anyCount, false)
	} else if p.acceptKeyword("IN") {
		p.arguments(anyCount, false)
	}
}

func (p *parser) additive() {
	p.multiplicative()
	for p.accept("+") || p.accept("-") {
		p.multiplicative()
	}
}

func (p *parser) multiplicative() {
	p.unary()
	for p.accept("*") || p.accept("/") {
		p.unary()
	}
}

func (p *parser) unary() {
	if !p.accept("!") && !p.accept("+") {
		p.accept("-")
	}
	p.primary()
}

// PrimaryExpression ::= BrackettedExpression | BuiltInCall | iriOrFunction | RDFLiteral |
// NumericLiteral | BooleanLiteral | Var.
func (p *parser) primary() {
	switch {
	case p.isPunct("("):
		p.bracketedExpression()
	case p.token.kind == literal:
		p.literal()
	case p.token.kind == number || p.token.kind == variable || p.isAnyKeyword("true", "false"):
		p.advance()
	case p.isIRI():
		if p.iri(); p.isPunct("(") {
			p.arguments(anyCount, true)
		}
	case p.isCall():
		p.call()
	default:
		p.unexpected("an expression")
	}
}

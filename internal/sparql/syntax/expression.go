package syntax

import "strings"

// builtIns by their names: how many arguments at least and at most; -1: any number.
var builtIns = map[string][2]int{
	"STR": {1, 1}, "LANG": {1, 1}, "LANGMATCHES": {2, 2}, "DATATYPE": {1, 1}, "BOUND": {1, 1}, "IRI": {1, 1}, "URI": {1, 1}, "BNODE": {0, 1},
	"RAND": {0, 0}, "ABS": {1, 1}, "CEIL": {1, 1}, "FLOOR": {1, 1}, "ROUND": {1, 1}, "CONCAT": {0, -1}, "STRLEN": {1, 1}, "UCASE": {1, 1},
	"LCASE": {1, 1}, "ENCODE_FOR_URI": {1, 1}, "CONTAINS": {2, 2}, "STRSTARTS": {2, 2}, "STRENDS": {2, 2}, "STRBEFORE": {2, 2},
	"STRAFTER": {2, 2}, "YEAR": {1, 1}, "MONTH": {1, 1}, "DAY": {1, 1}, "HOURS": {1, 1}, "MINUTES": {1, 1}, "SECONDS": {1, 1},
	"TIMEZONE": {1, 1}, "TZ": {1, 1}, "NOW": {0, 0}, "UUID": {0, 0}, "STRUUID": {0, 0}, "MD5": {1, 1}, "SHA1": {1, 1}, "SHA256": {1, 1},
	"SHA384": {1, 1}, "SHA512": {1, 1}, "COALESCE": {0, -1}, "IF": {3, 3}, "STRLANG": {2, 2}, "STRDT": {2, 2}, "SAMETERM": {2, 2},
	"ISIRI": {1, 1}, "ISURI": {1, 1}, "ISBLANK": {1, 1}, "ISLITERAL": {1, 1}, "ISNUMERIC": {1, 1}, "REGEX": {2, 3}, "SUBSTR": {2, 3},
	"REPLACE": {3, 4},
}

var aggregates = map[string]bool{"COUNT": true, "SUM": true, "MIN": true, "MAX": true, "AVG": true, "SAMPLE": true, "GROUP_CONCAT": true}

// isCall tells whether a BuiltInCall or FunctionCall begins here.
func (p *parser) isCall() bool {
	if p.isIRI() {
		return true
	}
	if p.tok.kind != word {
		return false
	}
	up := strings.ToUpper(p.tok.text)
	_, known := builtIns[up]
	return known || aggregates[up] || up == "EXISTS" || up == "NOT"
}

// Constraint ::= BrackettedExpression | BuiltInCall | FunctionCall
func (p *parser) constraint() {
	if p.is("(") {
		p.bracketted()
		return
	}
	if !p.isCall() {
		p.unexpected("a constraint")
	}
	p.call()
}

func (p *parser) bracketted() {
	p.want("(")
	p.expression()
	p.want(")")
}

// call ::= BuiltInCall | iri ArgList
func (p *parser) call() {
	if p.isIRI() {
		p.iri()
		p.arguments(0, -1, true)
		return
	}
	up := strings.ToUpper(p.tok.text)
	p.advance()
	switch limits, known := builtIns[up]; {
	case up == "NOT":
		p.wantWord("EXISTS")
		p.s.Cost.Joins++
		p.group()
	case up == "EXISTS":
		p.s.Cost.Joins++
		p.group()
	case aggregates[up]:
		p.aggregate(up)
	case up == "BOUND":
		p.want("(")
		p.wantVariable()
		p.want(")")
	case known:
		p.arguments(limits[0], limits[1], false)
	}
}

// arguments ::= NIL | '(' 'DISTINCT'? Expression ( ',' Expression )* ')'
func (p *parser) arguments(least, most int, distinct bool) {
	at := p.tok.at
	p.want("(")
	n := 0
	if distinct {
		p.hasWord("DISTINCT")
	}
	if !p.has(")") {
		for {
			p.expression()
			if n++; !p.has(",") {
				break
			}
		}
		p.want(")")
	}
	if n < least || most >= 0 && n > most {
		p.fail(at, "%d arguments", n)
	}
}

// Aggregate ::= NAME '(' 'DISTINCT'? ( '*' | Expression ) ')', and GROUP_CONCAT with its separator
func (p *parser) aggregate(up string) {
	p.s.Cost.Aggregates++
	p.want("(")
	p.hasWord("DISTINCT")
	if up != "COUNT" || !p.has("*") {
		p.expression()
	}
	if up == "GROUP_CONCAT" && p.has(";") {
		p.wantWord("SEPARATOR")
		p.want("=")
		if p.tok.kind != literal {
			p.unexpected("a string")
		}
		p.advance()
	}
	p.want(")")
}

// Expression ::= ConditionalOrExpression, by precedence: || && relation + - * / unary
func (p *parser) expression() {
	p.within(func() {
		p.and()
		for p.has("||") {
			p.and()
		}
	})
}

func (p *parser) and() {
	p.relation()
	for p.has("&&") {
		p.relation()
	}
}

func (p *parser) relation() {
	p.sum()
	for _, sign := range []string{"=", "!=", "<=", ">=", "<", ">"} {
		if p.has(sign) {
			p.sum()
			return
		}
	}
	if p.hasWord("NOT") {
		p.wantWord("IN")
		p.arguments(0, -1, false)
	} else if p.hasWord("IN") {
		p.arguments(0, -1, false)
	}
}

func (p *parser) sum() {
	p.product()
	for p.has("+") || p.has("-") {
		p.product()
	}
}

func (p *parser) product() {
	p.unary()
	for p.has("*") || p.has("/") {
		p.unary()
	}
}

func (p *parser) unary() {
	if !p.has("!") && !p.has("+") {
		p.has("-")
	}
	p.primary()
}

// PrimaryExpression ::= BrackettedExpression | BuiltInCall | iriOrFunction | RDFLiteral | NumericLiteral | BooleanLiteral | Var
func (p *parser) primary() {
	switch {
	case p.is("("):
		p.bracketted()
	case p.tok.kind == literal:
		p.literal()
	case p.tok.kind == number || p.tok.kind == variable || p.oneOf("true", "false"):
		p.advance()
	case p.isIRI():
		if p.iri(); p.is("(") {
			p.arguments(0, -1, true)
		}
	case p.isCall():
		p.call()
	default:
		p.unexpected("an expression")
	}
}

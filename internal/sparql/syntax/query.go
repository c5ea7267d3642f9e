package syntax

import "strings"

// Prologue ::= ( BaseDecl | PrefixDecl )*
func (p *parser) prologue() {
	for {
		switch {
		case p.acceptKeyword("BASE"):
			p.base = p.expectIRIRef()
		case p.acceptKeyword("PREFIX"):
			p.prefixDeclaration()
		default:
			return
		}
	}
}

// PrefixDecl ::= 'PREFIX' PNAME_NS IRIREF, after 'PREFIX'.
func (p *parser) prefixDeclaration() {
	text := p.token.text
	if p.token.kind != prefixedName || !strings.HasSuffix(text, ":") || strings.Count(text, ":") != 1 {
		p.unexpected("a prefix with its colon")
	}
	if len(p.prefixes) >= MaxGraphs {
		p.fail(p.token.offset, "over %d prefixes", MaxGraphs)
	}
	p.advance()
	p.prefixes[strings.TrimSuffix(text, ":")] = p.expectIRIRef()
}

// Query ::= Prologue ( SelectQuery | ConstructQuery | DescribeQuery | AskQuery ) ValuesClause
func (p *parser) query() {
	p.prologue()
	switch {
	case p.isKeyword("SELECT"):
		p.statement.Form = Select
		p.selectClause()
		p.datasetClauses("FROM")
		p.where()
	case p.acceptKeyword("CONSTRUCT"):
		p.statement.Form = Construct
		p.construct()
	case p.acceptKeyword("DESCRIBE"):
		p.statement.Form = Describe
		p.describe()
	case p.acceptKeyword("ASK"):
		p.statement.Form = Ask
		p.datasetClauses("FROM")
		p.where()
	default:
		p.unexpected("SELECT, CONSTRUCT, DESCRIBE or ASK")
	}
	p.solutionModifiers()
	p.values()
	if len(p.statement.Reads) == 0 {
		p.statement.ReadsDefault = true
	}
}

// SelectClause ::= 'SELECT' ( 'DISTINCT' | 'REDUCED' )? ( ( Var | '(' Expression 'AS' Var ')' )+ | '*' )
func (p *parser) selectClause() {
	p.expectKeyword("SELECT")
	if p.acceptKeyword("DISTINCT") {
		p.statement.Cost.Sorts++
	} else {
		p.acceptKeyword("REDUCED")
	}
	if p.accept("*") {
		return
	}
	for columns := 0; ; columns++ {
		switch {
		case p.token.kind == variable:
			p.advance()
		case p.accept("("):
			p.expression()
			p.asVariable()
			p.expect(")")
		case columns == 0:
			p.unexpected("a variable or *")
		default:
			return
		}
	}
}

func (p *parser) asVariable() {
	p.expectKeyword("AS")
	p.expectVariable()
}

// ConstructQuery ::= 'CONSTRUCT' ( ConstructTemplate DatasetClause* WhereClause SolutionModifier |
// DatasetClause* 'WHERE' '{' TriplesTemplate? '}' SolutionModifier ).
func (p *parser) construct() {
	if p.accept("{") {
		p.triples(tripleRules{variables: true, blankNodes: true}, false)
		p.expect("}")
		p.datasetClauses("FROM")
		p.where()
		return
	}
	p.datasetClauses("FROM")
	p.expectKeyword("WHERE")
	p.expect("{")
	p.triples(tripleRules{variables: true, blankNodes: true}, true)
	p.expect("}")
}

// DescribeQuery ::= 'DESCRIBE' ( VarOrIri+ | '*' ) DatasetClause* WhereClause? SolutionModifier
func (p *parser) describe() {
	if !p.accept("*") {
		p.varOrIRI()
		for p.token.kind == variable || p.isIRI() {
			p.varOrIRI()
		}
	}
	p.datasetClauses("FROM")
	if p.isKeyword("WHERE") || p.isPunct("{") {
		p.where()
	}
}

// DatasetClause* ::= ( 'FROM' ( iri | 'NAMED' iri ) )*, and UsingClause* with 'USING'
func (p *parser) datasetClauses(clause string) {
	for p.acceptKeyword(clause) {
		p.statement.HasDatasetClause = true
		p.acceptKeyword("NAMED")
		p.addRead(p.iri())
	}
}

// WhereClause ::= 'WHERE'? GroupGraphPattern
func (p *parser) where() {
	p.acceptKeyword("WHERE")
	p.group()
}

// SolutionModifier ::= GroupClause? HavingClause? OrderClause? LimitOffsetClauses?
func (p *parser) solutionModifiers() {
	if p.acceptKeyword("GROUP") {
		p.statement.Cost.Sorts++
		p.expectKeyword("BY")
		p.groupConditions()
	}
	if p.acceptKeyword("HAVING") {
		p.constraint()
		for p.isPunct("(") || p.isCall() {
			p.constraint()
		}
	}
	if p.acceptKeyword("ORDER") {
		p.statement.Cost.Sorts++
		p.expectKeyword("BY")
		p.orderConditions()
	}
	p.limitOffset()
}

// GroupCondition+ ::= ( BuiltInCall | FunctionCall | '(' Expression ( 'AS' Var )? ')' | Var )+
func (p *parser) groupConditions() {
	for conditions := 0; ; conditions++ {
		switch {
		case p.token.kind == variable:
			p.advance()
		case p.accept("("):
			p.expression()
			if p.isKeyword("AS") {
				p.asVariable()
			}
			p.expect(")")
		case p.isCall():
			p.call()
		case conditions == 0:
			p.unexpected("what to group by")
		default:
			return
		}
	}
}

// OrderCondition+ ::= ( ( 'ASC' | 'DESC' ) BrackettedExpression | Constraint | Var )+
func (p *parser) orderConditions() {
	for conditions := 0; ; conditions++ {
		switch {
		case p.token.kind == variable:
			p.advance()
		case p.isAnyKeyword("ASC", "DESC"):
			p.advance()
			p.bracketedExpression()
		case p.isPunct("(") || p.isCall():
			p.constraint()
		case conditions == 0:
			p.unexpected("what to order by")
		default:
			return
		}
	}
}

// LimitOffsetClauses ::= LimitClause OffsetClause? | OffsetClause LimitClause?
func (p *parser) limitOffset() {
	hasLimit := false
	hasOffset := false
	for {
		switch {
		case !hasLimit && p.acceptKeyword("LIMIT"):
			hasLimit = true
			limit := p.integer()
			if p.subqueryDepth == 0 {
				p.statement.Cost.Limit = limit
			}
		case !hasOffset && p.acceptKeyword("OFFSET"):
			hasOffset = true
			p.integer()
		default:
			return
		}
	}
}

// ValuesClause ::= ( 'VALUES' DataBlock )?
func (p *parser) values() {
	if p.acceptKeyword("VALUES") {
		p.dataBlock()
	}
}

// DataBlock ::= Var '{' DataBlockValue* '}' | ( NIL | '(' Var* ')' ) '{' ( '(' DataBlockValue* ')' | NIL )* '}'
func (p *parser) dataBlock() {
	if p.token.kind == variable {
		p.advance()
		p.expect("{")
		for !p.accept("}") {
			p.statement.Cost.Rows++
			p.dataBlockValue()
		}
		return
	}
	p.expect("(")
	columns := 0
	for ; p.token.kind == variable; columns++ {
		p.advance()
	}
	p.expect(")")
	p.expect("{")
	for !p.accept("}") {
		p.dataBlockRow(columns)
	}
}

// dataBlockRow ::= '(' DataBlockValue* ')' | NIL, with one value for each variable.
func (p *parser) dataBlockRow(columns int) {
	at := p.token.offset
	p.expect("(")
	values := 0
	for ; !p.accept(")"); values++ {
		p.dataBlockValue()
	}
	if values != columns {
		p.fail(at, "%d values for %d variables", values, columns)
	}
	p.statement.Cost.Rows++
}

// DataBlockValue ::= iri | RDFLiteral | NumericLiteral | BooleanLiteral | 'UNDEF'
func (p *parser) dataBlockValue() {
	if !p.acceptKeyword("UNDEF") {
		p.term(tripleRules{})
	}
}

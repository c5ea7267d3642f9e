package syntax

// Update ::= Prologue ( Update1 ( ';' Update )? )?
func (p *parser) update() {
	p.statement.Form = Update
	for operations := 0; ; operations++ {
		p.prologue()
		if p.token.kind == end && operations > 0 {
			return
		}
		p.operation()
		if !p.accept(";") {
			return
		}
	}
}

// Update1 ::= Load | Clear | Drop | Add | Move | Copy | Create | InsertData | DeleteData | DeleteWhere | Modify
func (p *parser) operation() {
	switch {
	case p.acceptKeyword("LOAD"):
		p.load()
	case p.isAnyKeyword("CLEAR", "DROP"):
		p.advance()
		p.clearOrDrop()
	case p.acceptKeyword("CREATE"):
		p.acceptKeyword("SILENT")
		p.expectKeyword("GRAPH")
		p.addWrite(p.iri())
	case p.isAnyKeyword("ADD", "MOVE", "COPY"):
		move := p.isKeyword("MOVE")
		p.advance()
		p.acceptKeyword("SILENT")
		p.graphOrDefault(true, move)
		p.expectKeyword("TO")
		p.graphOrDefault(false, true)
	case p.acceptKeyword("INSERT"):
		p.insert()
	case p.acceptKeyword("DELETE"):
		p.delete()
	case p.acceptKeyword("WITH"):
		p.with()
	default:
		p.unexpected("an update")
	}
}

// Load ::= 'LOAD' 'SILENT'? iri ( 'INTO' GraphRef )?, behind the first keyword.
func (p *parser) load() {
	p.statement.Loads = true
	p.acceptKeyword("SILENT")
	p.iri()
	if !p.acceptKeyword("INTO") {
		p.statement.WritesDefault = true
		return
	}
	p.expectKeyword("GRAPH")
	p.addWrite(p.iri())
}

// clearOrDrop ::= 'SILENT'? GraphRefAll
func (p *parser) clearOrDrop() {
	p.acceptKeyword("SILENT")
	switch {
	case p.acceptKeyword("DEFAULT"):
		p.statement.WritesDefault = true
	case p.acceptKeyword("NAMED"):
		p.statement.WritesAny = true
	case p.acceptKeyword("ALL"):
		p.statement.WritesAny = true
		p.statement.WritesDefault = true
	default:
		p.expectKeyword("GRAPH")
		p.addWrite(p.iri())
	}
}

// insert parses InsertData, or a Modify that begins with INSERT, behind that keyword.
func (p *parser) insert() {
	if p.acceptKeyword("DATA") {
		p.quads(terms{blanks: true, data: true}, "")
		return
	}
	p.modify("", true)
}

// delete parses DeleteData, DeleteWhere, or a Modify that begins with DELETE, behind that keyword.
func (p *parser) delete() {
	switch {
	case p.acceptKeyword("DATA"):
		p.quads(terms{data: true}, "")
	case p.acceptKeyword("WHERE"):
		p.statement.ReadsDefault = true
		p.quads(terms{vars: true}, "")
	default:
		p.modify("", false)
	}
}

// with parses a Modify that begins with WITH, behind that keyword.
func (p *parser) with() {
	graph := p.iri()
	p.statement.Dataset = true
	insert := p.isKeyword("INSERT")
	if !insert && !p.isKeyword("DELETE") {
		p.unexpected("INSERT or DELETE")
	}
	p.advance()
	p.modify(graph, insert)
}

// GraphOrDefault ::= 'DEFAULT' | 'GRAPH'? iri
func (p *parser) graphOrDefault(read, write bool) {
	if p.acceptKeyword("DEFAULT") {
		p.statement.ReadsDefault = p.statement.ReadsDefault || read
		p.statement.WritesDefault = p.statement.WritesDefault || write
		return
	}
	p.acceptKeyword("GRAPH")
	graph := p.iri()
	if read {
		p.addRead(graph)
	}
	if write {
		p.addWrite(graph)
	}
}

// Modify ::= ( 'WITH' iri )? ( DeleteClause InsertClause? | InsertClause ) UsingClause* 'WHERE' GroupGraphPattern
func (p *parser) modify(with string, insert bool) {
	if insert {
		p.quads(terms{vars: true, blanks: true}, with)
	} else {
		p.quads(terms{vars: true}, with)
		if p.acceptKeyword("INSERT") {
			p.quads(terms{vars: true, blanks: true}, with)
		}
	}
	before := len(p.statement.Reads)
	p.datasetClauses("USING")
	if len(p.statement.Reads) == before {
		if with != "" {
			p.addRead(with)
		} else {
			p.statement.ReadsDefault = true
		}
	}
	p.expectKeyword("WHERE")
	p.group()
}

// Quads ::= '{' TriplesTemplate? ( 'GRAPH' VarOrIri '{' TriplesTemplate? '}' '.'? TriplesTemplate? )* '}'.
// What stands in no GRAPH goes to the graph of WITH, or the default one.
func (p *parser) quads(allowed terms, with string) {
	p.expect("{")
	p.quadsOutsideGraph(allowed, with)
	for p.acceptKeyword("GRAPH") {
		if p.token.kind == variable {
			p.requireVariableAllowed(allowed)
			p.statement.WritesAny = true
			p.advance()
		} else {
			p.addWrite(p.iri())
		}
		p.expect("{")
		p.triples(allowed, true)
		p.expect("}")
		p.accept(".")
		p.quadsOutsideGraph(allowed, with)
	}
	p.expect("}")
}

// quadsOutsideGraph ::= TriplesTemplate?, into the graph of WITH, or the default one.
func (p *parser) quadsOutsideGraph(allowed terms, with string) {
	if !p.startsTerm() {
		return
	}
	if with != "" {
		p.addWrite(with)
	} else {
		p.statement.WritesDefault = true
	}
	p.triples(allowed, true)
}

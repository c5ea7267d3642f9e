package syntax

// Update ::= Prologue ( Update1 ( ';' Update )? )?
func (p *parser) update() {
	p.statement.Form = Update
	for operations := 0; ; operations++ {
		p.prologue()
		if p.token.kind == endOfText && operations > 0 {
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
		p.modifyWith()
	default:
		p.unexpected("an update")
	}
}

// Load ::= 'LOAD' 'SILENT'? iri ( 'INTO' GraphRef )?, after 'LOAD'.
func (p *parser) load() {
	p.statement.UsesLoad = true
	p.acceptKeyword("SILENT")
	p.iri()
	if !p.acceptKeyword("INTO") {
		p.statement.WritesDefault = true
		return
	}
	p.expectKeyword("GRAPH")
	p.addWrite(p.iri())
}

// clearOrDrop ::= 'SILENT'? GraphRefAll, after 'CLEAR' or 'DROP'
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

// insert parses InsertData, or a Modify that begins with INSERT, after that keyword.
func (p *parser) insert() {
	if p.acceptKeyword("DATA") {
		p.quads(tripleRules{blankNodes: true, inlineData: true}, "")
		return
	}
	p.modify("", true)
}

// delete parses DeleteData, DeleteWhere, or a Modify that begins with DELETE, after that keyword.
func (p *parser) delete() {
	switch {
	case p.acceptKeyword("DATA"):
		p.quads(tripleRules{inlineData: true}, "")
	case p.acceptKeyword("WHERE"):
		p.statement.ReadsDefault = true
		p.quads(tripleRules{variables: true}, "")
	default:
		p.modify("", false)
	}
}

// modifyWith parses a Modify that begins with WITH, after that keyword.
func (p *parser) modifyWith() {
	graph := p.iri()
	p.statement.HasDatasetClause = true
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

// Modify ::= ( 'WITH' iri )? ( DeleteClause InsertClause? | InsertClause ) UsingClause* 'WHERE' GroupGraphPattern,
// after the first 'INSERT' or 'DELETE'; with is the graph of WITH, or "".
func (p *parser) modify(with string, insert bool) {
	if insert {
		p.quads(tripleRules{variables: true, blankNodes: true}, with)
	} else {
		p.quads(tripleRules{variables: true}, with)
		if p.acceptKeyword("INSERT") {
			p.quads(tripleRules{variables: true, blankNodes: true}, with)
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
// Triples outside a GRAPH block are written to the graph of WITH, or the default graph.
func (p *parser) quads(allowed tripleRules, with string) {
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

// quadsOutsideGraph ::= TriplesTemplate?, written to the graph of WITH, or the default graph.
func (p *parser) quadsOutsideGraph(allowed tripleRules, with string) {
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

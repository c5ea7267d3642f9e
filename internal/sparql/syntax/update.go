package syntax

// Update ::= Prologue ( Update1 ( ';' Update )? )?
func (p *parser) update() {
	p.s.Form = Update
	for n := 0; ; n++ {
		p.prologue()
		if p.tok.kind == end && n > 0 {
			return
		}
		p.operation()
		if !p.has(";") {
			return
		}
	}
}

// Update1 ::= Load | Clear | Drop | Add | Move | Copy | Create | InsertData | DeleteData | DeleteWhere | Modify
func (p *parser) operation() {
	switch {
	case p.hasWord("LOAD"):
		p.s.Loads = true
		p.hasWord("SILENT")
		p.iri()
		if p.hasWord("INTO") {
			p.wantWord("GRAPH")
			p.writes(p.iri())
		} else {
			p.s.WritesDefault = true
		}
	case p.oneOf("CLEAR", "DROP"):
		p.advance()
		p.hasWord("SILENT")
		switch {
		case p.hasWord("DEFAULT"):
			p.s.WritesDefault = true
		case p.hasWord("NAMED"):
			p.s.WritesAny = true
		case p.hasWord("ALL"):
			p.s.WritesAny, p.s.WritesDefault = true, true
		default:
			p.wantWord("GRAPH")
			p.writes(p.iri())
		}
	case p.hasWord("CREATE"):
		p.hasWord("SILENT")
		p.wantWord("GRAPH")
		p.writes(p.iri())
	case p.oneOf("ADD", "MOVE", "COPY"):
		move := p.isWord("MOVE")
		p.advance()
		p.hasWord("SILENT")
		p.graphOrDefault(true, move)
		p.wantWord("TO")
		p.graphOrDefault(false, true)
	case p.hasWord("INSERT"):
		if p.hasWord("DATA") {
			p.quads(terms{blanks: true, data: true}, "")
			return
		}
		p.modify("", true)
	case p.hasWord("DELETE"):
		switch {
		case p.hasWord("DATA"):
			p.quads(terms{data: true}, "")
		case p.hasWord("WHERE"):
			p.s.ReadsDefault = true
			p.quads(terms{vars: true}, "")
		default:
			p.modify("", false)
		}
	case p.hasWord("WITH"):
		with := p.iri()
		p.s.Dataset = true
		insert := p.isWord("INSERT")
		if !insert && !p.isWord("DELETE") {
			p.unexpected("INSERT or DELETE")
		}
		p.advance()
		p.modify(with, insert)
	default:
		p.unexpected("an update")
	}
}

// GraphOrDefault ::= 'DEFAULT' | 'GRAPH'? iri
func (p *parser) graphOrDefault(read, write bool) {
	if p.hasWord("DEFAULT") {
		p.s.ReadsDefault, p.s.WritesDefault = p.s.ReadsDefault || read, p.s.WritesDefault || write
		return
	}
	p.hasWord("GRAPH")
	graph := p.iri()
	if read {
		p.reads(graph)
	}
	if write {
		p.writes(graph)
	}
}

// Modify ::= ( 'WITH' iri )? ( DeleteClause InsertClause? | InsertClause ) UsingClause* 'WHERE' GroupGraphPattern
func (p *parser) modify(with string, insert bool) {
	if insert {
		p.quads(terms{vars: true, blanks: true}, with)
	} else {
		p.quads(terms{vars: true}, with)
		if p.hasWord("INSERT") {
			p.quads(terms{vars: true, blanks: true}, with)
		}
	}
	before := len(p.s.Reads)
	p.dataset("USING")
	if len(p.s.Reads) == before {
		if with != "" {
			p.reads(with)
		} else {
			p.s.ReadsDefault = true
		}
	}
	p.wantWord("WHERE")
	p.group()
}

// Quads ::= '{' TriplesTemplate? ( 'GRAPH' VarOrIri '{' TriplesTemplate? '}' '.'? TriplesTemplate? )* '}'; what stands in
// no GRAPH goes to the graph of WITH, or the default one.
func (p *parser) quads(in terms, with string) {
	p.want("{")
	own := func() {
		if !p.startsTerm() {
			return
		}
		if with != "" {
			p.writes(with)
		} else {
			p.s.WritesDefault = true
		}
		p.triples(in, true)
	}
	own()
	for p.hasWord("GRAPH") {
		if p.tok.kind == variable {
			p.mayVar(in)
			p.s.WritesAny = true
			p.advance()
		} else {
			p.writes(p.iri())
		}
		p.want("{")
		p.triples(in, true)
		p.want("}")
		p.has(".")
		own()
	}
	p.want("}")
}

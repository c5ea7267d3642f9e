// Package endpoint speaks the SPARQL 1.1 Protocol with engines, behind the interface that all protocols share. It tells
// outcomes apart as strictly as the line protocol does: what never ran is known never to have run, and an answer counts
// only when it is complete and in the form that it states.
package endpoint

// Package endpoint implements backend.Engines for engines that speak the SPARQL 1.1 Protocol. It distinguishes outcomes
// as strictly as the line protocol does: it reports that a job never ran only when that is certain, and accepts a
// result only if it is complete and valid in its stated format.
package endpoint

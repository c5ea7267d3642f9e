// Package front serves the SPARQL 1.1 Protocol over HTTP (W3C Recommendation of 2013-03-21): it reads requests, submits
// jobs to the gateway and writes the one answer of each. It decides nothing on jobs. net/http runs a goroutine for each
// connection; a request's goroutine waits for the outcome of its job.
package front

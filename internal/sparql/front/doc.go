// Package front serves the SPARQL 1.1 Protocol over HTTP (W3C Recommendation of 2013-03-21): it reads requests, submits
// jobs to the gateway and writes one answer for each. It does not schedule jobs. net/http runs a goroutine for each
// connection; a request's goroutine waits for the outcome of its job.
package front

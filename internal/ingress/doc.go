// Package ingress holds what the front ends of a controller share, whatever protocol their clients speak: it accepts
// connections, determines when input was received, closes idle connections for new ones, and slows clients that send
// too much. Its types are used by the goroutines of many connections; each type documents whether it is safe for
// concurrent use.
package ingress

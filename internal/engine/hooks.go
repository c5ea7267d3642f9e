package engine

// testHooks lets builds with the tag fault have dials fail (see hooks_fault.go). In all other builds every hook is nil.
var testHooks struct {
	dialError func() error // the error of the next dial; nil: it is made
}

package engine

// testHooks lets builds with the fault tag make dials fail (see hooks_fault.go). In all other builds every hook is nil.
var testHooks struct {
	dialError func() error // returns the error of the next dial; nil: dial normally
}

package command

import "errors"

// The exit codes. Code 0 means that the command has done what it says.
const (
	ExitFailed   = 1 // serving failed, or could not begin
	ExitBadInput = 2 // a file or a flag cannot be used; every problem is printed
	ExitNoFit    = 3 // no answer fits, or none was found in time
)

// exitError is an error with the exit code that it leads to.
type exitError struct {
	code    int
	err     error
	printed bool // its text is on the output already
}

// Error returns the text of the error itself.
func (e exitError) Error() string { return e.err.Error() }

// Unwrap returns the error without its exit code.
func (e exitError) Unwrap() error { return e.err }

// Failure returns an error with an exit code.
func Failure(code int, err error) error { return exitError{code: code, err: err} }

// SilentFailure returns an error with an exit code whose text is on the output already.
func SilentFailure(code int, err error) error { return exitError{code: code, err: err, printed: true} }

// BadInput returns an error of a file or a flag.
func BadInput(err error) error { return Failure(ExitBadInput, err) }

// asExitError adds the code of bad input to an error without one: cobra's own, of a flag or an argument.
func asExitError(err error) exitError {
	var withCode exitError
	if errors.As(err, &withCode) {
		return withCode
	}
	return exitError{code: ExitBadInput, err: err}
}

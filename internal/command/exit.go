package command

import "errors"

// Exit codes. 0 means success.
const (
	ExitFailed      = 1 // serving failed or could not start
	ExitBadInput    = 2 // a file, flag or argument is invalid; every problem is printed
	ExitUnsatisfied = 3 // no answer fits or was found in time, or not all controllers serve
)

// exitError is an error with an exit code.
type exitError struct {
	code    int
	err     error
	printed bool // its message has already been printed
}

// Error returns the message of the wrapped error.
func (e exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e exitError) Unwrap() error { return e.err }

// Failure returns an error with an exit code.
func Failure(code int, err error) error { return exitError{code: code, err: err} }

// SilentFailure returns an error with an exit code whose message has already been printed.
func SilentFailure(code int, err error) error { return exitError{code: code, err: err, printed: true} }

// BadInput returns an error with the exit code for an invalid file, flag or argument.
func BadInput(err error) error { return Failure(ExitBadInput, err) }

// asExitError returns err with its exit code. Errors without one come from cobra's parsing of flags and arguments, so
// they get the code for bad input.
func asExitError(err error) exitError {
	var withCode exitError
	if errors.As(err, &withCode) {
		return withCode
	}
	return exitError{code: ExitBadInput, err: err}
}

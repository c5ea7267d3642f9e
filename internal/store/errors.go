package store

import (
	"errors"
	"fmt"
)

// Errors that callers can test for with errors.Is.
var (
	// ErrCorrupt means that data which was durable can no longer be read. Every CorruptError wraps it.
	ErrCorrupt = errors.New("the store is corrupt")
	// ErrUnsupportedVersion means that a file was written by a later version of the program.
	ErrUnsupportedVersion = errors.New("unsupported format version")
	// ErrPayloadTooLarge means that a payload has more than MaxPayload bytes.
	ErrPayloadTooLarge = fmt.Errorf("the payload is larger than %d bytes", MaxPayload)
	// ErrLocked means that another process has the directory open.
	ErrLocked = errors.New("the store is locked by another process")
	// ErrBusy means that too many commits are waiting; nothing of the rejected one was written.
	ErrBusy = errors.New("too many commits are waiting")
	// ErrClosed means that the log or committer was closed.
	ErrClosed = errors.New("the store is closed")
)

// Reasons why the bytes at some offset are not the expected record or header.
var (
	errTruncated     = errors.New("truncated record or header")
	errNotARecord    = errors.New("not a record")
	errChecksum      = errors.New("checksum mismatch")
	errOutOfSequence = errors.New("record is out of sequence")
	errBadHeader     = errors.New("not a header of this store's files")
	errOtherStore    = errors.New("segment belongs to another store")
)

// CorruptError gives the file and offset at which durable data cannot be read. It wraps ErrCorrupt and the reason.
type CorruptError struct {
	File   string // the segment or checkpoint
	Offset int64  // in bytes; 0 also if the file as a whole is invalid
	Err    error  // the reason
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s, offset %d: %v", e.File, e.Offset, e.Err)
}

// Unwrap returns ErrCorrupt and the reason.
func (e *CorruptError) Unwrap() []error { return []error{ErrCorrupt, e.Err} }

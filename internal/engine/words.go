package engine

import "swiftreel/internal/backend"

// The words that all protocols share.
type (
	Host    = backend.Host
	Bounds  = backend.Bounds
	Request = backend.Request
	Lane    = backend.Lane
	End     = backend.End
	Reply   = backend.Reply
)

// The lanes and ends.
const (
	MayRepeat, MayNot                                                 = backend.MayRepeat, backend.MayNot
	Open, Done, Failed, Full, Moot, NotConnected, Reset, TimedOut End = backend.Open, backend.Done, backend.Failed, backend.Full, backend.Moot, backend.NotConnected, backend.Reset, backend.TimedOut
)

package engine

import "swiftreel/internal/backend"

// The words that all protocols share.
type (
	Host    = backend.Host
	Bounds  = backend.Limits
	Request = backend.Request
	Lane    = backend.Lane
	End     = backend.Outcome
	Reply   = backend.Reply
)

// The lanes and ends.
const (
	MayRepeat, MayNot                                                 = backend.Restartable, backend.RunOnce
	Open, Done, Failed, Full, Moot, NotConnected, Reset, TimedOut End = backend.Running, backend.Done, backend.Failed, backend.Full, backend.Superseded, backend.NotConnected, backend.Reset, backend.TimedOut
)

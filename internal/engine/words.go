package engine

import "swiftreel/internal/back"

// The words that all protocols share.
type (
	Host    = back.Host
	Bounds  = back.Bounds
	Request = back.Request
	Lane    = back.Lane
	End     = back.End
	Reply   = back.Reply
)

// The lanes and ends.
const (
	MayRepeat, MayNot                                                 = back.MayRepeat, back.MayNot
	Open, Done, Failed, Full, Moot, NotConnected, Reset, TimedOut End = back.Open, back.Done, back.Failed, back.Full, back.Moot, back.NotConnected, back.Reset, back.TimedOut
)

// Package logging sets up the program's log: structured, key=value, one line an event, through log/slog.
package logging

import (
	"io"
	"log/slog"
	"time"
)

// Setup has all that is logged from now on written there, times in UTC with microseconds.
func Setup(out io.Writer) {
	slog.SetDefault(slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey && len(groups) == 0 {
			a.Value = slog.StringValue(a.Value.Time().UTC().Format("2006-01-02T15:04:05.000000Z07:00"))
		}
		if d, is := a.Value.Any().(time.Duration); is {
			a.Value = slog.Int64Value(d.Nanoseconds())
		}
		return a
	}})))
}

// Package logging sets up the program's log: structured, key=value, one line an event, by log/slog.
package logging

import (
	"io"
	"log/slog"
	"time"
)

// timeLayout is UTC with microseconds.
const timeLayout = "2006-01-02T15:04:05.000000Z07:00"

// Setup has everything that is logged from now on written to out: times in UTC with microseconds, durations in whole
// nanoseconds.
func Setup(out io.Writer) {
	options := &slog.HandlerOptions{ReplaceAttr: formatAttribute}
	slog.SetDefault(slog.New(slog.NewTextHandler(out, options)))
}

func formatAttribute(groups []string, attribute slog.Attr) slog.Attr {
	if attribute.Key == slog.TimeKey && len(groups) == 0 {
		attribute.Value = slog.StringValue(attribute.Value.Time().UTC().Format(timeLayout))
	}
	if duration, isDuration := attribute.Value.Any().(time.Duration); isDuration {
		attribute.Value = slog.Int64Value(duration.Nanoseconds())
	}
	return attribute
}

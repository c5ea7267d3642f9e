// Package logging sets up the program's log: structured, key=value, one line an event, by log/slog.
package logging

import (
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLayout is UTC with microseconds.
const timeLayout = "2006-01-02T15:04:05.000000Z07:00"

// flushTimeout is how long the end of the program waits for a slow reader of its log.
const flushTimeout = time.Second

// Setup has everything that is logged from now on written to out: times in UTC with microseconds, durations in whole
// nanoseconds. Lines are written in the background; flush, called before the program ends, waits for them for a second
// at most. A reader of the log that has gone does not end the program by SIGPIPE.
func Setup(out io.Writer) (flush func()) {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE) // caught, not ignored: what it executes would inherit that
	writer := newAsyncWriter(out)
	options := &slog.HandlerOptions{ReplaceAttr: formatAttribute}
	slog.SetDefault(slog.New(slog.NewTextHandler(writer, options)))
	return func() { writer.flush(flushTimeout) }
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

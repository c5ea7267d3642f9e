// Package logging sets up the program's log with log/slog: one line of key=value pairs for each event.
package logging

import (
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLayout is RFC 3339 with microseconds.
const timeLayout = "2006-01-02T15:04:05.000000Z07:00"

// flushTimeout is how long the program waits at exit for a slow reader of its log.
const flushTimeout = time.Second

// Setup makes out the destination of the default logger, with times in UTC with microseconds and durations in whole
// nanoseconds. Lines are written in the background; flush must be called before the program exits and waits for them
// for at most a second. SIGPIPE no longer terminates the program when the reader of the log has gone.
func Setup(out io.Writer) (flush func()) {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE) // caught, as child processes would inherit an ignored signal
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

package logging

import (
	"bytes"
	"log/slog"
	"regexp"
	"testing"
	"time"
)

// On-call staff search the log for key=value pairs, with times in UTC with microseconds and durations in nanoseconds.
func TestALineIsKeysAndValues(t *testing.T) {
	before := slog.Default()
	defer slog.SetDefault(before)
	var got bytes.Buffer
	flush := Setup(&got)
	slog.Warn("a thing happened", "count", 3, "took", 1500*time.Millisecond, "text", "two words")
	flush()
	form := regexp.MustCompile(
		`^time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z level=WARN ` +
			`msg="a thing happened" count=3 took=1500000000 text="two words"\n$`,
	)
	if !form.MatchString(got.String()) {
		t.Errorf("%q", got.String())
	}
}

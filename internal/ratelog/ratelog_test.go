package ratelog

import (
	"bytes"
	"log"
	"os"
	"strings"
	"testing"
	"time"

	"swiftreel/internal/counters"
)

func TestALineIsLoggedOnceASecondAndEachIsCounted(t *testing.T) {
	var got bytes.Buffer
	log.SetOutput(&got)
	defer log.SetOutput(os.Stderr)
	var logger Logger
	for range 5 {
		logger.CountAndWarn("faults_of_the_test", "fault", "reason", "x")
	}
	if strings.Count(got.String(), "\n") != 1 || !strings.Contains(got.String(), "fault reason=x count=1") ||
		counters.Value("faults_of_the_test") != 5 {
		t.Errorf("%q, %d counted", got.String(), counters.Value("faults_of_the_test"))
	}
}

func TestLinesOverTheLimitAreDropped(t *testing.T) {
	var limiter Limiter
	at, n := time.Unix(1000, 0), 0
	for range 3 * linesPerSecond {
		if limiter.Allow(at) {
			n++
		}
	}
	if n != linesPerSecond || !limiter.Allow(at.Add(time.Second)) {
		t.Errorf("%d lines in one second", n)
	}
}

package check

import (
	"bytes"
	"log"
	"os"
	"strings"
	"testing"
	"time"
)

func TestALineIsLoggedOnceASecondAndEachIsCounted(t *testing.T) {
	var got bytes.Buffer
	log.SetOutput(&got)
	defer log.SetOutput(os.Stderr)
	var g Grumble
	for range 5 {
		g.Note("faults_of_the_test", "fault", "reason", "x")
	}
	if strings.Count(got.String(), "\n") != 1 || !strings.Contains(got.String(), "fault reason=x count=1") || Of("faults_of_the_test") != 5 {
		t.Errorf("%q, %d counted", got.String(), Of("faults_of_the_test"))
	}
}

func TestLinesPastTheRateAreDropped(t *testing.T) {
	var r Rate
	at, n := time.Unix(1000, 0), 0
	for range 3 * linesMost {
		if r.Take(at) {
			n++
		}
	}
	if n != linesMost || !r.Take(at.Add(time.Second)) {
		t.Errorf("%d lines in one second", n)
	}
}

package choice

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"
)

const (
	maxPolicyLines   = 1100 // not blank, over all files that decide
	maxPolicyColumns = 110
)

// TestPolicyFilesStayWithinTheirBounds: what decides is small enough to be read as a whole, and all of it is listed
// in the deploy file.
func TestPolicyFilesStayWithinTheirBounds(t *testing.T) {
	deploy, err := os.ReadFile(filepath.Join("..", "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	policy := regexp.MustCompile(`(?m)^policy = \[(.*)\]`).FindSubmatch(deploy)
	if policy == nil {
		t.Fatal("the deploy file lists no policy")
	}
	files := regexp.MustCompile(`"([^"]+)"`).FindAllStringSubmatch(string(policy[1]), -1)
	if len(files) == 0 || files[0][1] != "choice/choice.go" {
		t.Fatalf("policy files %v do not begin with choice/choice.go", files)
	}
	lines := 0
	for _, file := range files {
		text, err := os.ReadFile(filepath.Join("..", filepath.FromSlash(file[1])))
		if err != nil {
			t.Fatal(err)
		}
		for number, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if columns := utf8.RuneCountInString(line); columns > maxPolicyColumns {
				t.Errorf("%s:%d has %d columns of %d", file[1], number+1, columns, maxPolicyColumns)
			}
		}
	}
	t.Logf("%d lines in %d files", lines, len(files))
	if lines > maxPolicyLines {
		t.Errorf("%d lines of %d", lines, maxPolicyLines)
	}
}

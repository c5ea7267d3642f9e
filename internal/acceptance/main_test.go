// Package acceptance tests the criteria of docs/acceptance.md with real processes of the program and fake peers on
// loopback. The assertions use the records of the fakes.
package acceptance

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// program is the program under test, built by TestMain.
var program string

// TestMain builds the program once for all tests.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "acceptance")
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	program = filepath.Join(dir, "swiftreel")
	if out, err := exec.Command("go", "build", "-o", program, "swiftreel/cmd/swiftreel").CombinedOutput(); err != nil {
		fmt.Printf("%s%v\n", out, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir) // a temporary directory, which the system removes if this fails
	os.Exit(code)
}

const (
	conditionTimeout  = 30 * time.Second
	conditionInterval = 2 * time.Millisecond
)

// waitFor polls a condition, and fails the test with a message if it is not met in time.
func waitFor(t *testing.T, message string, condition func() bool) {
	t.Helper()
	for stop := time.Now().Add(conditionTimeout); !condition(); time.Sleep(conditionInterval) {
		if time.Now().After(stop) {
			t.Fatal(message)
		}
	}
}

// Package acceptance holds the terms of docs/acceptance.md against real processes of the program, between fakes on
// loopback. What is asserted comes from the fakes' records.
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
	_ = os.RemoveAll(dir) // a temporary folder: what is left is the system's to remove
	os.Exit(code)
}

const (
	conditionTimeout  = 30 * time.Second
	conditionInterval = 2 * time.Millisecond
)

// until polls a condition, and fails the test with a message where it is not met in time.
func until(t *testing.T, message string, condition func() bool) {
	t.Helper()
	for stop := time.Now().Add(conditionTimeout); !condition(); time.Sleep(conditionInterval) {
		if time.Now().After(stop) {
			t.Fatal(message)
		}
	}
}

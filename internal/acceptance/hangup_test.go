package acceptance

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"swiftreel/internal/fake"
	"swiftreel/internal/testcluster"
)

// runLine is the entry of the deploy file that says how a controller is run.
var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// runCommand is what a shell is given to run this test's program as it is deployed.
func runCommand(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	match := runLine.FindStringSubmatch(string(text))
	if match == nil || !strings.Contains(match[1], "bin/swiftreel") {
		t.Fatal("the deploy file does not say how to run a controller")
	}
	return strings.Replace(match[1], "bin/swiftreel", program, 1)
}

// A new configuration is told to all controllers by SIGHUP while some are being restarted: it comes to a process that
// has begun and does not catch signals yet. None ends by it, and each becomes ready.
func TestAHangupBeforeItIsCaughtEndsNothing(t *testing.T) {
	const starts = 8
	feed, err := fake.StartDiscovery("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(feed.Close)
	for i := range starts {
		c := newController(t, starts, i)
		c.writeConfig(feed.Address())
		process, err := testcluster.StartProcess("/bin/sh", []string{"ROUTER_CONFIG=" + c.configFile}, "-c", runCommand(t))
		if err != nil {
			t.Fatal(err)
		}
		c.Process = process
		awaitProgram(t, process)
		until(t, "it is not ready", func() bool {
			process.Signal(syscall.SIGHUP)
			return process.Exited() || c.ready()
		})
		if process.Exited() {
			t.Fatalf("start %d: it has ended: %v %s", i, process.WaitExit(), process.Log())
		}
		c.Kill()
	}
}

// awaitProgram waits until the shell of a process has become the program. It does not pause between two looks: what
// comes right after is at stake.
func awaitProgram(t *testing.T, process *testcluster.Process) {
	t.Helper()
	executable := fmt.Sprintf("/proc/%d/exe", process.Pid())
	for stop := time.Now().Add(conditionTimeout); !process.Exited(); {
		path, err := os.Readlink(executable)
		if err == nil && path == program {
			return
		}
		if time.Now().After(stop) {
			t.Fatal("the shell does not become the program")
		}
	}
}

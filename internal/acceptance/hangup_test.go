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

// deployRunCommand matches the entry of the deploy file with the command that runs a controller.
var deployRunCommand = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// runCommand returns the shell command that runs the program under test as it is deployed.
func runCommand(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	match := deployRunCommand.FindStringSubmatch(string(text))
	if match == nil || !strings.Contains(match[1], "bin/swiftreel") {
		t.Fatal("the deploy file has no command that runs a controller")
	}
	return strings.Replace(match[1], "bin/swiftreel", program, 1)
}

// SIGHUP announces a new configuration to all controllers while some are restarting, so that it may reach a process
// that does not handle signals yet. It must not end the process, and each process must become ready.
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
		waitFor(t, "the process is not ready", func() bool {
			process.Signal(syscall.SIGHUP)
			return process.Exited() || c.ready()
		})
		if process.Exited() {
			t.Fatalf("start %d: the process has exited: %v %s", i, process.WaitExit(), process.Log())
		}
		c.Kill()
	}
}

// awaitProgram waits until the shell has executed the program. It polls without a pause, since the test needs to send a
// signal right after that.
func awaitProgram(t *testing.T, process *testcluster.Process) {
	t.Helper()
	executable := fmt.Sprintf("/proc/%d/exe", process.Pid())
	for stop := time.Now().Add(conditionTimeout); !process.Exited(); {
		path, err := os.Readlink(executable)
		if err == nil && path == program {
			return
		}
		if time.Now().After(stop) {
			t.Fatal("the shell has not executed the program")
		}
	}
}

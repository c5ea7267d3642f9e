package acceptance

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"swiftreel/internal/engine"
)

const (
	deadlineAllowance = 150 * time.Millisecond // by which an engine's time limit may exceed the client's time left
	clientDeadline    = 8 * time.Second        // of sendJob
)

// dialTime is the minimum time until the connection to the engine is established.
const dialTime = 4 * deadlineAllowance

// The connection to an engine is established long after the dispatch was decided, but within the dial timeout and the
// drain grace period. The time limit sent to the engine must be what the client has left by then.
func TestAnEngineReachedLateIsGivenWhatTheClientHasLeft(t *testing.T) {
	listener, filler := fullBacklogListener(t)
	c := newController(t, 1, 0)
	c.writeConfig(freeAddress(t), listEvent(endpoint("e1", listener.Addr().String(), "ready", 0)))
	replaceInFile(t, c.configFile, `"dial_timeout_ns":25e7`, `"dial_timeout_ns":5e9`)
	replaceInFile(t, c.configFile, `"drain_grace_ns":2.5e8`, `"drain_grace_ns":5e9`)
	c.start()
	waitFor(t, "not ready", c.ready)
	client := c.dial(t)
	sentAt := time.Now()
	sendJob(t, client, jobID(1), 10)
	waitFor(t, "no dial", func() bool { return strings.Contains(connStatesTo(t, listener.Addr()), "SYN_SENT") })
	waitFor(t, "the dial time has not passed", func() bool { return time.Since(sentAt) > dialTime })
	acceptFiller(t, listener, filler)
	fetch := acceptFetch(t, listener)
	left := clientDeadline - time.Since(sentAt)
	given := givenTime(t, fetch)
	if given > left+deadlineAllowance {
		t.Errorf("the engine gets a time limit of %v, but the client has only %v left", given, left)
	}
}

// fullBacklogListener returns a listener whose backlog is full, so that a dial blocks until the filler connection is
// accepted.
func fullBacklogListener(t *testing.T) (net.Listener, net.Conn) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener with a full backlog")
	defer file.Close() // the listener has a copy
	listener, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	filler, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { filler.Close() })
	return listener, filler
}

// acceptFiller accepts the filler connection, which frees the backlog.
func acceptFiller(t *testing.T, listener net.Listener, filler net.Conn) {
	t.Helper()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	if accepted.RemoteAddr().String() != filler.LocalAddr().String() {
		t.Fatal("the backlog was not full")
	}
}

// acceptFetch accepts connections until a fetch command arrives, and returns it. It answers probes.
func acceptFetch(t *testing.T, listener net.Listener) engine.Command {
	t.Helper()
	fetches := make(chan engine.Command, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerUntilFetch(conn, fetches)
		}
	}()
	select {
	case fetch := <-fetches:
		return fetch
	case <-time.After(conditionTimeout):
		t.Fatal("no fetch")
	}
	return engine.Command{}
}

func answerUntilFetch(conn net.Conn, fetches chan<- engine.Command) {
	reader := bufio.NewReader(conn)
	for {
		command, err := engine.ReadCommand(reader)
		if err != nil {
			return
		}
		if command.Name == "fetch" {
			fetches <- command
			continue
		}
		_, _ = conn.Write(engine.AppendAnswer(nil, command.ID, "well", "load=concurrent:0", nil)) // may be closed
	}
}

// givenTime returns the engine's time limit in a fetch command.
func givenTime(t *testing.T, fetch engine.Command) time.Duration {
	t.Helper()
	for field := range strings.SplitSeq(fetch.Fields, ",") {
		if text, found := strings.CutPrefix(field, "w="); found {
			milliseconds, err := strconv.Atoi(text)
			if err != nil {
				t.Fatal(err)
			}
			return time.Duration(milliseconds) * time.Millisecond
		}
	}
	t.Fatalf("no time limit in %q", fetch.Fields)
	return 0
}

// tcpStates maps the state codes of /proc/net/tcp that tests look for to their names.
var tcpStates = map[string]string{"01": "ESTABLISHED", "02": "SYN_SENT"}

// connStatesTo returns the states of all connections of this machine to an address.
func connStatesTo(t *testing.T, address net.Addr) string {
	t.Helper()
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	peer := fmt.Sprintf("0100007F:%04X", address.(*net.TCPAddr).Port)
	var states []string
	for line := range strings.Lines(string(table)) {
		if fields := strings.Fields(line); len(fields) > 3 && fields[2] == peer {
			states = append(states, tcpStates[fields[3]])
		}
	}
	return strings.Join(states, " ")
}

func replaceInFile(t *testing.T, path, from, to string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), from) {
		t.Fatalf("%s lacks %s", path, from)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), from, to, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
}

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
	deadlineSlack  = 150 * time.Millisecond // over what the client has left, that an engine may be given
	clientDeadline = 8 * time.Second        // of sendJob
)

// dialTime is how long the connection to an engine takes at least to come up.
const dialTime = 4 * deadlineSlack

// The connection to an engine comes up long after its dispatch was ordered, within the dial timeout and the grace of
// a drain. What the engine is given is what the client has left by then.
func TestAnEngineReachedLateIsGivenWhatTheClientHasLeft(t *testing.T) {
	listener, filler := crowdedListener(t)
	c := newController(t, 1, 0)
	c.writeConfig(freeAddress(t), listEvent(endpoint("e1", listener.Addr().String(), "ready", 0)))
	replaceInFile(t, c.configFile, `"dial_timeout_ns":25e7`, `"dial_timeout_ns":5e9`)
	replaceInFile(t, c.configFile, `"drain_grace_ns":2.5e8`, `"drain_grace_ns":5e9`)
	c.start()
	until(t, "not ready", c.ready)
	client := c.dial(t)
	sentAt := time.Now()
	sendJob(t, client, jobID(1), 10)
	until(t, "no dial", func() bool { return strings.Contains(dialsTo(t, listener.Addr()), "SYN_SENT") })
	until(t, "time stands still", func() bool { return time.Since(sentAt) > dialTime })
	accept(t, listener, filler)
	fetch := acceptFetch(t, listener)
	left := clientDeadline - time.Since(sentAt)
	given := givenTime(t, fetch)
	if given > left+deadlineSlack {
		t.Errorf("the engine is given %v, the client has %v left", given, left)
	}
}

// crowdedListener is a listener whose queue of connections is full: a dial goes on until the filler is accepted.
func crowdedListener(t *testing.T) (net.Listener, net.Conn) {
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
	file := os.NewFile(uintptr(fd), "crowded listener")
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

// accept accepts the filler, which frees the queue.
func accept(t *testing.T, listener net.Listener, filler net.Conn) {
	t.Helper()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	if accepted.RemoteAddr().String() != filler.LocalAddr().String() {
		t.Fatal("the queue was not full")
	}
}

// acceptFetch accepts connections until a fetch comes, and returns it. Probes are answered.
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
		_, _ = conn.Write(engine.AppendAnswer(nil, command.ID, "well", "load=concurrent:0", nil)) // it may have ended
	}
}

// givenTime is how long an engine may take, as a fetch says.
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
	t.Fatalf("no time in %q", fetch.Fields)
	return 0
}

// tcpStates names the states of /proc/net/tcp that tests look for.
var tcpStates = map[string]string{"01": "ESTABLISHED", "02": "SYN_SENT"}

// dialsTo lists the states of all connections of this machine whose peer is an address.
func dialsTo(t *testing.T, address net.Addr) string {
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

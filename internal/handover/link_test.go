package handover

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

// startPredecessor serves Accept until the test ends, and returns the predecessor and its accepted links.
func startPredecessor(t *testing.T) (Predecessor, <-chan *Link) {
	t.Helper()
	accepted := make(chan *Link, 1)
	mux := http.NewServeMux()
	mux.HandleFunc(Pattern, func(w http.ResponseWriter, r *http.Request) {
		if link, err := Accept(w, r); err == nil {
			accepted <- link
		}
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return Predecessor{PID: os.Getpid(), Address: strings.TrimPrefix(server.URL, "http://")}, accepted
}

// connect returns both ends of a link.
func connect(t *testing.T) (successor, predecessor *Link) {
	t.Helper()
	address, accepted := startPredecessor(t)
	successor, err := Dial(t.Context(), address, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(successor.Close)
	predecessor = <-accepted
	t.Cleanup(predecessor.Close)
	return successor, predecessor
}

func TestMessagesArriveInOrderUntilAnEndIsClosed(t *testing.T) {
	successor, predecessor := connect(t)
	var sent []Message
	for i := range 100 {
		sent = append(sent, Message{Kind: Request, Job: uint32(i + 1), Key: 1<<63 + uint64(i), MayBeRunning: i%2 == 0},
			Message{Kind: Release, Job: uint32(i + 1), Key: 7, PauseNS: int64(i + 1)})
	}
	sent = append(sent, Message{Kind: Synced})
	for _, message := range sent {
		predecessor.Send(message)
	}
	for i, want := range sent {
		if got, err := successor.Receive(); err != nil || got != want {
			t.Fatalf("message %d: %+v %v, want %+v", i, got, err, want)
		}
	}
	successor.Send(Message{Kind: Grant, Job: 9})
	if got, err := predecessor.Receive(); err != nil || got != (Message{Kind: Grant, Job: 9}) {
		t.Errorf("%+v %v", got, err)
	}
	successor.Close()
	successor.Close()
	if got, err := predecessor.Receive(); err == nil {
		t.Errorf("received %+v over a closed link", got)
	}
}

// A successor must not link to a process that took over the address of its predecessor, or to an earlier version.
func TestOnlyThePredecessorItselfIsLinked(t *testing.T) {
	address, _ := startPredecessor(t)
	other := Predecessor{PID: address.PID + 1, Address: address.Address}
	if _, err := Dial(t.Context(), other, testTimeout); !errors.Is(err, ErrUnsupported) {
		t.Errorf("another process: %v", err)
	}
	earlier := httptest.NewServer(http.NewServeMux())
	defer earlier.Close()
	version := Predecessor{PID: address.PID, Address: strings.TrimPrefix(earlier.URL, "http://")}
	if _, err := Dial(t.Context(), version, testTimeout); !errors.Is(err, ErrUnsupported) {
		t.Errorf("an earlier version: %v", err)
	}
	answer, err := http.Get(fmt.Sprintf("http://%s%s?pid=%d", address.Address, path, address.PID))
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusUpgradeRequired {
		t.Errorf("without the upgrade: %s", answer.Status)
	}
}

// A predecessor that is stopped accepts connections, but answers nothing.
func TestAPredecessorThatDoesNotAnswerIsNotWaitedFor(t *testing.T) {
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	_, err = Dial(t.Context(), Predecessor{Address: silent.Addr().String()}, 50*time.Millisecond)
	if err == nil || errors.Is(err, ErrUnsupported) {
		t.Errorf("%v, want a timeout that may be retried", err)
	}
}

func TestInputThatIsNoMessageEndsTheLink(t *testing.T) {
	for _, text := range []string{"{\n", "[]\n", `{"key":1}` + "\n", strings.Repeat(" ", 1<<16) + "\n"} {
		successor, predecessor := connect(t)
		if _, err := successor.conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		if message, err := predecessor.Receive(); err == nil {
			t.Errorf("%.20q is received as %+v", text, message)
		}
	}
}

// Guards against a queue that grows without bound while the peer is stopped.
func TestUnsentRequestsAreDroppedWithTheirReleases(t *testing.T) {
	request, running := Message{Kind: Request, Job: 1, Key: 5}, Message{Kind: Request, Job: 2, Key: 5, MayBeRunning: true}
	pause := Message{Kind: Release, Job: 2, Key: 5, PauseNS: 9}
	var queue []Message
	for _, message := range []Message{
		running, request, {Kind: Release, Job: 1, Key: 5}, {Kind: Release, Job: 3, Key: 5}, pause,
	} {
		queue = enqueue(queue, message)
	}
	if want := []Message{running, {Kind: Release, Job: 3, Key: 5}, pause}; !reflect.DeepEqual(queue, want) {
		t.Errorf("%+v, want %+v", queue, want)
	}
}

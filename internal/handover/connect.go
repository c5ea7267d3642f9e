package handover

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"
)

const (
	// Pattern is the route of the predecessor's HTTP server under which Accept is registered.
	Pattern = "GET /handover"
	// NoticePath is the path to which a supervisor posts a Notice.
	NoticePath = "/successor"
	// Version of the messages. A process logs it, so that a supervisor knows which processes link to each other.
	Version = 1

	path              = "/handover"
	processParameter  = "pid"
	upgradeProtocol   = "swiftreel-handover/1"
	switchingProtocol = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n" +
		"Upgrade: " + upgradeProtocol + "\r\n\r\n"
)

// ErrUnsupported means that the predecessor is of a version that does not link, or that another process has taken over
// its address.
var ErrUnsupported = errors.New("the process does not link to a successor")

// Notice tells a process whether a successor runs that does not link to it. Such a successor may take jobs of any key.
type Notice struct {
	Running bool `json:"running"`
}

// Predecessor identifies the process that a successor links to.
type Predecessor struct {
	PID     int    // the address may have become another process's since
	Address string // host:port of its HTTP server
}

// Dial links to a predecessor. It returns ErrUnsupported if that will never succeed.
func Dial(ctx context.Context, predecessor Predecessor, timeout time.Duration) (*Link, error) {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp4", predecessor.Address)
	if err != nil {
		return nil, err
	}
	input, err := upgrade(ctx, conn, predecessor, timeout)
	if err != nil {
		_ = conn.Close() // nothing depends on it
		return nil, err
	}
	return newLink(conn, input), nil
}

// upgrade requests the upgrade of a connection, and returns the reader that may hold the first messages.
func upgrade(
	ctx context.Context, conn net.Conn, predecessor Predecessor, timeout time.Duration,
) (*bufio.Reader, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	target := url.URL{Scheme: "http", Host: predecessor.Address, Path: path}
	target.RawQuery = url.Values{processParameter: {strconv.Itoa(predecessor.PID)}}.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", upgradeProtocol)
	if err := request.Write(conn); err != nil {
		return nil, err
	}
	input := bufio.NewReader(conn)
	response, err := http.ReadResponse(input, request)
	if err != nil {
		return nil, err
	}
	_ = response.Body.Close() // an upgraded connection has no body, and any other is closed
	switch response.StatusCode {
	case http.StatusSwitchingProtocols:
		return input, nil
	case http.StatusNotFound:
		return nil, ErrUnsupported
	default:
		return nil, fmt.Errorf("handover: %s", response.Status)
	}
}

// Accept upgrades the connection of a successor's request. If it returns an error, it has answered the request.
func Accept(w http.ResponseWriter, r *http.Request) (*Link, error) {
	if r.URL.Query().Get(processParameter) != strconv.Itoa(os.Getpid()) {
		http.Error(w, "another process", http.StatusNotFound)
		return nil, ErrUnsupported
	}
	if r.Header.Get("Upgrade") != upgradeProtocol {
		http.Error(w, "no upgrade", http.StatusUpgradeRequired)
		return nil, errors.New("handover: a request without the upgrade")
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, "no upgrade", http.StatusInternalServerError)
		return nil, err
	}
	if _, err := conn.Write([]byte(switchingProtocol)); err != nil {
		_ = conn.Close() // the successor has gone
		return nil, err
	}
	return newLink(conn, buffered.Reader), nil
}

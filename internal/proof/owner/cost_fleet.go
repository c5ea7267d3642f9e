package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"time"

	"swiftreel/internal/leader"
	"swiftreel/internal/operator"
)

const (
	costVoters     = 3
	costLifetimeMS = 5000
	costDrainMS    = 1000
)

// costFleet is a fleet with listeners in this process and voters in separate processes.
type costFleet struct {
	folder    string
	settings  operator.Fleet
	listeners []*listener
	sockets   []net.Listener
	voters    []*exec.Cmd
	bytes     atomic.Int64 // sent and received by the listeners
}

// startCostFleet starts a fleet with count listeners.
func startCostFleet(count int) (*costFleet, error) {
	folder, err := os.MkdirTemp("", "costs")
	if err != nil {
		return nil, err
	}
	f := &costFleet{folder: folder}
	f.settings.Shares = &operator.Shares{LeaseMS: costLifetimeMS}
	f.settings.DrainMS = costDrainMS
	if err := f.start(count); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *costFleet) start(count int) error {
	for i := range count {
		if err := f.startListener(fmt.Sprint("l", i)); err != nil {
			return err
		}
	}
	for i := range costVoters {
		if err := f.addVoter(fmt.Sprint("v", i)); err != nil {
			return err
		}
	}
	file, err := f.writeSettings()
	if err != nil {
		return err
	}
	for _, name := range f.settings.Voters {
		if err := f.startVoter(name, file); err != nil {
			return err
		}
	}
	return nil
}

// close kills the voters, closes the listeners' sockets and removes all files.
func (f *costFleet) close() {
	for _, voter := range f.voters {
		_ = voter.Process.Kill() // fails if it has already exited
		_ = voter.Wait()         // always an error: it was killed
	}
	for _, socket := range f.sockets {
		_ = socket.Close()
	}
	_ = os.RemoveAll(f.folder)
}

func (f *costFleet) startListener(name string) error {
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.sockets = append(f.sockets, socket)
	l := newListener(name)
	f.listeners = append(f.listeners, l)
	mux := http.NewServeMux()
	l.registerHandlers(mux)
	go func() { _ = http.Serve(countingListener{socket, &f.bytes}, mux) }() // ends when close closes the socket
	f.settings.Members = append(f.settings.Members, operator.Member{Name: name, Listen: socket.Addr().String()})
	return nil
}

// addVoter adds a voter to the settings, at an address that was just found to be free.
func (f *costFleet) addVoter(name string) error {
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.settings.Members = append(f.settings.Members, operator.Member{Name: name, Listen: socket.Addr().String()})
	f.settings.Voters = append(f.settings.Voters, name)
	return socket.Close()
}

func (f *costFleet) writeSettings() (string, error) {
	text, err := json.Marshal(operatorSettings{Fleet: f.settings})
	if err != nil {
		return "", err
	}
	file := filepath.Join(f.folder, "operator.json")
	return file, os.WriteFile(file, text, 0o600)
}

// operatorSettings is the part of the operator's file that the proof writes.
type operatorSettings struct {
	Fleet operator.Fleet `json:"fleet"`
}

func (f *costFleet) startVoter(name, file string) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	voter := exec.Command(executable, "-as", name, "-file", file)
	voter.Stderr = os.Stderr
	if err := voter.Start(); err != nil {
		return err
	}
	f.voters = append(f.voters, voter)
	return nil
}

// bootstrapBody is the body of the request that makes a process a voter.
type bootstrapBody struct {
	ID      int               `json:"id"`
	Members map[uint64]string `json:"names"`
}

// awaitLeader bootstraps the voters as they come up until one of them acts as leader, and returns its process ID.
func (f *costFleet) awaitLeader() (pid int, err error) {
	names := map[uint64]string{}
	for i, name := range f.settings.Voters {
		names[uint64(i)+1] = name
	}
	voters := f.settings.Members[len(f.listeners):]
	for end := time.Now().Add(costTimeout); ; time.Sleep(costInterval) {
		if time.Now().After(end) {
			return 0, fmt.Errorf("no leader for %d listeners", len(f.listeners))
		}
		for i, voter := range voters {
			bootstrapVoter(voter, bootstrapBody{ID: i + 1, Members: names})
		}
		for i, voter := range voters {
			if isActive(voter) {
				return f.voters[i].Process.Pid, nil
			}
		}
	}
}

// bootstrapVoter requests that a process become a voter. Errors are ignored: the process may not be up yet, or may be a
// voter already.
func bootstrapVoter(voter operator.Member, body bootstrapBody) {
	text, err := json.Marshal(body)
	if err != nil {
		return
	}
	response, err := request(http.MethodPost, voter, "/v1/owner/found", text)
	if err == nil {
		_ = response.Body.Close()
	}
}

// request sends a request to a voter. The caller closes the response body.
func request(method string, voter operator.Member, path string, body []byte) (*http.Response, error) {
	url := "http://" + voter.Listen + path
	r, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(r)
}

// isActive reports whether a voter currently acts as leader.
func isActive(voter operator.Member) bool {
	response, err := request(http.MethodGet, voter, "/v1/owner", nil)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var status leader.Status
	return json.NewDecoder(response.Body).Decode(&status) == nil && status.Active
}

// awaitAssignments waits until the listeners have accepted count assignments in total.
func (f *costFleet) awaitAssignments(count int) error {
	for end := time.Now().Add(costTimeout); f.assignmentCount() < count; time.Sleep(costInterval) {
		if time.Now().After(end) {
			return fmt.Errorf("%d listeners accepted only %d assignments", len(f.listeners), f.assignmentCount())
		}
	}
	return nil
}

func (f *costFleet) assignmentCount() int {
	count := 0
	for _, l := range f.listeners {
		count += l.assignmentCount()
	}
	return count
}

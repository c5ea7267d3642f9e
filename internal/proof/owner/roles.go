package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"swiftreel/internal/leader"
	"swiftreel/internal/operator"
)

// rolePoll is the role of a process that polls a file. Every other role is the name of a voter.
const rolePoll = "poll"

const (
	pollDuration  = 2 * time.Second
	pollInterval  = time.Second
	pollFileBytes = 4096
)

// runRole runs this program as a voter or as a poller.
func runRole(role, file string) error {
	if role == rolePoll {
		return runPolling(file)
	}
	return runVoter(role, file)
}

// runVoter runs a voter with its duties as a leader, and the handlers of a listener in place of its supervisor.
func runVoter(name, file string) error {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	settings, err := operator.Load(file)
	if err != nil {
		return err
	}
	addresses := map[string]string{}
	for _, member := range settings.Fleet.Members {
		addresses[member.Name] = member.Address()
	}
	folder := filepath.Dir(file)
	node, err := leader.Open(name, filepath.Join(folder, name+".db"), addresses, leader.DefaultTiming())
	if err != nil {
		return err
	}
	duties, err := leader.NewDuties(node, settings.Fleet, folder)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	newListener(name).registerHandlers(mux)
	node.RegisterHandlers(mux)
	duties.RegisterHandlers(mux)
	own, isMember := settings.Fleet.Member(name)
	if !isMember {
		return fmt.Errorf("no member %q", name)
	}
	socket, err := net.Listen("tcp4", own.Listen)
	if err != nil {
		return err
	}
	go duties.Run(context.Background()) // runs until the process is killed
	return http.Serve(socket, mux)
}

// runPolling has the given number of goroutines read a file once a second while another one writes it. It prints how
// many cores they used in total.
func runPolling(number string) error {
	count, err := strconv.Atoi(number)
	if err != nil {
		return err
	}
	file, err := os.CreateTemp("", "polled")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(file.Name()) }() // a leftover temporary file does no harm
	end := time.Now().Add(pollDuration)
	var wait sync.WaitGroup
	for i := range count + 1 {
		delay := time.Duration(i) * pollInterval / time.Duration(count+1)
		wait.Go(func() { pollFile(file.Name(), i == 0, delay, end) })
	}
	wait.Wait()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return err
	}
	used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	fmt.Println(used.Seconds() / pollDuration.Seconds())
	return nil
}

// pollFile reads or writes a file once a second. Errors are ignored: only the CPU time is measured.
func pollFile(path string, isWriter bool, delay time.Duration, end time.Time) {
	for time.Sleep(delay); time.Now().Before(end); time.Sleep(pollInterval) {
		if isWriter {
			_ = os.WriteFile(path, make([]byte, pollFileBytes), 0o600)
		} else {
			_, _ = os.ReadFile(path)
		}
	}
}

package main

import (
	"errors"
	"log"
	"os"
	"os/exec"
	"syscall"
	"time"

	"swiftreel/internal/fake"
)

const (
	readyPolls    = 50
	readyInterval = 100 * time.Millisecond
)

var errNotReady = errors.New("the controller does not get ready")

// demo shows it all in a few seconds.
func demo() error {
	f, err := startFakes()
	if err != nil {
		return err
	}
	controller, err := startController()
	if err != nil {
		return err
	}
	err = awaitReady()
	if err == nil {
		err = showJobs(f)
	}
	log.Print("\n-- the controller is told to stop")
	return errors.Join(err, controller.Process.Signal(syscall.SIGTERM), controller.Wait())
}

// startController starts bin/swiftreel with the example's configuration.
func startController(args ...string) (*exec.Cmd, error) {
	controller := exec.Command("bin/swiftreel", args...)
	controller.Env = append(os.Environ(), "ROUTER_CONFIG=example/config.json")
	controller.Stderr = os.Stderr
	return controller, controller.Start()
}

func awaitReady() error {
	for range readyPolls {
		if ready() {
			return nil
		}
		time.Sleep(readyInterval)
	}
	return errNotReady
}

// ready reports whether the controller welcomes jobs.
func ready() bool {
	client, err := fake.Dial(controllerAddress)
	if err != nil {
		return false
	}
	defer client.Conn.Close()
	ready, err := client.Ready()
	return ready && err == nil
}

// showJobs sends jobs that are served, one that is throttled, and some while an engine is lost.
func showJobs(all *fakes) error {
	log.Print("\n-- a job is served")
	if err := send([]string{"SELECT * FROM sales_17.orders"}); err != nil {
		return err
	}
	log.Print("\n-- a job whose work cannot end before its job timeout is throttled at once")
	if err := send([]string{"-work", "60000", "SELECT * FROM sales_17.orders"}); err != nil {
		return err
	}
	log.Print("\n-- an engine is lost; jobs go on")
	all.lose("e1")
	for range 4 {
		statement := "INSERT INTO sales_17.orders SELECT * FROM staging.x"
		if err := send([]string{"-type", "import", "-ttl", "20000", "-key", "k1", statement}); err != nil {
			return err
		}
	}
	return nil
}

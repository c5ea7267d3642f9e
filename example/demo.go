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
	readyPolls   = 50
	readyPolling = 100 * time.Millisecond
)

var errNotReady = errors.New("the controller does not get ready")

// demo shows a controller at work in a few seconds.
func demo() error {
	running, err := startFakes()
	if err != nil {
		return err
	}
	controller, err := startController()
	if err != nil {
		return err
	}
	if !waitReady() {
		_ = controller.Process.Kill() // it may have ended by itself
		return errNotReady
	}
	err = playJobs(running)
	log.Print("\n-- the controller is told to stop")
	return errors.Join(err, stopController(controller))
}

// playJobs sends one job that is served, one that is throttled, and some while an engine is lost.
func playJobs(running *fakes) error {
	log.Print("\n-- a job is served")
	if err := send([]string{"SELECT * FROM sales_17.orders"}); err != nil {
		return err
	}
	log.Print("\n-- a job whose work cannot end before its job timeout is throttled at once")
	if err := send([]string{"-work", "60000", "SELECT * FROM sales_17.orders"}); err != nil {
		return err
	}
	log.Print("\n-- an engine is lost; jobs go on")
	running.loseEngine("e1")
	for range 4 {
		importJob := "INSERT INTO sales_17.orders SELECT * FROM staging.x"
		if err := send([]string{"-type", "import", "-ttl", "20000", "-key", "k1", importJob}); err != nil {
			return err
		}
	}
	return nil
}

// startController starts bin/swiftreel with the example's configuration.
func startController(arguments ...string) (*exec.Cmd, error) {
	controller := exec.Command("bin/swiftreel", arguments...)
	controller.Env = append(os.Environ(), "ROUTER_CONFIG="+configFile)
	controller.Stderr = os.Stderr
	return controller, controller.Start()
}

// stopController has the controller end as an operator does, and waits until it has.
func stopController(controller *exec.Cmd) error {
	if err := controller.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return controller.Wait()
}

// waitReady reports whether the controller accepts jobs within some seconds.
func waitReady() bool {
	for range readyPolls {
		if isReady() {
			return true
		}
		time.Sleep(readyPolling)
	}
	return false
}

func isReady() bool {
	client, err := fake.Dial(controllerAddress)
	if err != nil {
		return false
	}
	defer client.Conn.Close()
	ready, err := client.Ready()
	return ready && err == nil
}

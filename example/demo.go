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
	readyPollAttempts = 50
	readyPollInterval = 100 * time.Millisecond
)

var errNotReady = errors.New("controller did not become ready in time")

// demo runs a controller against the fakes and sends it a few jobs. It takes a few seconds.
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
		_ = controller.Process.Kill() // fails if it has already exited
		return errNotReady
	}
	err = sendJobs(running)
	log.Print("\n-- the controller is told to stop")
	return errors.Join(err, stopController(controller))
}

// sendJobs sends one job that is served, one that is throttled, and several after an engine has crashed.
func sendJobs(running *fakes) error {
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

// startController starts bin/swiftreel with the configuration of the example.
func startController(arguments ...string) (*exec.Cmd, error) {
	controller := exec.Command("bin/swiftreel", arguments...)
	controller.Env = append(os.Environ(), "ROUTER_CONFIG="+configFile)
	controller.Stderr = os.Stderr
	return controller, controller.Start()
}

// stopController sends SIGTERM to the controller, as an operator would, and waits until it has exited.
func stopController(controller *exec.Cmd) error {
	if err := controller.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return controller.Wait()
}

// waitReady polls the controller and reports whether it accepts jobs before the attempts are used up.
func waitReady() bool {
	for range readyPollAttempts {
		if isReady() {
			return true
		}
		time.Sleep(readyPollInterval)
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

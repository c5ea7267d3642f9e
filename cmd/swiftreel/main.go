// Command swiftreel is a controller: it admits jobs from clients and dispatches them to engines as the decision module
// (package choice) decides. The ROUTER_* environment variables name its configuration; the operator's file enables
// further functions.
//
// Signals: SIGHUP reloads both files; SIGTERM and SIGINT stop the controller once no answer is pending.
package main

import (
	"log/slog"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"swiftreel/internal/command"
	"swiftreel/internal/config"
	"swiftreel/internal/logging"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr, serve))
}

// serve runs the controller. It is what swiftreel does without a subcommand.
func serve(options command.ServeOptions) error {
	reload := make(chan os.Signal, 1) // caught before anything else, so that SIGHUP never terminates the process
	signal.Notify(reload, syscall.SIGHUP)
	defer logging.Setup(os.Stderr)()
	if options.Operator == "" {
		options.Operator = os.Getenv("ROUTER_OPERATOR")
	}
	file, err := loadConfig()
	if err != nil {
		return err
	}
	if len(file.UnknownNames) > 0 {
		slog.Warn("config_names_unknown", "names", strings.Join(file.UnknownNames, ","))
	}
	operatorFile, err := loadOperatorFile(options.Operator)
	if err != nil {
		return err
	}
	if testHooks.beforeListen != nil {
		testHooks.beforeListen()
	}
	stop := make(chan os.Signal, 1) // caught before clients can connect, so that all of them are answered
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	if _, replaces := operatorFile.Predecessor(os.Getenv); replaces {
		return run(file, nil, options, stop, reload)
	}
	listener, err := listenForClients(file.Listen, operatorFile)
	if err != nil {
		return err
	}
	return run(file, listener, options, stop, reload)
}

// run serves on a listener until a stop signal has arrived and no answer is pending. Each reload signal reloads both
// files. A nil listener is opened once the order of keys is coordinated with the predecessor; no job is admitted
// before.
func run(file config.File, listener net.Listener, options command.ServeOptions, stop, reload <-chan os.Signal) error {
	listeningSince := time.Now()
	files, err := readFiles(file, options.Operator, file.Settings)
	if err != nil {
		return err
	}
	s, err := newServer(files, options)
	if err != nil {
		return err
	}
	if listener == nil {
		s.predecessor.awaitFirstAttempt()
		listeningSince = time.Now()
		if listener, err = listenForClients(file.Listen, files.operator); err != nil {
			return err
		}
	}
	s.start(listener, listeningSince, reload)
	s.stop(<-stop)
	return nil
}

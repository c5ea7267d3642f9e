//go:build review2

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// timeLimit is how long a case may take.
const timeLimit = 110 * time.Second

// cases are the cases by name. They return whether the rule held.
var cases = map[string]func(rec *record, trouble bool) (held bool, err error){}

// usage: stand2 CASE RECORD, from the root of the repository. What happens is appended to the record. With TROUBLE=0 the
// case is played without its disruption.
func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		return exitUnable
	}
	file, err := os.OpenFile(os.Args[2], os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer file.Close()
	rec := &record{file: file, started: time.Now()}
	go endEarly(rec)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, with its disruption: %v", os.Args[1], trouble)
	held, err := cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		return conclude(rec, err.Error(), exitUnable)
	case held:
		return conclude(rec, "the rule held", exitHeld)
	default:
		return conclude(rec, "the rule was broken", exitBroken)
	}
}

func conclude(rec *record, text string, status int) int {
	rec.line("%s", text)
	fmt.Println(text)
	return status
}

// endEarly ends the case, with all that it has started, at a signal or after the time limit.
func endEarly(rec *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	killStarted()
	os.Exit(conclude(rec, "ended early", exitUnable))
}

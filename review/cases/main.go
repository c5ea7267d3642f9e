//go:build review

// Command cases plays the cases of the review: it starts the project's programs as separate processes, plays clients,
// engines and the endpoint feed, and checks what these see. Its arguments are the number of the case and the path of its
// record, to which it appends. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds a case; the limit of the review is 120 s.
const maxDuration = 110 * time.Second

var cases = map[string]func(*rig) (broken []string){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NUMBER RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(newRig(os.Args[2]).play(cases[os.Args[1]]))
}

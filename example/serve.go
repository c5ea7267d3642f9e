package main

import (
	"bufio"
	"log"
	"os"
	"strings"
)

// serve runs the fakes until interrupted, and does what is typed.
func serve() error {
	f, err := startFakes()
	if err != nil {
		return err
	}
	log.Printf("engines %v and discovery %s are up; type: lose e1, back e1", engineAddresses, discoveryAddress)
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		f.obey(lines.Text())
	}
	select {} // no more to read: until interrupted
}

// obey does what a line says.
func (f *fakes) obey(line string) {
	command, name, _ := strings.Cut(strings.TrimSpace(line), " ")
	name = strings.TrimSpace(name)
	switch {
	case engineAddresses[name] == "":
		log.Print("lose or back, and e1 or e2")
	case command == "lose":
		f.lose(name)
	case command == "back":
		f.restart(name)
	default:
		log.Print("lose or back, and e1 or e2")
	}
}

package main

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
)

// node is a controller's process. It listens where there is room, and its log says where: an address chosen before it
// starts may be another run's by then, whose jobs would be taken for this one's.
type node struct {
	*exec.Cmd
	read sync.WaitGroup

	mu   sync.Mutex
	said strings.Builder
}

func startNode(program, config, own string) (*node, error) {
	n := &node{Cmd: exec.Command(program)}
	n.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "ROUTER_OPERATOR="+own)
	from, to, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	n.Stderr = to
	err = n.Start()
	to.Close()
	if err != nil {
		from.Close()
		return nil, err
	}
	n.read.Go(func() {
		defer from.Close()
		for lines := bufio.NewReader(from); ; {
			line, err := lines.ReadString('\n')
			n.mu.Lock()
			n.said.WriteString(line)
			n.mu.Unlock()
			if err == io.EOF || err != nil {
				return
			}
		}
	})
	return n, nil
}

// log is what it has said.
func (n *node) log() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.said.String()
}

// wait ends with the process and all that it said.
func (n *node) wait() error {
	err := n.Wait()
	n.read.Wait()
	return err
}

var (
	serving       = regexp.MustCompile(`msg=serving .*address=(\S+)`)
	servingSPARQL = regexp.MustCompile(`msg=serving_sparql address=(\S+)`)
)

// addresses are where it serves, once it does.
func (n *node) addresses() (client, sparql string, is bool) {
	text := n.log()
	a, b := serving.FindStringSubmatch(text), servingSPARQL.FindStringSubmatch(text)
	if a == nil || b == nil {
		return "", "", false
	}
	return a[1], b[1], true
}

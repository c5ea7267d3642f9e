package main

import (
	"regexp"

	"swiftreel/internal/testcluster"
)

// node is a controller's process. It listens where there is room, and its log says where: an address chosen before it
// starts may be another run's by then, whose jobs would be taken for this one's.
type node struct{ *testcluster.Process }

func startNode(program, config, own string) (*node, error) {
	p, err := testcluster.StartProcess(program, []string{"ROUTER_CONFIG=" + config, "ROUTER_OPERATOR=" + own})
	return &node{p}, err
}

var (
	serving       = regexp.MustCompile(`msg=serving .*address=(\S+)`)
	servingSPARQL = regexp.MustCompile(`msg=serving_sparql address=(\S+)`)
)

// addresses are where it serves, once it does.
func (n *node) addresses() (client, sparql string, is bool) {
	text := n.Log()
	a, b := serving.FindStringSubmatch(text), servingSPARQL.FindStringSubmatch(text)
	if a == nil || b == nil {
		return "", "", false
	}
	return a[1], b[1], true
}

package leader

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	maxMessageBytes    = 8 << 20
	maxReplyBytes      = 1024 // read from a reply, so that its connection can be reused
	sendQueueLength    = 64   // messages per member; further ones are dropped, which raft tolerates
	maxUnlistedSenders = sendQueueLength
	messagePath        = "/v1/owner/message"
	memberNameHeader   = "Owner-Name" // carries the sender's name
	idleConnections    = 2            // per member
	idleTimeout        = 30 * time.Second
)

func newClient(timing Timing) http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout}
	return http.Client{Timeout: time.Duration(timing.Lease), Transport: transport}
}

// send queues a message for its receiver. It drops the message if the queue is full or the receiver's address is
// unknown. The caller holds the lock.
func (n *Node) send(message *raftpb.Message) {
	name := n.core.state.Members[message.GetTo()]
	if name == "" {
		name = n.unlistedSenders[message.GetTo()]
	}
	address := n.addresses[name]
	if address == "" {
		return
	}
	text, err := proto.Marshal(message)
	if err != nil {
		return
	}
	queue := n.sendQueues[name]
	if queue == nil {
		queue = make(chan []byte, sendQueueLength)
		n.sendQueues[name] = queue
		n.workers.Go(func() { n.runSender(address, queue) })
	}
	select {
	case queue <- text:
	default:
	}
}

// runSender sends the queued messages to one member, one at a time, until the node is closed.
func (n *Node) runSender(address string, queue <-chan []byte) {
	for {
		select {
		case <-n.closed:
			return
		case text := <-queue:
			n.post(address, text)
		}
	}
}

// post sends a message. Errors are ignored, because raft tolerates lost messages. A request in progress is not
// cancelled when the node is closed, because its message may transfer the leadership.
func (n *Node) post(address string, text []byte) {
	url := "http://" + address + messagePath
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return
	}
	request.Header.Set(memberNameHeader, n.name)
	response, err := n.client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxReplyBytes)) // so that the connection can be reused
}

// serveMessage handles a message from another member.
func (n *Node) serveMessage(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxMessageBytes+1))
	message := &raftpb.Message{}
	if err != nil || len(text) > maxMessageBytes || proto.Unmarshal(text, message) != nil {
		http.Error(w, "not a raft message", http.StatusUnprocessableEntity)
		return
	}
	n.update(func(c *Core) Output {
		n.rememberSender(message.GetFrom(), r.Header.Get(memberNameHeader))
		if message.GetTo() != c.id { // addressed to an earlier member of this name or address
			return Output{}
		}
		return c.Step(n.now(), message)
	})
	w.WriteHeader(http.StatusNoContent)
}

// rememberSender records the sender's name while the state lists no members. The caller holds the lock.
func (n *Node) rememberSender(id uint64, name string) {
	if len(n.core.state.Members) == 0 && n.addresses[name] != "" && len(n.unlistedSenders) < maxUnlistedSenders {
		n.unlistedSenders[id] = name
	}
}

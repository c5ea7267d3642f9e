package gateway

import (
	"errors"
	"log/slog"

	"swiftreel/choice"
	"swiftreel/internal/handover"
)

// Peer is the other process of this controller while a program is replaced, as package handover links it.
type Peer interface {
	// Send queues a message without waiting. Messages arrive in the order of the calls.
	Send(handover.Message)
	// Receive waits for the next message. It returns an error once the connection has ended.
	Receive() (handover.Message, error)
	// Close ends the connection.
	Close()
}

// maxRequestedLocks bounds the messages of a predecessor before Synced.
const maxRequestedLocks = 1 << 17

// Reasons why a process is not linked.
var (
	errPeerLinked   = errors.New("another process of this controller is linked")
	errTooManyLocks = errors.New("the predecessor requests too many locks")
)

// SetUncoordinatedSuccessor tells the module whether a successor runs that does not link to this process.
func (g *Gateway) SetUncoordinatedSuccessor(running bool) {
	g.notify(choice.Event{Kind: choice.SuccessorChanged, SuccessorRunning: running})
	slog.Info("uncoordinated_successor", "running", running)
}

// ServeSuccessor leaves the order of ordering keys to a successor process until the connection to it ends. It closes
// the connection. It returns an error if another process is linked.
func (g *Gateway) ServeSuccessor(successor Peer) error {
	defer successor.Close()
	if !g.link(successor, choice.SuccessorLinked, nil) {
		return errPeerLinked
	}
	slog.Info("successor_linked")
	g.receiveFrom(successor, choice.SuccessorUnlinked)
	slog.Info("successor_unlinked")
	return nil
}

// FollowPredecessor orders the jobs of ordering keys for both processes until the connection to the predecessor ends.
// It closes the connection. It begins, and calls synced, once the predecessor has requested the locks of all jobs that
// it admitted alone. A connection that ends earlier changes nothing: the predecessor may go on alone.
func (g *Gateway) FollowPredecessor(predecessor Peer, synced func()) error {
	defer predecessor.Close()
	requested, err := receiveUntilSynced(predecessor)
	if err != nil {
		return err
	}
	if !g.link(predecessor, choice.PredecessorLinked, requested) {
		return errPeerLinked
	}
	slog.Info("predecessor_linked", "locks", len(requested))
	synced()
	g.receiveFrom(predecessor, choice.PredecessorUnlinked)
	slog.Info("predecessor_unlinked")
	return nil
}

// receiveUntilSynced returns the messages of a predecessor before Synced, one or two for each open job and key.
func receiveUntilSynced(predecessor Peer) ([]handover.Message, error) {
	var requested []handover.Message
	for len(requested) <= maxRequestedLocks {
		message, err := predecessor.Receive()
		if err != nil {
			return nil, err
		}
		if message.Kind == handover.Synced {
			return requested, nil
		}
		requested = append(requested, message)
	}
	return nil, errTooManyLocks
}

// link makes a process the peer and notifies the module of that and of the peer's first messages, before any other
// event. It returns false if there is a peer or the gateway is closed.
func (g *Gateway) link(peer Peer, linked choice.EventKind, messages []handover.Message) bool {
	g.mu.Lock()
	if g.peer != nil || g.closed {
		g.mu.Unlock()
		return false
	}
	g.peer = peer
	actions := g.decide(choice.Event{Kind: linked})
	for _, message := range messages {
		actions = append(actions, g.decidePeerMessage(message)...)
	}
	if linked == choice.SuccessorLinked {
		peer.Send(handover.Message{Kind: handover.Synced})
	}
	g.mu.Unlock()
	g.perform(actions)
	return true
}

// receiveFrom passes the peer's messages to the module until the connection ends, and then the event unlinked.
func (g *Gateway) receiveFrom(peer Peer, unlinked choice.EventKind) {
	for {
		message, err := peer.Receive()
		if err != nil {
			break
		}
		g.mu.Lock()
		actions := g.decidePeerMessage(message)
		g.mu.Unlock()
		g.perform(actions)
	}
	g.mu.Lock()
	g.peer = nil
	actions := g.decide(choice.Event{Kind: unlinked})
	g.mu.Unlock()
	g.perform(actions)
}

// decidePeerMessage passes a message to the module and returns the actions to perform. The caller must hold the lock.
func (g *Gateway) decidePeerMessage(message handover.Message) []choice.Action {
	if event, known := g.lockEvent(message); known {
		return g.decide(event)
	}
	return nil
}

// closePeer closes the connection to the peer, if there is one. Nothing of this process is in flight any more.
func (g *Gateway) closePeer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.peer != nil {
		g.peer.Close()
	}
}

func concernsPeer(kind choice.ActionKind) bool {
	switch kind {
	case choice.RequestKeyLock, choice.ReleaseKeyLock, choice.GrantKeyLock, choice.RefuseKeyLock:
		return true
	default:
		return false
	}
}

// sendToPeer sends an action of the module to the peer. The caller must hold the lock, which keeps the module's order.
func (g *Gateway) sendToPeer(action choice.Action) {
	if g.peer == nil {
		return
	}
	message := handover.Message{Job: uint32(action.Job), Key: uint64(action.Key)}
	switch action.Kind {
	case choice.RequestKeyLock:
		message.Kind = handover.Request
		message.MayBeRunning = action.Enabled
		message.ReceivedAfterNS = g.clock.toMonotonic(action.ReceivedAfter)
		message.ReceivedBeforeNS = g.clock.toMonotonic(action.ReceivedBefore)
	case choice.ReleaseKeyLock:
		message.Kind = handover.Release
		message.PauseNS = int64(action.Duration)
	case choice.RefuseKeyLock:
		message.Kind = handover.Refuse
	default:
		message.Kind = handover.Grant
	}
	g.peer.Send(message)
}

// lockEvent converts a message of the peer to an event of the module; false for kinds that the module does not handle.
func (g *Gateway) lockEvent(message handover.Message) (choice.Event, bool) {
	event := choice.Event{Job: choice.JobID(message.Job), Key: choice.Key(message.Key)}
	switch message.Kind {
	case handover.Request:
		event.Kind = choice.KeyLockRequested
		event.MayBeRunning = message.MayBeRunning
		event.ReceivedAfter = g.clock.fromMonotonic(message.ReceivedAfterNS)
		event.ReceivedBefore = g.clock.fromMonotonic(message.ReceivedBeforeNS)
	case handover.Release:
		event.Kind = choice.KeyLockReleased
		event.Pause = choice.Nanos(message.PauseNS)
	case handover.Grant:
		event.Kind = choice.KeyLockGranted
	case handover.Refuse:
		event.Kind = choice.KeyLockRefused
	default:
		return choice.Event{}, false
	}
	return event, true
}

package gateway

import "sync"

// maxQueuedNotices is how many messages may wait in a mailbox before notices are dropped.
const maxQueuedNotices = 32

// mailbox holds the messages that the goroutine of a job has not handled yet. It is bounded by what the module may
// order for one job, and by maxQueuedNotices.
type mailbox struct {
	ready chan struct{} // has an element while messages may be waiting

	mu       sync.Mutex
	messages []jobMessage
}

func newMailbox() *mailbox { return &mailbox{ready: make(chan struct{}, 1)} }

// put adds a message. It never waits.
func (b *mailbox) put(message jobMessage) {
	b.mu.Lock()
	b.messages = append(b.messages, message)
	b.mu.Unlock()
	b.wake()
}

// putNotice adds a message that is dropped if many are waiting.
func (b *mailbox) putNotice(message jobMessage) {
	b.mu.Lock()
	if len(b.messages) < maxQueuedNotices {
		b.messages = append(b.messages, message)
	}
	b.mu.Unlock()
	b.wake()
}

func (b *mailbox) wake() {
	select {
	case b.ready <- struct{}{}:
	default: // it is awake
	}
}

// next removes the first message; false if there is none.
func (b *mailbox) next() (jobMessage, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.messages) == 0 {
		return nil, false
	}
	message := b.messages[0]
	b.messages = b.messages[1:]
	if len(b.messages) == 0 {
		b.messages = nil
	}
	return message, true
}

func (b *mailbox) isEmpty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.messages) == 0
}

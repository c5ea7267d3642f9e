package gateway

import "sync"

// maxQueuedNotices is the number of messages in a mailbox from which on progress notices are dropped.
const maxQueuedNotices = 32

// mailbox is the message queue of a job's goroutine. Its size is bounded by maxQueuedNotices and by the number of
// actions that the module returns for one job.
type mailbox struct {
	ready chan struct{} // has an element while messages may be queued

	mu       sync.Mutex
	messages []jobMessage
}

func newMailbox() *mailbox { return &mailbox{ready: make(chan struct{}, 1)} }

// put adds a message. It does not block.
func (b *mailbox) put(message jobMessage) {
	b.mu.Lock()
	b.messages = append(b.messages, message)
	b.mu.Unlock()
	b.wake()
}

// putNotice adds a message, or drops it if maxQueuedNotices messages are queued.
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
	default: // a wake-up is pending
	}
}

// next removes and returns the first message, or returns false if the mailbox is empty.
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

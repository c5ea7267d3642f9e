package gateway

import "testing"

func TestAMailboxKeepsOrderAndDropsNoticesPastItsBound(t *testing.T) {
	box := newMailbox()
	for range maxQueuedNotices + 5 {
		box.putNotice(attemptReply{})
	}
	box.put(clientDisconnected{})
	if len(box.messages) != maxQueuedNotices+1 {
		t.Errorf("%d messages are kept", len(box.messages))
	}
	<-box.ready
	for i := range maxQueuedNotices + 1 {
		message, ok := box.next()
		if _, last := message.(clientDisconnected); !ok || last != (i == maxQueuedNotices) {
			t.Errorf("message %d is %T", i, message)
		}
	}
	if _, ok := box.next(); ok || !box.isEmpty() {
		t.Error("not empty")
	}
}

package endpoint

import (
	"context"
	"sync"

	"swiftreel/internal/backend"
)

// dispatch is one that was started.
type dispatch struct {
	client *Client
	name   string // of the engine
	cancel context.CancelFunc
	reply  func(backend.Reply)

	mu          sync.Mutex // guards what follows
	over        bool       // its outcome was reported, or it was cancelled
	onCancelled func()     // of the one that cancelled it
}

// finish reports the outcome, unless the dispatch was cancelled: then that nothing of it is in flight.
func (d *dispatch) finish(reply backend.Reply) {
	cancelled, onCancelled := d.end()
	d.client.release(d.name, cancelled)
	d.report(reply, cancelled, onCancelled)
}

// finishUnsent does so for a dispatch that got no connection.
func (d *dispatch) finishUnsent(reply backend.Reply) {
	cancelled, onCancelled := d.end()
	d.report(reply, cancelled, onCancelled)
}

// end marks the dispatch as over, and returns whether it was cancelled before.
func (d *dispatch) end() (cancelled bool, onCancelled func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	cancelled = d.over
	d.over = true
	return cancelled, d.onCancelled
}

func (d *dispatch) report(reply backend.Reply, cancelled bool, onCancelled func()) {
	if !cancelled {
		d.reply(reply)
		return
	}
	d.client.Release(reply.Pages)
	if onCancelled != nil {
		onCancelled()
	}
}

// Cancel implements backend.Dispatch. HTTP has no message for it: the connection is closed, and an engine that has
// begun may go on.
func (d *dispatch) Cancel(done func()) bool {
	d.mu.Lock()
	if d.over {
		d.mu.Unlock()
		return false
	}
	d.over = true
	d.onCancelled = done
	d.mu.Unlock()
	d.client.countCancelled(d.name)
	d.cancel()
	return true
}

// SetPriority implements backend.Dispatch: the protocol has no message for it.
func (d *dispatch) SetPriority(uint8) {}

package endpoint

import (
	"context"
	"sync"

	"swiftreel/internal/backend"
)

// dispatch implements backend.Dispatch.
type dispatch struct {
	client *Client
	name   string // of the engine
	cancel context.CancelFunc
	reply  func(backend.Reply)

	mu          sync.Mutex // guards the fields below
	ended       bool       // its outcome was reported, or it was cancelled
	onCancelled func()     // the argument of Cancel
}

// finish frees the connection and reports the outcome. If the dispatch was cancelled, it calls onCancelled instead.
func (d *dispatch) finish(reply backend.Reply) {
	cancelled, onCancelled := d.end()
	d.client.release(d.name, cancelled)
	d.report(reply, cancelled, onCancelled)
}

// finishUnsent does the same for a dispatch that got no connection.
func (d *dispatch) finishUnsent(reply backend.Reply) {
	cancelled, onCancelled := d.end()
	d.report(reply, cancelled, onCancelled)
}

// end marks the dispatch as ended, and returns whether it was cancelled before.
func (d *dispatch) end() (cancelled bool, onCancelled func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	cancelled = d.ended
	d.ended = true
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

// Cancel implements backend.Dispatch. HTTP has no message for cancellation: the connection is closed, and an engine
// that has started the job may continue it.
func (d *dispatch) Cancel(done func()) bool {
	d.mu.Lock()
	if d.ended {
		d.mu.Unlock()
		return false
	}
	d.ended = true
	d.onCancelled = done
	d.mu.Unlock()
	d.client.countCancelled(d.name)
	d.cancel()
	return true
}

// SetPriority implements backend.Dispatch. It does nothing, as the protocol has no message for it.
func (d *dispatch) SetPriority(uint8) {}

package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"os"
	"sync"
	"time"

	"swiftreel/internal/gateway"
	"swiftreel/internal/handover"
	"swiftreel/internal/operator"
)

const (
	// linkTimeout bounds an attempt to link to the predecessor. This process does not listen for clients before the
	// first attempt has ended.
	linkTimeout    = time.Second
	linkRetryDelay = 100 * time.Millisecond
	maxNoticeBytes = 1 << 10
)

// predecessorFollower keeps this process linked to the process that it replaces. A nil follower does nothing.
type predecessorFollower struct {
	gateway     *gateway.Gateway
	predecessor handover.Predecessor
	attempted   chan struct{} // closed once the first attempt has linked the processes or has failed
	stopping    chan struct{} // closed once the predecessor has ended or this process stops
	stopped     chan struct{}

	signalAttempted func()
	signalStopping  func()
	ctx             context.Context // ends with closeLink
	closeLink       func()
}

// newPredecessorFollower starts to link to the predecessor that the operator's file and the environment name. It
// returns nil if there is none.
func newPredecessorFollower(file operator.File, gate *gateway.Gateway) *predecessorFollower {
	predecessor, replaces := file.Predecessor(os.Getenv)
	if !replaces {
		return nil
	}
	f := &predecessorFollower{
		gateway:     gate,
		predecessor: predecessor,
		attempted:   make(chan struct{}),
		stopping:    make(chan struct{}),
		stopped:     make(chan struct{}),
	}
	f.signalAttempted = sync.OnceFunc(func() { close(f.attempted) })
	f.signalStopping = sync.OnceFunc(func() { close(f.stopping) })
	f.ctx, f.closeLink = context.WithCancel(context.Background())
	go f.run()
	return f
}

// run links to the predecessor again whenever the link is lost, until stop is called or linking is not supported.
func (f *predecessorFollower) run() {
	defer close(f.stopped)
	defer f.signalAttempted()
	for {
		err := f.follow()
		if errors.Is(err, handover.ErrUnsupported) {
			slog.Warn("predecessor_not_linked", "reason", err)
			return
		}
		f.signalAttempted()
		select {
		case <-f.stopping:
			return
		case <-time.After(linkRetryDelay):
		}
	}
}

// follow links to the predecessor and returns once the link has ended.
func (f *predecessorFollower) follow() error {
	link, err := handover.Dial(f.ctx, f.predecessor, linkTimeout)
	if err != nil {
		return err
	}
	defer context.AfterFunc(f.ctx, link.Close)()
	return f.gateway.FollowPredecessor(link, f.signalAttempted)
}

// awaitFirstAttempt waits until the first attempt has linked the processes or has failed.
func (f *predecessorFollower) awaitFirstAttempt() {
	if f == nil {
		return
	}
	select {
	case <-f.attempted:
	case <-time.After(linkTimeout):
		slog.Warn("predecessor_not_linked", "reason", "no answer")
	}
}

// stop ends further attempts. A link in use stays.
func (f *predecessorFollower) stop() {
	if f != nil {
		f.signalStopping()
	}
}

// close stops the follower and waits for it. The gateway must be closed.
func (f *predecessorFollower) close() {
	if f != nil {
		f.signalStopping()
		f.closeLink()
		<-f.stopped
	}
}

// acceptSuccessor serves the request of a successor to link.
func (s *statsServer) acceptSuccessor(w http.ResponseWriter, r *http.Request) {
	link, err := handover.Accept(w, r)
	if err == nil {
		err = s.gateway.ServeSuccessor(link)
	}
	if err != nil {
		slog.Warn("successor_not_linked", "reason", err)
	}
}

// acceptNotice accepts a supervisor's notice about a successor that does not link.
func (s *statsServer) acceptNotice(w http.ResponseWriter, r *http.Request) {
	var notice handover.Notice
	if err := json.NewDecoder(io.LimitReader(r.Body, maxNoticeBytes)).Decode(&notice); err != nil {
		http.Error(w, "no notice", http.StatusUnprocessableEntity)
		return
	}
	s.gateway.SetUncoordinatedSuccessor(notice.Running)
	w.WriteHeader(http.StatusNoContent)
}

package main

import (
	"log/slog"
	"sync/atomic"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/check"
	"swiftreel/internal/gateway"
	"swiftreel/internal/operator"
	"swiftreel/internal/tally"
	"swiftreel/internal/version"
)

// teller tells the controller's tally; off, its server is nil.
type teller struct {
	server  *tally.Server
	inForce atomic.Pointer[force]
	owed    atomic.Value // func() int64, once there is a front
}

// force is what a controller runs with.
type force struct{ spec, settings change.Digest }

func newTeller(o *operator.Tally, gate *gateway.Gateway) (*teller, error) {
	t := &teller{}
	t.inForce.Store(&force{})
	if o == nil {
		return t, nil
	}
	book, began := tally.NewBook(), time.Now().UnixNano()
	gate.Count(book)
	var err error
	t.server, err = tally.Serve(o.Listen, func() (r tally.Report) {
		book.Fill(&r)
		now := t.inForce.Load()
		r.Started, r.Version, r.Spec, r.Settings = began, version.Name, now.spec, now.settings
		r.Ready, r.Refused = gate.Ready(), check.Of("reloads_failed")
		if owed, is := t.owed.Load().(func() int64); is {
			r.Owed = owed()
		}
		return r
	})
	if err == nil {
		slog.Info("serving_tally", "address", t.server.Address())
	}
	return t, err
}

// force takes what is in force now: what the file in force says of its spec, and the settings as the module has them.
func (t *teller) force(o *operator.Tally, facts map[string]any) {
	f := force{settings: change.OfJSON(facts)}
	if o != nil {
		f.spec = o.Spec
	}
	t.inForce.Store(&f)
}

func (t *teller) close() {
	if t.server != nil {
		t.server.Close()
	}
}

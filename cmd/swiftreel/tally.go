package main

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"swiftreel/choice"
	"swiftreel/internal/change"
	"swiftreel/internal/counters"
	"swiftreel/internal/failpoint"
	"swiftreel/internal/gateway"
	"swiftreel/internal/jobstats"
	"swiftreel/internal/monotonic"
	"swiftreel/internal/operator"
	"swiftreel/internal/version"
)

// teller tells the controller's tally; off, its server is nil.
type teller struct {
	server  *jobstats.Server
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
	book, began := jobstats.NewBook(), failpoint.Wall().UnixNano()
	gate.Count(book)
	var err error
	t.server, err = jobstats.Serve(o.Listen, func() (r jobstats.Report) {
		book.Fill(&r)
		now := t.inForce.Load()
		r.Started, r.Version, r.Spec, r.Settings = began, version.Name, now.spec, now.settings
		r.Ready, r.Refused, r.Aside = gate.Ready(), counters.Value("reloads_failed"), gate.Aside()
		r.Health, _ = json.Marshal(gate.Health())
		r.Engines, r.Carries = gate.Engines(), int64(1e6*gate.Carries())
		r.Learned, _ = json.Marshal(gate.Learned()) // figures that JSON cannot hold are not told
		if owed, is := t.owed.Load().(func() int64); is {
			r.Owed = owed()
		}
		return r
	}, func(p jobstats.Part) {
		quotas := map[string]float64{}
		for name, n := range p.Quotas {
			quotas[name] = float64(n) / 1e6
		}
		if left := p.UntilNS - monotonic.Now(); left > 0 {
			gate.Part(float64(p.PerMillion)/1e6, quotas, time.Duration(left))
		}
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

// teach takes over what an older process has learned. Of another version, or spoilt, it teaches nothing.
func teach(o *operator.Tally, gate *gateway.Gateway) {
	if o == nil || len(o.Learned) == 0 || failpoint.Untaught() {
		return
	}
	var named map[string]choice.TypeStats
	if err := json.Unmarshal(o.Learned, &named); err != nil {
		slog.Warn("not_taught", "reason", err)
		return
	}
	var engines map[string]gateway.Health
	if len(o.Health) > 0 && json.Unmarshal(o.Health, &engines) != nil {
		engines = nil // of another form: they are seen anew
	}
	gate.Teach(named, engines)
}

// elder tells whether a file says that an older process of this controller still runs.
func elder(f operator.File) bool { return f.Tally != nil && f.Tally.Elder }

// listen listens for clients. Where a keeper starts one program beside the other, both have the address for a while: the
// kernel gives each new connection to one of them.
func listen(address string, shared bool) (net.Listener, error) {
	var l net.ListenConfig
	if shared {
		l.Control = func(_, _ string, c syscall.RawConn) (err error) {
			failed := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
			return errors.Join(failed, err)
		}
	}
	return l.Listen(context.Background(), "tcp4", address)
}

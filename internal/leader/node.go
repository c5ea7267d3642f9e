package leader

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Bounds of what passes between members.
const (
	maxMessageBytes = 8 << 20
	sendQueueLength = 64 // messages to one member; more are dropped, as a link may drop them
)

// stallPart of a lease is how late a tick may be.
const stallsPerLease = 4

// Stalls counts the ticks that were later.
func (n *Node) StalledTicks() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stalledTicks
}

// nameHeader tells a message's sender by name.
const memberNameHeader = "Owner-Name"

// Node is a member as a process has it: its core under one lock, its disk, its links.
type Node struct {
	name       string
	addresses  map[string]string // by name
	store      *Store
	timing     Timing
	client     http.Client
	startedAt  time.Time
	closed     chan struct{}
	goroutines sync.WaitGroup

	mu           sync.Mutex
	core         *Core // nil: of no fleet yet
	halted       error // its disk failed: it says nothing any more
	stalledTicks int64 // ticks that came so late that a lease would have suffered

	lastTick        int64
	lastCommandID   uint64
	pending         map[uint64]chan error // commands under way, until their time is over
	sendQueues      map[string]chan []byte
	unlistedSenders map[uint64]string // who has written, while what is agreed does not name them yet: one that joins must answer
}

// Open starts a member with its disk; addr tells where members' keepers are.
func Open(name, path string, addr map[string]string, p Timing) (*Node, error) {
	store, err := OpenStore(path)
	if err != nil {
		return nil, err
	}
	n := &Node{name: name, addresses: addr, store: store, timing: p, startedAt: time.Now(), closed: make(chan struct{}), pending: map[uint64]chan error{}, sendQueues: map[string]chan []byte{}, unlistedSenders: map[uint64]string{},
		client: http.Client{Timeout: time.Duration(p.Lease), Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}}}
	d, err := store.Load()
	if err == nil && d.MemberID != 0 {
		n.core, err = NewCore(name, d, p, n.now())
	}
	if err != nil {
		store.Close()
		return nil, err
	}
	n.goroutines.Go(n.tick)
	return n, nil
}

func (n *Node) now() int64 { return int64(time.Since(n.startedAt)) }

func (n *Node) tick() {
	t := time.NewTicker(time.Duration(n.timing.Tick))
	defer t.Stop()
	for {
		select {
		case <-n.closed:
			return
		case <-t.C:
			now := n.now()
			n.mu.Lock()
			if n.lastTick != 0 && now-n.lastTick > n.timing.Lease/stallsPerLease {
				n.stalledTicks++
			}
			n.lastTick = now
			n.mu.Unlock()
			n.update(func(c *Core) Output { return c.Tick(n.now()) })
		}
	}
}

// with has the core do something, saves what is to be saved, and only then lets messages go.
func (n *Node) update(do func(*Core) Output) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core == nil || n.halted != nil {
		return false
	}
	out := do(n.core)
	if err := n.store.Save(out); err != nil {
		n.halted = err // what it would say now it may not have on disk: it is silent, and others take over
		slog.Error("owner_halted", "reason", err)
		last, _ := n.core.TransferLeadership("")
		for _, m := range last.Messages {
			if m.GetType() == raftpb.MsgTimeoutNow { // "lead you" promises nothing
				n.send(m)
			}
		}
		return false
	}
	for _, m := range out.Messages {
		n.send(m)
	}
	for _, d := range out.Results {
		if c := n.pending[d.CommandID]; c != nil {
			c <- d.Err // it has a place
			delete(n.pending, d.CommandID)
		}
	}
	return true
}

// send puts a message into its member's queue. The lock is held.
func (n *Node) send(m *raftpb.Message) {
	name := n.core.state.Members[m.GetTo()]
	if name == "" {
		name = n.unlistedSenders[m.GetTo()]
	}
	to := n.addresses[name]
	if to == "" {
		return
	}
	text, err := proto.Marshal(m)
	if err != nil {
		return
	}
	q := n.sendQueues[name]
	if q == nil {
		q = make(chan []byte, sendQueueLength)
		n.sendQueues[name] = q
		n.goroutines.Go(func() { n.runSender(to, q) })
	}
	select {
	case q <- text:
	default:
	}
}

func (n *Node) runSender(to string, q chan []byte) {
	for {
		select {
		case <-n.closed:
			return
		case text := <-q:
			r, err := http.NewRequest(http.MethodPost, "http://"+to+"/v1/owner/message", bytes.NewReader(text))
			if err != nil {
				continue
			}
			r.Header.Set(memberNameHeader, n.name)
			if a, err := n.client.Do(r); err == nil {
				io.Copy(io.Discard, io.LimitReader(a.Body, 1024))
				a.Body.Close()
			}
		}
	}
}

// May tells under which reign this process may act, now.
func (n *Node) ActiveTerm() (r Term) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core != nil && n.halted == nil {
		r = n.core.ActiveTerm(n.now())
	}
	return r
}

// proposeTime is for how long a command's outcome is waited for.
const proposeTimeout = 3 * time.Second

// Propose has an item written under a reign, and waits until it is agreed.
func (n *Node) Propose(r Term, name string, value []byte) error {
	done := make(chan error, 1)
	err := errors.New("not a member")
	var id uint64
	n.update(func(c *Core) (out Output) {
		n.lastCommandID++
		id = n.lastCommandID
		n.pending[id] = done
		out, err = c.Propose(id, r, name, value)
		return out
	})
	if err == nil {
		select {
		case err = <-done:
			return err
		case <-time.After(proposeTimeout):
			err = errors.New("not agreed in its time: it may be yet")
		case <-n.closed:
			err = errors.New("ended")
		}
	}
	n.mu.Lock()
	delete(n.pending, id)
	n.mu.Unlock()
	return err
}

// Item reads what is agreed as far as this member knows; an owner, that has claimed its reign, knows all before it.
func (n *Node) Item(name string) (value []byte, is bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core != nil {
		value, is = n.core.state.Items[name]
	}
	return value, is
}

// View is what a member tells of itself.
type Status struct {
	Name       string   `json:"name"`
	ID         uint64   `json:"id"` // 0: of no fleet yet
	Term       Term     `json:"reign"`
	Leader     string   `json:"owner"` // of that reign
	Active     bool     `json:"may"`   // it acts, now
	RaftLeader string   `json:"leader"`
	RaftTerm   uint64   `json:"term"`
	Voters     []string `json:"voters"`
	Halted     string   `json:"halted,omitempty"`
}

// View tells it.
func (n *Node) Status() Status {
	v := Status{Name: n.name, Active: n.ActiveTerm() != 0}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.halted != nil {
		v.Halted = n.halted.Error()
	}
	if c := n.core; c != nil {
		lead, term := c.RaftLeader()
		v.ID, v.Term, v.Leader, v.RaftLeader, v.RaftTerm = c.id, c.state.Term, c.state.Leader, c.state.Members[lead], term
		for _, id := range c.Voters() {
			v.Voters = append(v.Voters, c.state.Members[id])
		}
	}
	return v
}

// founding is how a fleet begins, or a member joins one.
type bootstrapRequest struct {
	ID       uint64            `json:"id"`
	Members  map[uint64]string `json:"names"`
	Recover  bool              `json:"again"` // in place of the fleet that it is a member of, whose majority is lost
	State    State             `json:"kept"`  // again: what one member has kept
	RaftTerm uint64            `json:"term"`  // again: over all that anyone has seen
}

// Found makes this process a member: of a new fleet, or, without names, of one that is to take it in. It must be none yet,
// unless the fleet begins again.
func (n *Node) bootstrap(f bootstrapRequest) error {
	id, names := f.ID, f.Members
	n.mu.Lock()
	defer n.mu.Unlock()
	if f.Recover && (f.RaftTerm == 0 || Term(f.RaftTerm) <= f.State.Term || n.core != nil && Term(f.RaftTerm) <= n.core.state.Term) {
		return fmt.Errorf("term %d is not over reign %d", f.RaftTerm, f.State.Term)
	}
	if n.core != nil && !f.Recover {
		return fmt.Errorf("%s is a member already, number %d", n.name, n.core.id)
	}
	if id == 0 || len(names) > 0 && names[id] != n.name {
		return fmt.Errorf("number %d is not %s", id, n.name)
	}
	d := PersistentState{MemberID: id, HardState: &raftpb.HardState{}, Snapshot: &raftpb.Snapshot{}}
	switch {
	case f.Recover:
		d = RecoveryState(id, names, f.State, f.RaftTerm)
	case len(names) > 0:
		d = BootstrapState(id, names)
	}
	if err := n.store.Initialize(d); err != nil {
		return err
	}
	var err error
	n.core, err = NewCore(n.name, d, n.timing, n.now())
	n.halted = nil
	slog.Info("owner_member", "name", n.name, "number", id, "voters", len(names), "again", f.Recover)
	return err
}

// StepDown hands over, to one of a name or, without one, to any.
func (n *Node) TransferLeadership(to string) (is bool) {
	n.update(func(c *Core) (out Output) {
		out, is = c.TransferLeadership(to)
		return out
	})
	return is
}

// Close ends it.
func (n *Node) Close() {
	close(n.closed)
	n.goroutines.Wait()
	n.store.Close()
}

// Handle adds what members and operators ask of a member.
func (n *Node) RegisterHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/owner/message", func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(io.LimitReader(r.Body, maxMessageBytes+1))
		m := &raftpb.Message{}
		if err != nil || len(text) > maxMessageBytes || proto.Unmarshal(text, m) != nil {
			http.Error(w, "no message", http.StatusUnprocessableEntity)
			return
		}
		n.update(func(c *Core) Output {
			if name := r.Header.Get(memberNameHeader); len(c.state.Members) == 0 && n.addresses[name] != "" && len(n.unlistedSenders) < sendQueueLength {
				n.unlistedSenders[m.GetFrom()] = name
			}
			if m.GetTo() != c.id { // for who had this address before, or lost its memory here
				return Output{}
			}
			return c.Step(n.now(), m)
		})
		w.WriteHeader(http.StatusNoContent)
	})
	answer := func(w http.ResponseWriter, v any, err error) {
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(v)
	}
	mux.HandleFunc("GET /v1/owner", func(w http.ResponseWriter, _ *http.Request) { answer(w, n.Status(), nil) })
	mux.HandleFunc("GET /v1/owner/agreed", func(w http.ResponseWriter, _ *http.Request) {
		n.mu.Lock()
		var a State
		if n.core != nil {
			a = n.core.state
		}
		text := a.encode()
		n.mu.Unlock()
		w.Write(text)
	})
	mux.HandleFunc("GET /v1/owner/item", func(w http.ResponseWriter, r *http.Request) {
		if value, is := n.Item(r.URL.Query().Get("name")); is {
			w.Write(value)
		} else {
			http.Error(w, "there is none", http.StatusNotFound)
		}
	})
	mux.HandleFunc("POST /v1/owner/found", func(w http.ResponseWriter, r *http.Request) {
		var f bootstrapRequest
		err := json.NewDecoder(io.LimitReader(r.Body, 2*maxItems*maxItemBytes)).Decode(&f)
		if err == nil {
			err = n.bootstrap(f)
		}
		answer(w, n.Status(), err)
	})
	mux.HandleFunc("POST /v1/owner/join", func(w http.ResponseWriter, r *http.Request) {
		var f bootstrapRequest
		err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&f)
		for id, name := range f.Members {
			if err == nil && n.addresses[name] == "" {
				err = fmt.Errorf("no member %q", name)
			}
			if err == nil {
				err = errors.New("not a member")
				n.update(func(c *Core) (out Output) {
					out, err = c.AddMember(id, name)
					return out
				})
			}
		}
		answer(w, n.Status(), err)
	})
	mux.HandleFunc("POST /v1/owner/forget", func(w http.ResponseWriter, r *http.Request) {
		var name string
		err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&name)
		if err == nil {
			err = errors.New("not a member")
			n.update(func(c *Core) (out Output) {
				out, err = c.RemoveMember(name)
				return out
			})
		}
		answer(w, n.Status(), err)
	})
	mux.HandleFunc("POST /v1/owner/step-down", func(w http.ResponseWriter, _ *http.Request) {
		var err error
		if !n.TransferLeadership("") {
			err = errors.New("it owns nothing, or nobody else can")
		}
		answer(w, n.Status(), err)
	})
}

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
	mostMessage = 8 << 20
	queued      = 64 // messages to one member; more are dropped, as a link may drop them
)

// stallPart of a lease is how late a tick may be.
const stallPart = 4

// Stalls counts the ticks that were later.
func (n *Node) Stalls() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stalls
}

// nameHeader tells a message's sender by name.
const nameHeader = "Owner-Name"

// Node is a member as a process has it: its core under one lock, its disk, its links.
type Node struct {
	name  string
	addr  map[string]string // by name
	store *Store
	pace  Pace
	http  http.Client
	began time.Time
	done  chan struct{}
	wait  sync.WaitGroup

	mu     sync.Mutex
	core   *Core // nil: of no fleet yet
	halted error // its disk failed: it says nothing any more
	stalls int64 // ticks that came so late that a lease would have suffered

	lastTick int64
	lastID   uint64
	asked    map[uint64]chan error // commands under way, until their time is over
	links    map[string]chan []byte
	heard    map[uint64]string // who has written, while what is agreed does not name them yet: one that joins must answer
}

// Open starts a member with its disk; addr tells where members' keepers are.
func Open(name, path string, addr map[string]string, p Pace) (*Node, error) {
	store, err := OpenStore(path)
	if err != nil {
		return nil, err
	}
	n := &Node{name: name, addr: addr, store: store, pace: p, began: time.Now(), done: make(chan struct{}), asked: map[uint64]chan error{}, links: map[string]chan []byte{}, heard: map[uint64]string{},
		http: http.Client{Timeout: time.Duration(p.Lease), Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}}}
	d, err := store.Load()
	if err == nil && d.ID != 0 {
		n.core, err = NewCore(name, d, p, n.now())
	}
	if err != nil {
		store.Close()
		return nil, err
	}
	n.wait.Go(n.tick)
	return n, nil
}

func (n *Node) now() int64 { return int64(time.Since(n.began)) }

func (n *Node) tick() {
	t := time.NewTicker(time.Duration(n.pace.Tick))
	defer t.Stop()
	for {
		select {
		case <-n.done:
			return
		case <-t.C:
			now := n.now()
			n.mu.Lock()
			if n.lastTick != 0 && now-n.lastTick > n.pace.Lease/stallPart {
				n.stalls++
			}
			n.lastTick = now
			n.mu.Unlock()
			n.with(func(c *Core) Out { return c.Tick(n.now()) })
		}
	}
}

// with has the core do something, saves what is to be saved, and only then lets messages go.
func (n *Node) with(do func(*Core) Out) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core == nil || n.halted != nil {
		return false
	}
	out := do(n.core)
	if err := n.store.Save(out); err != nil {
		n.halted = err // what it would say now it may not have on disk: it is silent, and others take over
		slog.Error("owner_halted", "reason", err)
		last, _ := n.core.StepDown("")
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
	for _, d := range out.Done {
		if c := n.asked[d.ID]; c != nil {
			c <- d.Err // it has a place
			delete(n.asked, d.ID)
		}
	}
	return true
}

// send puts a message into its member's queue. The lock is held.
func (n *Node) send(m *raftpb.Message) {
	name := n.core.agreed.Names[m.GetTo()]
	if name == "" {
		name = n.heard[m.GetTo()]
	}
	to := n.addr[name]
	if to == "" {
		return
	}
	text, err := proto.Marshal(m)
	if err != nil {
		return
	}
	q := n.links[name]
	if q == nil {
		q = make(chan []byte, queued)
		n.links[name] = q
		n.wait.Go(func() { n.link(to, q) })
	}
	select {
	case q <- text:
	default:
	}
}

func (n *Node) link(to string, q chan []byte) {
	for {
		select {
		case <-n.done:
			return
		case text := <-q:
			r, err := http.NewRequest(http.MethodPost, "http://"+to+"/v1/owner/message", bytes.NewReader(text))
			if err != nil {
				continue
			}
			r.Header.Set(nameHeader, n.name)
			if a, err := n.http.Do(r); err == nil {
				io.Copy(io.Discard, io.LimitReader(a.Body, 1024))
				a.Body.Close()
			}
		}
	}
}

// May tells under which reign this process may act, now.
func (n *Node) May() (r Reign) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core != nil && n.halted == nil {
		r = n.core.May(n.now())
	}
	return r
}

// proposeTime is for how long a command's outcome is waited for.
const proposeTime = 3 * time.Second

// Propose has an item written under a reign, and waits until it is agreed.
func (n *Node) Propose(r Reign, name string, value []byte) error {
	done := make(chan error, 1)
	err := errors.New("not a member")
	var id uint64
	n.with(func(c *Core) (out Out) {
		n.lastID++
		id = n.lastID
		n.asked[id] = done
		out, err = c.Propose(id, r, name, value)
		return out
	})
	if err == nil {
		select {
		case err = <-done:
			return err
		case <-time.After(proposeTime):
			err = errors.New("not agreed in its time: it may be yet")
		case <-n.done:
			err = errors.New("ended")
		}
	}
	n.mu.Lock()
	delete(n.asked, id)
	n.mu.Unlock()
	return err
}

// Item reads what is agreed as far as this member knows; an owner, that has claimed its reign, knows all before it.
func (n *Node) Item(name string) (value []byte, is bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core != nil {
		value, is = n.core.agreed.Items[name]
	}
	return value, is
}

// View is what a member tells of itself.
type View struct {
	Name   string   `json:"name"`
	ID     uint64   `json:"id"` // 0: of no fleet yet
	Reign  Reign    `json:"reign"`
	Owner  string   `json:"owner"` // of that reign
	May    bool     `json:"may"`   // it acts, now
	Leader string   `json:"leader"`
	Term   uint64   `json:"term"`
	Voters []string `json:"voters"`
	Halted string   `json:"halted,omitempty"`
}

// View tells it.
func (n *Node) View() View {
	v := View{Name: n.name, May: n.May() != 0}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.halted != nil {
		v.Halted = n.halted.Error()
	}
	if c := n.core; c != nil {
		lead, term := c.Leader()
		v.ID, v.Reign, v.Owner, v.Leader, v.Term = c.id, c.agreed.Reign, c.agreed.Owner, c.agreed.Names[lead], term
		for _, id := range c.Voters() {
			v.Voters = append(v.Voters, c.agreed.Names[id])
		}
	}
	return v
}

// founding is how a fleet begins, or a member joins one.
type founding struct {
	ID    uint64            `json:"id"`
	Names map[uint64]string `json:"names"`
	Again bool              `json:"again"` // in place of the fleet that it is a member of, whose majority is lost
	Kept  Agreed            `json:"kept"`  // again: what one member has kept
	Term  uint64            `json:"term"`  // again: over all that anyone has seen
}

// Found makes this process a member: of a new fleet, or, without names, of one that is to take it in. It must be none yet,
// unless the fleet begins again.
func (n *Node) Found(f founding) error {
	id, names := f.ID, f.Names
	n.mu.Lock()
	defer n.mu.Unlock()
	if f.Again && (f.Term == 0 || Reign(f.Term) <= f.Kept.Reign || n.core != nil && Reign(f.Term) <= n.core.agreed.Reign) {
		return fmt.Errorf("term %d is not over reign %d", f.Term, f.Kept.Reign)
	}
	if n.core != nil && !f.Again {
		return fmt.Errorf("%s is a member already, number %d", n.name, n.core.id)
	}
	if id == 0 || len(names) > 0 && names[id] != n.name {
		return fmt.Errorf("number %d is not %s", id, n.name)
	}
	d := Disk{ID: id, Hard: &raftpb.HardState{}, Snapshot: &raftpb.Snapshot{}}
	switch {
	case f.Again:
		d = Refound(id, names, f.Kept, f.Term)
	case len(names) > 0:
		d = Found(id, names)
	}
	if err := n.store.Begin(d); err != nil {
		return err
	}
	var err error
	n.core, err = NewCore(n.name, d, n.pace, n.now())
	n.halted = nil
	slog.Info("owner_member", "name", n.name, "number", id, "voters", len(names), "again", f.Again)
	return err
}

// StepDown hands over, to one of a name or, without one, to any.
func (n *Node) StepDown(to string) (is bool) {
	n.with(func(c *Core) (out Out) {
		out, is = c.StepDown(to)
		return out
	})
	return is
}

// Close ends it.
func (n *Node) Close() {
	close(n.done)
	n.wait.Wait()
	n.store.Close()
}

// Handle adds what members and operators ask of a member.
func (n *Node) Handle(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/owner/message", func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(io.LimitReader(r.Body, mostMessage+1))
		m := &raftpb.Message{}
		if err != nil || len(text) > mostMessage || proto.Unmarshal(text, m) != nil {
			http.Error(w, "no message", http.StatusUnprocessableEntity)
			return
		}
		n.with(func(c *Core) Out {
			if name := r.Header.Get(nameHeader); len(c.agreed.Names) == 0 && n.addr[name] != "" && len(n.heard) < queued {
				n.heard[m.GetFrom()] = name
			}
			if m.GetTo() != c.id { // for who had this address before, or lost its memory here
				return Out{}
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
	mux.HandleFunc("GET /v1/owner", func(w http.ResponseWriter, _ *http.Request) { answer(w, n.View(), nil) })
	mux.HandleFunc("GET /v1/owner/agreed", func(w http.ResponseWriter, _ *http.Request) {
		n.mu.Lock()
		var a Agreed
		if n.core != nil {
			a = n.core.agreed
		}
		text := a.text()
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
		var f founding
		err := json.NewDecoder(io.LimitReader(r.Body, 2*mostItems*mostItem)).Decode(&f)
		if err == nil {
			err = n.Found(f)
		}
		answer(w, n.View(), err)
	})
	mux.HandleFunc("POST /v1/owner/join", func(w http.ResponseWriter, r *http.Request) {
		var f founding
		err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&f)
		for id, name := range f.Names {
			if err == nil && n.addr[name] == "" {
				err = fmt.Errorf("no member %q", name)
			}
			if err == nil {
				err = errors.New("not a member")
				n.with(func(c *Core) (out Out) {
					out, err = c.Join(id, name)
					return out
				})
			}
		}
		answer(w, n.View(), err)
	})
	mux.HandleFunc("POST /v1/owner/forget", func(w http.ResponseWriter, r *http.Request) {
		var name string
		err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&name)
		if err == nil {
			err = errors.New("not a member")
			n.with(func(c *Core) (out Out) {
				out, err = c.Forget(name)
				return out
			})
		}
		answer(w, n.View(), err)
	})
	mux.HandleFunc("POST /v1/owner/step-down", func(w http.ResponseWriter, _ *http.Request) {
		var err error
		if !n.StepDown("") {
			err = errors.New("it owns nothing, or nobody else can")
		}
		answer(w, n.View(), err)
	})
}

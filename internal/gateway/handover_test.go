package gateway

import (
	"errors"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"swiftreel/internal/handover"
	"swiftreel/internal/monotonic"
)

// fakePeer is the other process of a controller. It is safe for concurrent use.
type fakePeer struct {
	received chan handover.Message // by the gateway; closed at the end of the link
	close    func()

	mu   sync.Mutex
	sent []handover.Message // by the gateway
}

func newFakePeer() *fakePeer {
	p := &fakePeer{received: make(chan handover.Message, 100)}
	p.close = sync.OnceFunc(func() { close(p.received) })
	return p
}

func (p *fakePeer) Send(message handover.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if message.Kind == handover.Request && (message.ReceivedAfterNS == 0 ||
		message.ReceivedAfterNS != message.ReceivedBeforeNS) {
		panic("a job that was read in time has no exact time of receipt") // it would be taken for late
	}
	message.ReceivedAfterNS, message.ReceivedBeforeNS = 0, 0
	p.sent = append(p.sent, message)
}

func (p *fakePeer) Receive() (handover.Message, error) {
	message, open := <-p.received
	if !open {
		return message, errors.New("closed")
	}
	return message, nil
}

func (p *fakePeer) Close() { p.close() }

func (p *fakePeer) sentSoFar() []handover.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]handover.Message(nil), p.sent...)
}

const keyedSettings = `{"classes":[{"name":"import","idempotency":"once","aim_ns":1e9,"gain":1,"fifo_by_key":true}],
"domain":{"class_threads":[1],"cpu_of_kind":[16]},"kinds":["std"],"localities":["west"],
"invariants":{"order_pause_ns":1e6}}`

// newKeyedGateway returns a gateway with one engine that never replies, and a function that submits a job of a key.
func newKeyedGateway(t *testing.T) (g *Gateway, submit func(id string) fakeClient) {
	t.Helper()
	g = New(Options{Settings: parseSettings(t, keyedSettings), Budget: testBudget()})
	g.engines = silentEngines{started: new(atomic.Int64)}
	g.UpdateEngines(engineList(t, "true", "e1"), true)
	return g, func(id string) fakeClient {
		client := newFakeClient(1)
		g.Submit(Request{Type: []byte("import"), ID: []byte(id), Key: []byte("k"), Statement: []byte("SELECT 1 FROM a_1.b"),
			Timeout: time.Minute, ArrivedAt: time.Now(), Client: client})
		return client
	}
}

// A link that ends before the predecessor has named its jobs tells nothing of them: jobs of keys stay throttled.
func TestALinkThatEndsBeforeItIsSyncedChangesNothing(t *testing.T) {
	g, submit := newKeyedGateway(t)
	g.SetPredecessor(true)
	peer := newFakePeer()
	peer.received <- handover.Message{Kind: handover.Request, Job: 1, Key: 5}
	peer.close()
	if err := g.FollowPredecessor(peer, func() { t.Error("synced") }); err == nil {
		t.Error("no error")
	}
	if answer := <-submit("a").answers; answer != "throttled" {
		t.Error(answer)
	}
	if sent := peer.sentSoFar(); len(sent) > 0 {
		t.Errorf("sent %+v", sent)
	}
}

// The successor grants the locks that its predecessor requests, one at a time, and a second peer is refused.
func TestLocksAreGrantedToThePredecessor(t *testing.T) {
	g, _ := newKeyedGateway(t)
	g.SetPredecessor(true)
	peer := newFakePeer()
	now := monotonic.Uptime()
	peer.received <- handover.Message{Kind: handover.Request, Job: 1, Key: 5, MayBeRunning: true,
		ReceivedAfterNS: now - 2, ReceivedBeforeNS: now - 2}
	peer.received <- handover.Message{Kind: handover.Request, Job: 2, Key: 5, ReceivedAfterNS: now - 1,
		ReceivedBeforeNS: now - 1}
	peer.received <- handover.Message{Kind: handover.Synced}
	synced, ended := make(chan struct{}), make(chan error)
	go func() { ended <- g.FollowPredecessor(peer, func() { close(synced) }) }()
	<-synced
	if err := g.ServeSuccessor(newFakePeer()); !errors.Is(err, errPeerLinked) {
		t.Errorf("a second peer: %v", err)
	}
	if sent := peer.sentSoFar(); len(sent) > 0 {
		t.Errorf("sent %+v while another job of the key may run", sent)
	}
	peer.received <- handover.Message{Kind: handover.Release, Job: 1, Key: 5}
	want := []handover.Message{{Kind: handover.Grant, Job: 2}}
	eventually(t, "not granted", func() bool { return reflect.DeepEqual(peer.sentSoFar(), want) })
	peer.close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// The predecessor requests the locks of its open jobs, then tells that these are all.
func TestOpenJobsAreRequestedBeforeSynced(t *testing.T) {
	g, submit := newKeyedGateway(t)
	submit("a")
	submit("b")
	peer := newFakePeer()
	go func() {
		if err := g.ServeSuccessor(peer); err != nil {
			t.Error(err)
		}
	}()
	eventually(t, "not synced", func() bool { return len(peer.sentSoFar()) == 3 })
	submit("c")
	key := uint64(orderingKey([]byte("k")))
	want := []handover.Message{{Kind: handover.Request, Job: 1, Key: key, MayBeRunning: true},
		{Kind: handover.Request, Job: 2, Key: key}, {Kind: handover.Synced}, {Kind: handover.Request, Job: 3, Key: key}}
	if sent := peer.sentSoFar(); !reflect.DeepEqual(sent, want) {
		t.Errorf("sent %+v, want %+v", sent, want)
	}
	peer.close()
}

// Times of receipt survive the way to another process: equal ones stay equal, and the error is small.
func TestModuleTimeIsConvertedBetweenProcesses(t *testing.T) {
	here, there := newClock(), newClock()
	there.start = there.start.Add(-time.Hour) // as if it had started long before
	there.uptimeOffset = there.measureUptimeOffset
	now := here.now()
	received := there.fromMonotonic(here.toMonotonic(now))
	if difference := time.Duration(there.now() - received); difference < -time.Millisecond || difference > time.Second {
		t.Errorf("%v off", difference)
	}
	if here.fromMonotonic(here.toMonotonic(now)) != now {
		t.Error("a time changes on its way there and back")
	}
}

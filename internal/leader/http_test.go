package leader

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"swiftreel/internal/golden"
	"swiftreel/internal/operator"
	"swiftreel/internal/solve"
)

// door is a member's handler, asked without a network.
type door struct {
	t    *testing.T
	node *Node
	mux  *http.ServeMux
}

func newDoor(t *testing.T, addr map[string]string) *door {
	t.Helper()
	node, err := Open("v1", filepath.Join(t.TempDir(), "v1.db"), addr, fixturePace)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	fleet := &operator.Fleet{Members: []operator.Member{{Name: "v1", Listen: "127.0.0.1:1"}}, Voters: []string{"v1"}}
	duties, err := NewDuties(node, fleet, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	d := &door{t, node, http.NewServeMux()}
	node.RegisterHandlers(d.mux)
	duties.RegisterHandlers(d.mux)
	return d
}

// ask asks; it fails the test where the status is another.
func (d *door) ask(method, path, body string, status int) string {
	d.t.Helper()
	w := httptest.NewRecorder()
	d.mux.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	if w.Code != status {
		d.t.Errorf("%s %s %s: %d %s, wanted %d", method, path, body, w.Code, w.Body, status)
	}
	if strings.HasPrefix(path, "/v1/owner") && w.Code == http.StatusOK && strings.HasPrefix(w.Body.String(), `{"name"`) && w.Header().Get("Content-Type") != "application/json" {
		d.t.Errorf("%s %s: %s", method, path, w.Header().Get("Content-Type"))
	}
	if w.Code >= 400 && (strings.TrimSpace(w.Body.String()) == "" || w.Header().Get("Content-Type") != "text/plain; charset=utf-8") {
		d.t.Errorf("%s %s: refused without a reason in text: %s %q", method, path, w.Header().Get("Content-Type"), w.Body)
	}
	return w.Body.String()
}

// Each body that a member tells, to the byte, and the status of each answer.
func TestWhatAMemberTells(t *testing.T) {
	d := newDoor(t, map[string]string{"v1": "127.0.0.1:1"})
	var got bytes.Buffer
	tell := func(what, text string) { got.WriteString(what + "\n" + text + "\n") }
	tell("of no fleet", d.ask("GET", "/v1/owner", "", http.StatusOK))
	tell("agreed, of no fleet", d.ask("GET", "/v1/owner/agreed", "", http.StatusOK))
	d.ask("POST", "/v1/owner/join", `{"names":{"8":"v1"}}`, http.StatusConflict)
	d.ask("POST", "/v1/owner/forget", `"v1"`, http.StatusConflict)
	d.ask("POST", "/v1/owner/step-down", `{}`, http.StatusConflict)
	d.ask("POST", "/v1/owner/wish", `{"ask":"pause"}`, http.StatusConflict)
	d.ask("POST", "/v1/owner/change", `{}`, http.StatusConflict)
	d.ask("POST", "/v1/owner/found", `{"id":0,"names":{}}`, http.StatusConflict)
	d.ask("POST", "/v1/owner/found", `{"id":7,"names":{"7":"v2"}}`, http.StatusConflict)
	d.ask("POST", "/v1/owner/found", `no JSON`, http.StatusConflict)
	tell("founded", d.ask("POST", "/v1/owner/found", `{"id":7,"names":{"7":"v1"}}`, http.StatusOK))
	await(t, "it acts", func() bool { return d.node.ActiveTerm() != 0 })
	tell("it owns", d.ask("GET", "/v1/owner", "", http.StatusOK))
	if err := d.node.Propose(d.node.ActiveTerm(), "some.json", []byte(`{"a":1}`)); err != nil {
		t.Fatal(err)
	}
	tell("agreed", d.ask("GET", "/v1/owner/agreed", "", http.StatusOK))
	tell("item", d.ask("GET", "/v1/owner/item?name=some.json", "", http.StatusOK))
	d.ask("GET", "/v1/owner/item?name=other.json", "", http.StatusNotFound)
	d.ask("POST", "/v1/owner/found", `{"id":8,"names":{"8":"v1"}}`, http.StatusConflict)
	d.ask("POST", "/v1/owner/found", `{"id":8,"names":{"8":"v1"},"again":true,"kept":{"reign":2},"term":2}`, http.StatusConflict)
	d.ask("POST", "/v1/owner/join", `{"names":{"8":"nobody"}}`, http.StatusConflict)
	tell("join of nobody", d.ask("POST", "/v1/owner/join", `{}`, http.StatusOK))
	d.ask("POST", "/v1/owner/forget", `"v1"`, http.StatusConflict)
	d.ask("POST", "/v1/owner/forget", `"nobody"`, http.StatusConflict)
	d.ask("POST", "/v1/owner/step-down", `{}`, http.StatusConflict)
	d.ask("POST", "/v1/owner/message", "no message", http.StatusUnprocessableEntity)
	d.ask("POST", "/v1/owner/message", strings.Repeat("x", maxMessageBytes+1), http.StatusUnprocessableEntity)
	d.ask("POST", "/v1/owner/change", `no JSON`, http.StatusConflict)
	d.ask("POST", "/v1/owner/change", `{"number":1,"kind":"plan","to":{"plan":"x"},"stages":[{"per_mille":1000}],"pace":{"look_ms":1}}`, http.StatusConflict)
	d.ask("POST", "/v1/owner/change", `{"number":0}`, http.StatusConflict)
	d.ask("POST", "/v1/owner/wish", `no JSON`, http.StatusConflict)
	if body := d.ask("POST", "/v1/owner/wish", `{"ask":"pause"}`, http.StatusNoContent); body != "" {
		t.Error(body)
	}
	var wish struct{ ID, Ask string }
	if err := json.Unmarshal([]byte(d.ask("GET", "/v1/owner/item?name=ask.json", "", http.StatusOK)), &wish); err != nil || wish.Ask != "pause" || len(wish.ID) != 16 {
		t.Errorf("%+v %v", wish, err)
	}
	tell("begun again", d.ask("POST", "/v1/owner/found",
		`{"id":9,"names":{"9":"v1"},"again":true,"kept":{"reign":2,"owner":"v1","items":{"x":"eHl6"},"seq":{"x":3},"names":{"7":"v1"}},"term":5}`, http.StatusOK))
	await(t, "it acts", func() bool { return d.node.ActiveTerm() != 0 })
	tell("agreed after that", d.ask("GET", "/v1/owner/agreed", "", http.StatusOK))
	d.node.mu.Lock()
	d.node.storeError = errors.New("no space left")
	d.node.mu.Unlock()
	tell("its disk failed", d.ask("GET", "/v1/owner", "", http.StatusOK))
	golden.Check(t, "bodies.txt", got.Bytes())
}

// What goes to another member: its path, its header, and a message of the library as it is.
func TestMessagesBetweenMembers(t *testing.T) {
	var mu sync.Mutex
	var got []*raftpb.Message
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(r.Body)
		m := &raftpb.Message{}
		if err != nil || proto.Unmarshal(text, m) != nil || r.Method != "POST" || r.URL.Path != "/v1/owner/message" || r.Header.Get("Owner-Name") != "v1" {
			t.Errorf("%s %s %v: %q", r.Method, r.URL, r.Header, text)
		}
		mu.Lock()
		defer mu.Unlock()
		got = append(got, m)
		w.WriteHeader(http.StatusNoContent)
	}))
	defer other.Close()
	d := newDoor(t, map[string]string{"v1": "127.0.0.1:1", "v2": other.Listener.Addr().String()})
	d.ask("POST", "/v1/owner/found", `{"id":7,"names":{"7":"v1","8":"v2"}}`, http.StatusOK)
	await(t, "it asks for a vote", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(got) > 0
	})
	mu.Lock()
	defer mu.Unlock()
	if m := got[0]; m.GetType() != raftpb.MsgPreVote || m.GetFrom() != 7 || m.GetTo() != 8 || m.GetTerm() != 2 {
		t.Errorf("%v", m)
	}
	from, to := uint64(8), uint64(7)
	kind := raftpb.MsgHeartbeat
	text, err := proto.Marshal(&raftpb.Message{Type: &kind, From: &from, To: &to})
	if err != nil {
		t.Fatal(err)
	}
	if body := d.ask("POST", "/v1/owner/message", string(text), http.StatusNoContent); body != "" {
		t.Error(body)
	}
}

// What is written into the log, into snapshots and into what is agreed, to the byte; and that it is read as it was written.
func TestWhatIsStored(t *testing.T) {
	var got bytes.Buffer
	put := func(v, into any) {
		t.Helper()
		text, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		got.Write(append(text, '\n'))
		if err := json.Unmarshal(text, into); err != nil {
			t.Fatal(err)
		}
		again, err := json.Marshal(into)
		if err != nil || !bytes.Equal(again, text) {
			t.Errorf("%s is read as %s, %v", text, again, err)
		}
	}
	put(Command{ID: 3, Proposer: 7, Term: 5, Candidate: "v1"}, &Command{})
	put(Command{ID: 4, Proposer: 7, Term: 5, Item: "parts.json", Value: []byte("{}")}, &Command{})
	put(State{}, &State{})
	put(State{Term: 5, Leader: "v1", Items: map[string][]byte{"x": []byte("1")}, Versions: map[string]uint64{"x": 2}, Members: map[uint64]string{7: "v1"}}, &State{})
	put(Status{Name: "v1", ID: 7, Term: 5, Leader: "v1", Active: true, RaftLeader: "v1", RaftTerm: 6, Voters: []string{"v1"}, Halted: "no space"}, &Status{})
	put(bootstrapRequest{ID: 7, Members: map[uint64]string{7: "v1"}, Recover: true, State: State{Term: 5}, RaftTerm: 6}, &bootstrapRequest{})
	put(planRecord{Term: 5, Sequence: 2, Digest: "ab", Reason: "the first", Answer: solve.Answer{Method: "m", Status: "optimal"}}, &planRecord{})
	golden.Check(t, "stored.txt", got.Bytes())
}

package leader

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// messageRecorder is a server that records the messages it receives.
type messageRecorder struct {
	t        *testing.T
	mu       sync.Mutex
	messages []*raftpb.Message
}

// ServeHTTP checks the path, header and encoding of a message.
func (i *messageRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	message := &raftpb.Message{}
	isMessage := err == nil && proto.Unmarshal(text, message) == nil
	isAddressed := r.Method == http.MethodPost && r.URL.Path == "/v1/owner/message" && r.Header.Get("Owner-Name") == "v1"
	if !isMessage || !isAddressed {
		i.t.Errorf("%s %s %v: %q", r.Method, r.URL, r.Header, text)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.messages = append(i.messages, message)
	w.WriteHeader(http.StatusNoContent)
}

// first returns the first message, or nil.
func (i *messageRecorder) first() *raftpb.Message {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.messages) == 0 {
		return nil
	}
	return i.messages[0]
}

func TestMessageEncodingStaysCompatible(t *testing.T) {
	received := &messageRecorder{t: t}
	other := httptest.NewServer(received)
	defer other.Close()
	m := newTestMember(t, map[string]string{"v1": "127.0.0.1:1", "v2": other.Listener.Addr().String()})
	m.post("/v1/owner/found", `{"id":7,"names":{"7":"v1","8":"v2"}}`, http.StatusOK)
	await(t, "the member asks for a vote", func() bool { return received.first() != nil })
	message := received.first()
	isVoteRequest := message.GetType() == raftpb.MsgPreVote && message.GetTerm() == 2
	if !isVoteRequest || message.GetFrom() != 7 || message.GetTo() != 8 {
		t.Errorf("%v", message)
	}
	from, to, kind := uint64(8), uint64(7), raftpb.MsgHeartbeat
	text, err := proto.Marshal(&raftpb.Message{Type: &kind, From: &from, To: &to})
	if err != nil {
		t.Fatal(err)
	}
	if body := m.post("/v1/owner/message", string(text), http.StatusNoContent); body != "" {
		t.Error(body)
	}
}

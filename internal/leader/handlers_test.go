package leader

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"swiftreel/internal/golden"
	"swiftreel/internal/operator"
)

// testMember is a member whose handlers are called directly, without a network.
type testMember struct {
	t    *testing.T
	node *Node
	mux  *http.ServeMux
}

// ownAddresses contains only the member's own address.
var ownAddresses = map[string]string{"v1": "127.0.0.1:1"}

func newTestMember(t *testing.T, addresses map[string]string) *testMember {
	t.Helper()
	node, err := Open("v1", filepath.Join(t.TempDir(), "v1.db"), addresses, fixtureTiming)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	settings := &operator.Fleet{Members: []operator.Member{{Name: "v1", Listen: "127.0.0.1:1"}}, Voters: []string{"v1"}}
	duties, err := NewDuties(node, settings, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	m := &testMember{t, node, http.NewServeMux()}
	node.RegisterHandlers(m.mux)
	duties.RegisterHandlers(m.mux)
	return m
}

// call sends a request, fails the test unless the reply has the given status code, and returns the reply's body.
func (m *testMember) call(method, path, body string, code int) string {
	m.t.Helper()
	w := httptest.NewRecorder()
	m.mux.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	reply := w.Body.String()
	if w.Code != code {
		m.t.Errorf("%s %s %s: got %d %s, want %d", method, path, body, w.Code, reply, code)
	}
	contentType := w.Header().Get("Content-Type")
	isStatus := w.Code == http.StatusOK && strings.HasPrefix(reply, `{"name"`)
	if isStatus && contentType != "application/json" {
		m.t.Errorf("%s %s: %s", method, path, contentType)
	}
	hasReason := strings.TrimSpace(reply) != "" && contentType == "text/plain; charset=utf-8"
	if w.Code >= http.StatusBadRequest && !hasReason {
		m.t.Errorf("%s %s: rejected without a reason as plain text: %s %q", method, path, contentType, reply)
	}
	return reply
}

func (m *testMember) get(path string, code int) string {
	m.t.Helper()
	return m.call(http.MethodGet, path, "", code)
}

func (m *testMember) post(path, body string, code int) string {
	m.t.Helper()
	return m.call(http.MethodPost, path, body, code)
}

func (m *testMember) awaitActive() {
	m.t.Helper()
	await(m.t, "the member acts as leader", func() bool { return m.node.ActiveTerm() != 0 })
}

// planChange is a change of kind plan, which refers to a file on the operator's machine.
const planChange = `{"number":1,"kind":"plan","to":{"plan":"x"},"stages":[{"per_mille":1000}],"pace":{"look_ms":1}}`

// All reply bodies of a member match the recorded ones byte for byte.
func TestReplyBodiesStayCompatible(t *testing.T) {
	m := newTestMember(t, ownAddresses)
	var got bytes.Buffer
	record := func(what, body string) { got.WriteString(what + "\n" + body + "\n") }
	record("of no fleet", m.get("/v1/owner", http.StatusOK))
	record("agreed, of no fleet", m.get("/v1/owner/agreed", http.StatusOK))
	record("founded", m.post("/v1/owner/found", `{"id":7,"names":{"7":"v1"}}`, http.StatusOK))
	m.awaitActive()
	record("it owns", m.get("/v1/owner", http.StatusOK))
	if err := m.node.Propose(m.node.ActiveTerm(), "some.json", []byte(`{"a":1}`)); err != nil {
		t.Fatal(err)
	}
	record("agreed", m.get("/v1/owner/agreed", http.StatusOK))
	record("item", m.get("/v1/owner/item?name=some.json", http.StatusOK))
	record("join of nobody", m.post("/v1/owner/join", `{}`, http.StatusOK))
	recovery := `{"id":9,"names":{"9":"v1"},"again":true,` +
		`"kept":{"reign":2,"owner":"v1","items":{"x":"eHl6"},"seq":{"x":3},"names":{"7":"v1"}},"term":5}`
	record("begun again", m.post("/v1/owner/found", recovery, http.StatusOK))
	m.awaitActive()
	record("agreed after that", m.get("/v1/owner/agreed", http.StatusOK))
	m.node.mu.Lock()
	m.node.storeError = errors.New("no space left")
	m.node.resumeAt = math.MaxInt64 // the store is never retried
	m.node.mu.Unlock()
	record("its disk failed", m.get("/v1/owner", http.StatusOK))
	golden.Check(t, "bodies.txt", got.Bytes())
}

func TestRequestsToAProcessOfNoFleetAreRefused(t *testing.T) {
	m := newTestMember(t, ownAddresses)
	for _, request := range [][2]string{
		{"/v1/owner/join", `{"names":{"8":"v1"}}`},
		{"/v1/owner/forget", `"v1"`},
		{"/v1/owner/step-down", `{}`},
		{"/v1/owner/wish", `{"ask":"pause"}`},
		{"/v1/owner/change", `{}`},
		{"/v1/owner/found", `{"id":0,"names":{}}`},
		{"/v1/owner/found", `{"id":7,"names":{"7":"v2"}}`},
		{"/v1/owner/found", `no JSON`},
	} {
		t.Run(request[0]+" "+request[1], func(t *testing.T) { m.post(request[0], request[1], http.StatusConflict) })
	}
}

func TestFaultyRequestsToTheLeaderAreRefused(t *testing.T) {
	m := newTestMember(t, ownAddresses)
	m.post("/v1/owner/found", `{"id":7,"names":{"7":"v1"}}`, http.StatusOK)
	m.awaitActive()
	for _, request := range [][2]string{
		{"/v1/owner/found", `{"id":8,"names":{"8":"v1"}}`},
		{"/v1/owner/found", `{"id":8,"names":{"8":"v1"},"again":true,"kept":{"reign":2},"term":2}`},
		{"/v1/owner/join", `{"names":{"8":"nobody"}}`},
		{"/v1/owner/forget", `"v1"`},
		{"/v1/owner/forget", `"nobody"`},
		{"/v1/owner/step-down", `{}`},
		{"/v1/owner/change", `no JSON`},
		{"/v1/owner/change", planChange},
		{"/v1/owner/change", `{"number":0}`},
		{"/v1/owner/wish", `no JSON`},
	} {
		t.Run(request[0]+" "+request[1], func(t *testing.T) { m.post(request[0], request[1], http.StatusConflict) })
	}
	m.get("/v1/owner/item?name=other.json", http.StatusNotFound)
	m.post("/v1/owner/message", "no message", http.StatusUnprocessableEntity)
	m.post("/v1/owner/message", strings.Repeat("x", maxMessageBytes+1), http.StatusUnprocessableEntity)
}

func TestAnOperatorRequestIsReplicated(t *testing.T) {
	m := newTestMember(t, ownAddresses)
	m.post("/v1/owner/found", `{"id":7,"names":{"7":"v1"}}`, http.StatusOK)
	m.awaitActive()
	if body := m.post("/v1/owner/wish", `{"ask":"pause"}`, http.StatusNoContent); body != "" {
		t.Error(body)
	}
	var request struct {
		ID  string `json:"id"`
		Ask string `json:"ask"`
	}
	err := json.Unmarshal([]byte(m.get("/v1/owner/item?name=ask.json", http.StatusOK)), &request)
	if err != nil || request.Ask != "pause" || len(request.ID) != 16 {
		t.Errorf("%+v %v", request, err)
	}
}

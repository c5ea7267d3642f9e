package leader

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Size limits of requests, in bytes.
const (
	maxBootstrapBytes = 2 * maxItems * maxItemBytes
	maxRequestBytes   = 1 << 16
)

// RegisterHandlers adds the handlers for requests from other members and operators.
func (n *Node) RegisterHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST "+messagePath, n.serveMessage)
	mux.HandleFunc("GET /v1/owner", func(w http.ResponseWriter, _ *http.Request) { n.replyStatus(w, nil) })
	mux.HandleFunc("GET /v1/owner/agreed", n.serveState)
	mux.HandleFunc("GET /v1/owner/item", n.serveItem)
	mux.HandleFunc("POST /v1/owner/found", n.serveBootstrap)
	mux.HandleFunc("POST /v1/owner/join", n.serveJoin)
	mux.HandleFunc("POST /v1/owner/forget", n.serveRemove)
	mux.HandleFunc("POST /v1/owner/step-down", n.serveStepDown)
}

// replyStatus replies with the member's status, or with err as the reason why the request was rejected.
func (n *Node) replyStatus(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(n.Status()) // fails only if the client has disconnected
}

func (n *Node) serveState(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write(n.encodedState()) // fails only if the client has disconnected
}

func (n *Node) encodedState() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	var state State
	if n.core != nil {
		state = n.core.State()
	}
	return state.encode()
}

func (n *Node) serveItem(w http.ResponseWriter, r *http.Request) {
	value, isPresent := n.Item(r.URL.Query().Get("name"))
	if !isPresent {
		http.Error(w, "no such item", http.StatusNotFound)
		return
	}
	_, _ = w.Write(value) // fails only if the client has disconnected
}

func (n *Node) serveBootstrap(w http.ResponseWriter, r *http.Request) {
	var request bootstrapRequest
	err := decodeRequest(r, maxBootstrapBytes, &request)
	if err == nil {
		err = n.bootstrap(request)
	}
	n.replyStatus(w, err)
}

func (n *Node) serveJoin(w http.ResponseWriter, r *http.Request) {
	var request bootstrapRequest // only Members is used
	err := decodeRequest(r, maxRequestBytes, &request)
	for id, name := range request.Members {
		if err == nil {
			err = n.addMember(id, name)
		}
	}
	n.replyStatus(w, err)
}

func (n *Node) addMember(id uint64, name string) error {
	if n.addresses[name] == "" {
		return fmt.Errorf("%q: %w", name, ErrUnknownMember)
	}
	return n.updateMembers(func(c *Core) (Output, error) { return c.AddMember(id, name) })
}

func (n *Node) serveRemove(w http.ResponseWriter, r *http.Request) {
	var name string
	err := decodeRequest(r, maxRequestBytes, &name)
	if err == nil {
		err = n.updateMembers(func(c *Core) (Output, error) { return c.RemoveMember(name) })
	}
	n.replyStatus(w, err)
}

// updateMembers calls a method of the core that changes the members, and processes its output. It returns ErrNotMember
// if the process is not an active member.
func (n *Node) updateMembers(call func(*Core) (Output, error)) error {
	err := ErrNotMember
	n.update(func(c *Core) Output {
		var out Output
		out, err = call(c)
		return out
	})
	return err
}

func (n *Node) serveStepDown(w http.ResponseWriter, _ *http.Request) {
	if !n.TransferLeadership("") {
		n.replyStatus(w, ErrNoSuccessor)
		return
	}
	n.replyStatus(w, nil)
}

func decodeRequest(r *http.Request, maxBytes int64, into any) error {
	return json.NewDecoder(io.LimitReader(r.Body, maxBytes)).Decode(into)
}

package supervisor

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"swiftreel/internal/handover"
)

// Guards against a current controller that goes on with ordered keys while a next one of an earlier version, which does
// not link to it, takes jobs of them.
func TestTheCurrentControllerLearnsOfASuccessorThatDoesNotLink(t *testing.T) {
	var notices []bool
	refuses := true
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var notice handover.Notice
		if err := json.NewDecoder(r.Body).Decode(&notice); err != nil || r.URL.Path != handover.NoticePath {
			t.Errorf("%s: %v", r.URL.Path, err)
		}
		if refuses {
			http.NotFound(w, r)
			return
		}
		notices = append(notices, notice.Running)
		w.WriteHeader(http.StatusNoContent)
	}))
	defer server.Close()
	newController := func() *controller { return &controller{onAddress: func() {}} }
	s := &Supervisor{current: newController(), next: newController()}
	s.current.setAddress(strings.TrimPrefix(server.URL, "http://"), true)
	steps := []struct {
		change func()
		want   []bool
	}{
		{func() {}, nil}, // the next one does not serve yet
		{func() { s.next.setAddress("x", true) }, nil},
		{func() { s.next.setAddress("x", false) }, nil}, // refused
		{func() { refuses = false }, []bool{true}},
		{func() {}, []bool{true}},
		{func() { s.next = nil }, []bool{true, false}},
		{func() { s.current = nil }, []bool{true, false}},
	}
	for i, step := range steps {
		step.change()
		if s.noticeSuccessor(t.Context()); !reflect.DeepEqual(notices, step.want) {
			t.Errorf("step %d: %v, want %v", i, notices, step.want)
		}
	}
}

func TestTheLogTellsWhetherAControllerLinks(t *testing.T) {
	for line, links := range map[string]bool{
		"level=INFO msg=serving_tally address=127.0.0.1:9\n":            false,
		"level=INFO msg=serving_tally address=127.0.0.1:9 handover=1\n": true,
	} {
		woken := 0
		c := &controller{onAddress: func() { woken++ }}
		c.copyLog(strings.NewReader(line), new(strings.Builder))
		if c.address != "127.0.0.1:9" || c.servesUnlinked() == links || woken != 1 {
			t.Errorf("%q: %q, unlinked %v, woken %d times", line, c.address, c.servesUnlinked(), woken)
		}
	}
}

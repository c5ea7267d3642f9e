package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"swiftreel/internal/command"
	"swiftreel/internal/leader"
	"swiftreel/internal/operator"
)

// Paths that voters serve.
const (
	viewPath      = "/v1/owner"
	replicaPath   = "/v1/owner/agreed"
	recordPath    = "/v1/owner/item?name=change.json"
	changePath    = "/v1/owner/change"
	requestPath   = "/v1/owner/wish"
	bootstrapPath = "/v1/owner/found"
	joinPath      = "/v1/owner/join"
	removePath    = "/v1/owner/forget"
	stepDownPath  = "/v1/owner/step-down"
)

// Times of requests to voters. The log changes one member at a time, so what it refuses is retried.
const (
	voterTimeout       = 2 * supervisorTimeout
	leaderTimeout      = 10 * time.Second // an election, and more
	catchUpTimeout     = 3 * leaderTimeout
	leaderRetryDelay   = 100 * time.Millisecond
	memberRetryDelay   = 200 * time.Millisecond
	maxVoterReplyBytes = 16 << 20
	maxVoterErrorBytes = 500
)

// voters are the members of a fleet that elect its leader.
type voters struct {
	fleet *operator.Fleet
	http  http.Client
}

var errNoVoters = errors.New("/fleet/voters: none are named")

func loadVoters(operatorFile string) (*voters, error) {
	fleet, err := loadFleet(operatorFile)
	if err != nil {
		return nil, err
	}
	if len(fleet.Voters) == 0 {
		return nil, command.BadInput(errNoVoters)
	}
	return &voters{fleet: fleet, http: http.Client{Timeout: voterTimeout}}, nil
}

func (v *voters) get(ctx context.Context, name, path string) ([]byte, error) {
	return v.do(ctx, name, http.MethodGet, path, nil)
}

func (v *voters) post(ctx context.Context, name, path string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	_, err = v.do(ctx, name, http.MethodPost, path, text)
	return err
}

func (v *voters) do(ctx context.Context, name, method, path string, body []byte) ([]byte, error) {
	member, _ := v.fleet.Member(name) // an unknown name has no address, and the request fails
	request, err := http.NewRequestWithContext(ctx, method, "http://"+member.Address()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	reply, err := v.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer reply.Body.Close()
	text, err := io.ReadAll(io.LimitReader(reply.Body, maxVoterReplyBytes))
	if err != nil {
		return text, err
	}
	if isSuccess := reply.StatusCode/100 == 2; !isSuccess {
		return text, fmt.Errorf("%s: %s", name, bytes.TrimSpace(text[:min(len(text), maxVoterErrorBytes)]))
	}
	return text, nil
}

// voterViews is what the voters report of the election, or why they do not, by name.
type voterViews struct {
	views  map[string]leader.Status
	errors map[string]error
}

func (v *voters) poll(ctx context.Context) voterViews {
	polled := voterViews{views: map[string]leader.Status{}, errors: map[string]error{}}
	for _, name := range v.fleet.Voters {
		var view leader.Status
		text, err := v.get(ctx, name, viewPath)
		if err == nil {
			err = json.Unmarshal(text, &view)
		}
		if err != nil {
			polled.errors[name] = err
			continue
		}
		polled.views[name] = view
	}
	return polled
}

// awaitLeader returns the name of the leader. There may be none for a while after one is lost.
func (v *voters) awaitLeader(ctx context.Context) (string, error) {
	deadline := time.Now().Add(leaderTimeout)
	for {
		polled := v.poll(ctx)
		for _, name := range v.fleet.Voters {
			if polled.views[name].Active {
				return name, nil
			}
		}
		if time.Now().After(deadline) {
			answered := len(v.fleet.Voters) - len(polled.errors)
			return "", fmt.Errorf("nobody owns the fleet: %d of %d voters answer", answered, len(v.fleet.Voters))
		}
		time.Sleep(leaderRetryDelay)
	}
}

// postToLeader sends the leader a request.
func postToLeader(ctx context.Context, operatorFile, path string, body any) error {
	voters, err := loadVoters(operatorFile)
	if err != nil {
		return err
	}
	name, err := voters.awaitLeader(ctx)
	if err == nil {
		err = voters.post(ctx, name, path, body)
	}
	if err != nil {
		return command.Failure(command.ExitFailed, err)
	}
	return nil
}

// newMemberID returns a number for a new member of the replicated log. It is never 0, which stands for none, and fits
// into 63 bits.
func newMemberID() uint64 { return rand.Uint64()>>1 + 1 }

// newMembers draws a number for each voter.
func (v *voters) newMembers() memberNumbers {
	numbers := memberNumbers{names: map[uint64]string{}, ids: map[string]uint64{}}
	for _, name := range v.fleet.Voters {
		id := newMemberID()
		numbers.ids[name] = id
		numbers.names[id] = name
	}
	return numbers
}

// memberNumbers are the numbers of the members of the replicated log, by name, and back.
type memberNumbers struct {
	names map[uint64]string
	ids   map[string]uint64
}

// bootstrapRequest has a voter begin to take part. Names, and what follows it, are left out for one that joins others.
type bootstrapRequest struct {
	Recover  bool              `json:"again,omitempty"` // from the state that one voter has retained
	ID       uint64            `json:"id"`
	Retained *leader.State     `json:"kept,omitempty"`
	Names    map[uint64]string `json:"names,omitempty"`
	Term     uint64            `json:"term,omitempty"`
}

// joinRequest has the leader take members in.
type joinRequest struct {
	Names map[uint64]string `json:"names"`
}

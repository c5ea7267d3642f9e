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

// Paths of the HTTP API of voters.
const (
	voterStatusPath     = "/v1/owner"
	replicatedStatePath = "/v1/owner/agreed"
	recordPath          = "/v1/owner/item?name=change.json"
	changePath          = "/v1/owner/change"
	requestPath         = "/v1/owner/wish"
	bootstrapPath       = "/v1/owner/found"
	joinPath            = "/v1/owner/join"
	removePath          = "/v1/owner/forget"
	stepDownPath        = "/v1/owner/step-down"
)

// Timeouts and limits of requests to voters. The replicated log changes one member at a time, so refused changes are
// retried.
const (
	voterTimeout       = 2 * supervisorTimeout
	leaderTimeout      = 10 * time.Second // longer than an election takes
	catchUpTimeout     = 3 * leaderTimeout
	leaderRetryDelay   = 100 * time.Millisecond
	memberRetryDelay   = 200 * time.Millisecond
	maxVoterReplyBytes = 16 << 20
	maxVoterErrorBytes = 500
)

// voters is a client of the fleet members that elect the leader.
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
	member, _ := v.fleet.Member(name) // an unknown name has no address, so the request fails
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

// pollResult has the status of each voter, or the error of its request, by name.
type pollResult struct {
	statuses map[string]leader.Status
	errors   map[string]error
}

func (v *voters) poll(ctx context.Context) pollResult {
	polled := pollResult{statuses: map[string]leader.Status{}, errors: map[string]error{}}
	for _, name := range v.fleet.Voters {
		var status leader.Status
		text, err := v.get(ctx, name, voterStatusPath)
		if err == nil {
			err = json.Unmarshal(text, &status)
		}
		if err != nil {
			polled.errors[name] = err
			continue
		}
		polled.statuses[name] = status
	}
	return polled
}

// awaitLeader returns the name of the leader. It retries, as there is no leader for a while after one is lost.
func (v *voters) awaitLeader(ctx context.Context) (string, error) {
	deadline := time.Now().Add(leaderTimeout)
	for {
		polled := v.poll(ctx)
		for _, name := range v.fleet.Voters {
			if polled.statuses[name].Active {
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

// postToLeader sends a request to the fleet's leader.
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

// newMemberID returns a random ID for a new member of the replicated log. It is never 0, which means none, and fits
// into 63 bits.
func newMemberID() uint64 { return rand.Uint64()>>1 + 1 }

// newMemberIDs assigns a new member ID to each voter.
func (v *voters) newMemberIDs() memberIDs {
	ids := memberIDs{nameByID: map[uint64]string{}, idByName: map[string]uint64{}}
	for _, name := range v.fleet.Voters {
		id := newMemberID()
		ids.idByName[name] = id
		ids.nameByID[id] = name
	}
	return ids
}

// memberIDs maps the names of the members of the replicated log to their IDs, and back.
type memberIDs struct {
	nameByID map[uint64]string
	idByName map[string]uint64
}

// bootstrapRequest makes a voter start as a member of the replicated log. Names and Term are omitted for a voter that
// joins an existing group.
type bootstrapRequest struct {
	Recover  bool              `json:"again,omitempty"` // start from the state in Retained
	ID       uint64            `json:"id"`
	Retained *leader.State     `json:"kept,omitempty"`
	Names    map[uint64]string `json:"names,omitempty"`
	Term     uint64            `json:"term,omitempty"`
}

// joinRequest asks the leader to add members.
type joinRequest struct {
	Names map[uint64]string `json:"names"`
}

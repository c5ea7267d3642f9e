package coordinator

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/google/renameio/v2"

	"swiftreel/internal/canary"
	"swiftreel/internal/failpoint"
	"swiftreel/internal/rollout"
)

// Names of the stored values: files of a folder, or items of a replicated log.
const (
	recordFile   = "change.json"   // Record
	baselineFile = "base.json"     // canary.Baseline
	requestFile  = "ask.json"      // OperatorRequest
	historyFile  = "history.jsonl" // a Transition per line; in folders only
	samplesFile  = "looks.jsonl"   // a PollSummary per line; in folders only
	lockFile     = "lock"
)

// Permissions of folders and files: these name machines and programs, so only the operator's account may read them.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// ReplicatedItems is the state that is replicated between the fleet's voters, under one term of a leader. It can be
// written only in that term. Its methods may be called concurrently.
type ReplicatedItems interface {
	Read(name string) (value []byte, found bool)
	Write(name string, value []byte) error
	// IsLeader reports whether this process is the leader of the term now. It is called before orders are sent.
	IsLeader() bool
	// Term returns the leader's term, which is part of the fence of orders.
	Term() int64
	// LeaderName returns the name of this process among the voters.
	LeaderName() string
}

// RecordStore stores a fleet's changes: the one in progress with its baseline, and the history of all. It is either a
// folder or a set of replicated items; with replicated items, transitions appear in the leader's log only, and samples
// are not kept. It has no mutex: only one goroutine may write, and files are replaced atomically for concurrent
// readers.
type RecordStore struct {
	folder     string
	lock       *os.File // nil unless opened by OpenFolder
	replicated ReplicatedItems
}

// ErrLocked is returned by OpenFolder while another process has locked the folder.
var ErrLocked = errors.New("another process coordinates a change in this folder")

// OpenFolder creates a folder if it is missing, and locks it until Close or the end of the process.
func OpenFolder(path string) (*RecordStore, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, err
	}
	store := OpenUnlocked(path)
	lock, err := os.OpenFile(store.path(lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close() // nothing was written to it
		return nil, fmt.Errorf("%s: %w", path, ErrLocked)
	}
	store.lock = lock
	return store, nil
}

// OpenUnlocked returns a store that does not lock its folder, for reading and for submitting requests while another
// process may coordinate a change there.
func OpenUnlocked(path string) *RecordStore { return &RecordStore{folder: path} }

// NewReplicatedStore returns a store of replicated items.
func NewReplicatedStore(items ReplicatedItems) *RecordStore {
	return &RecordStore{folder: "agreed", replicated: items} // the name of the folder is used in error texts only
}

// Close unlocks a folder that OpenFolder opened.
func (s *RecordStore) Close() { _ = s.lock.Close() } // an error loses no data: the lock file is empty

// maySendOrders reports whether this process may send orders: it holds the folder's lock, or is the leader.
func (s *RecordStore) maySendOrders() bool { return s.replicated == nil || s.replicated.IsLeader() }

// coordinatorID returns the identifier of the sender of a record's orders. Supervisors refuse a second sender with the
// same term.
func (s *RecordStore) coordinatorID(recordID string) string {
	if s.replicated == nil {
		return recordID
	}
	return recordID + "@" + s.replicated.LeaderName()
}

// nextTerm returns the term of a coordinator that takes over from one with the given term.
func (s *RecordStore) nextTerm(last int64) (int64, error) {
	if s.replicated == nil {
		return last + 1, nil
	}
	term := s.replicated.Term()
	if term < last { // an equal term is this process's own, from an earlier coordinator
		return 0, fmt.Errorf("the leader's term %d comes before the recorded term %d", term, last)
	}
	return term, nil
}

func (s *RecordStore) path(name string) string { return filepath.Join(s.folder, name) }

// write replaces the value stored under a name, durably and atomically.
func (s *RecordStore) write(name string, value any) error {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	if s.replicated != nil {
		return s.replicated.Write(name, text)
	}
	if err := failpoint.BeforeWrite(); err != nil {
		return err
	}
	return renameio.WriteFile(s.path(name), text, fileMode)
}

// read decodes the value stored under a name; found is false if there is none.
func (s *RecordStore) read(name string, into any) (found bool, err error) {
	text, err := s.readText(name)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err == nil {
		err = json.Unmarshal(text, into)
	}
	if err != nil {
		return false, fmt.Errorf("%s: %w", s.path(name), err)
	}
	return true, nil
}

// readText returns the text stored under a name, or an error that wraps fs.ErrNotExist if there is none.
func (s *RecordStore) readText(name string) ([]byte, error) {
	if s.replicated == nil {
		return os.ReadFile(s.path(name))
	}
	text, found := s.replicated.Read(name)
	if !found {
		return nil, fs.ErrNotExist
	}
	return text, nil
}

// Record returns the record of the change in progress, or of the last one; found is false if no change was begun yet.
func (s *RecordStore) Record() (record Record, found bool, err error) {
	found, err = s.read(recordFile, &record)
	return record, found, err
}

// Baseline returns what was observed before the first stage; it is empty until that is complete.
func (s *RecordStore) Baseline() (*canary.Baseline, error) {
	baseline := canary.NewBaseline()
	_, err := s.read(baselineFile, baseline)
	return baseline, err
}

// Submit stores an operator's request for the coordinator. It replaces a request that was not carried out yet.
func (s *RecordStore) Submit(request rollout.Request) error {
	return s.write(requestFile, OperatorRequest{ID: newID(), Request: request})
}

// PendingRequest returns the last request submitted, whether or not it was carried out. A request that cannot be read
// is ignored.
func (s *RecordStore) PendingRequest() OperatorRequest {
	var request OperatorRequest
	_, _ = s.read(requestFile, &request) // ignored, see above
	return request
}

const idBytes = 8

// newID returns a random identifier for a record or request.
func newID() string {
	id := make([]byte, idBytes)
	_, _ = rand.Read(id) // it never fails: see crypto/rand
	return hex.EncodeToString(id)
}

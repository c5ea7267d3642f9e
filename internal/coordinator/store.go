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

// Names of what is stored: files of a folder, or items of a replicated log.
const (
	recordFile   = "change.json"   // Record
	baselineFile = "base.json"     // canary.Baseline
	requestFile  = "ask.json"      // OperatorRequest
	historyFile  = "history.jsonl" // Transition by line; of a folder only
	samplesFile  = "looks.jsonl"   // Sample by line; of a folder only
	lockFile     = "lock"
)

// Permissions of what is stored: it names machines and programs, which concern the operator's account only.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// ReplicatedItems is the state that the fleet's voters agree on, under one term of a leader. It is stored by more
// than one machine, and written to under that term only. Its methods may be called by several goroutines.
type ReplicatedItems interface {
	Read(name string) (value []byte, found bool)
	Write(name string, value []byte) error
	// IsLeader reports whether this process leads under the term now. It is asked before each act.
	IsLeader() bool
	// Term is the leader's term, which orders carry.
	Term() int64
	// LeaderName is the name of this process among the voters.
	LeaderName() string
}

// RecordStore holds a fleet's changes: the one in progress, the baseline that it is compared with, the history of
// all. It is either a folder or the items that voters agree on; of the latter, transitions and samples stand in the
// leader's log only. It has no lock of its own: one goroutine writes, and files are replaced atomically for those
// that read.
type RecordStore struct {
	folder     string
	lock       *os.File // nil unless opened by OpenFolder
	replicated ReplicatedItems
}

// ErrLocked is returned by OpenFolder while another process has the folder.
var ErrLocked = errors.New("another process coordinates a change in this folder")

// OpenFolder locks a folder, which it creates if it is missing, until Close or the end of the process.
func OpenFolder(path string) (*RecordStore, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, err
	}
	store := UnlockedFolder(path)
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

// UnlockedFolder is a folder to read from and to leave requests in, while another process may coordinate there.
func UnlockedFolder(path string) *RecordStore { return &RecordStore{folder: path} }

// Replicated is a store of the items that voters agree on.
func Replicated(items ReplicatedItems) *RecordStore {
	return &RecordStore{folder: "agreed", replicated: items} // the folder's name is for errors only
}

// Close unlocks a folder that OpenFolder opened.
func (s *RecordStore) Close() { _ = s.lock.Close() } // only the lock ends with it: nothing is written to the file

// mayAct reports whether orders may be sent. A folder belongs to its process for as long as that holds the lock.
func (s *RecordStore) mayAct() bool { return s.replicated == nil || s.replicated.IsLeader() }

// coordinatorID identifies who sends orders for a record: supervisors refuse a second one under the same term.
func (s *RecordStore) coordinatorID(recordID string) string {
	if s.replicated == nil {
		return recordID
	}
	return recordID + "@" + s.replicated.LeaderName()
}

// nextTerm returns the term of a coordinator that takes over after one with the last term.
func (s *RecordStore) nextTerm(last int64) (int64, error) {
	if s.replicated == nil {
		return last + 1, nil
	}
	term := s.replicated.Term()
	if term < last { // an equal one is this process's own: it has coordinated before and ended that
		return 0, fmt.Errorf("the leader's term %d comes before the recorded term %d", term, last)
	}
	return term, nil
}

func (s *RecordStore) path(name string) string { return filepath.Join(s.folder, name) }

// write replaces what is stored under a name, durably and atomically.
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

// read decodes what is stored under a name; found is false where there is nothing.
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

// readText returns an error that wraps fs.ErrNotExist where nothing is stored under the name.
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

// Record returns the change in progress, or the last one; found is false where no change was begun yet.
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

// Submit leaves an operator's request for the coordinator. It replaces one that was not carried out yet.
func (s *RecordStore) Submit(request rollout.Request) error {
	return s.write(requestFile, OperatorRequest{ID: newID(), Request: request})
}

// PendingRequest returns the request left last, whether or not it was carried out. One that cannot be read asks for
// nothing.
func (s *RecordStore) PendingRequest() OperatorRequest {
	var request OperatorRequest
	_, _ = s.read(requestFile, &request) // see above
	return request
}

const idBytes = 8

// newID returns an identifier that no other record or request has.
func newID() string {
	id := make([]byte, idBytes)
	_, _ = rand.Read(id) // it never fails: see crypto/rand
	return hex.EncodeToString(id)
}

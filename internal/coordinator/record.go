package coordinator

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/google/renameio/v2"

	"swiftreel/internal/canary"
	"swiftreel/internal/change"
	"swiftreel/internal/failpoint"
	"swiftreel/internal/jobstats"
	"swiftreel/internal/rollout"
)

// Record is all of a change that outlives its conductor.
type Record struct {
	By     string        `json:"by"` // names this record to controllers' keepers
	Change change.Change `json:"change"`
	From   change.Spec   `json:"from"`
	To     change.Spec   `json:"to"`
	Stages [][]string    `json:"stages"`
	State  rollout.State `json:"state"`
	Asked  string        `json:"asked"` // the last wish that was taken in
}

// Step is a line of the history.
type Step struct {
	At      time.Time     `json:"at"` // of the conductor's machine, for people
	Number  int64         `json:"number"`
	Phase   rollout.Phase `json:"phase"`
	Stage   int           `json:"stage"`
	Fence   change.Fence  `json:"fence"`
	Why     string        `json:"why"`
	Outcome string        `json:"outcome,omitempty"`
}

// Point is a look, for people: what was seen of both versions in it.
type Point struct {
	At     time.Time     `json:"at"`
	Number int64         `json:"number"`
	Phase  rollout.Phase `json:"phase"`
	Stage  int           `json:"stage"`
	Odds   float64       `json:"odds"` // of harm
	Old    Arm           `json:"old"`
	New    Arm           `json:"new"`
}

// Arm is one version's part of a look.
type Arm struct {
	Jobs      uint64 `json:"jobs"`
	Missed    uint64 `json:"missed"`
	Throttled uint64 `json:"throttled"`
	Cancelled uint64 `json:"cancelled"`
	MedianNS  int64  `json:"median_ns"`
	P99NS     int64  `json:"p99_ns"`
}

func armOf(w canary.JobCounts) Arm {
	return Arm{w.Jobs, w.Jobs - w.WithinSLA, w.Throttled, w.Cancelled, int64(jobstats.Quantile(w.LatencyBuckets, 50)), int64(jobstats.Quantile(w.LatencyBuckets, 99))}
}

// Wish is what an operator asks of whoever conducts.
type Wish struct {
	ID  string      `json:"id"`
	Ask rollout.Ask `json:"ask"`
}

// Folder is where a fleet's changes are recorded: the one under way, the base it is held against, the history of all.
type Folder struct {
	path   string
	lock   *os.File
	agreed Agreement // in place of files
}

// Agreement is what the fleet's voters agree on, as the owner of a reign has it. It is kept by more than one machine, and
// written under that reign only.
type Agreement interface {
	Read(name string) (value []byte, is bool)
	Write(name string, value []byte) error
	May() bool   // this process owns the reign, now: asked before each act
	Term() int64 // the reign: orders carry it
	Name() string
}

// Agreed is a record that is agreed on. Its looks and transitions stand in the log of the owner's process only.
func Agreed(a Agreement) *Folder { return &Folder{path: "agreed", agreed: a} }

// may tells whether orders may go out. A record in files is its process's as long as that holds the lock.
func (f *Folder) may() bool { return f.agreed == nil || f.agreed.May() }

// by names who orders: keepers refuse another under the same term.
func (f *Folder) by(record string) string {
	if f.agreed == nil {
		return record
	}
	return record + "@" + f.agreed.Name()
}

// term is that of one who takes over after a term.
func (f *Folder) term(last int64) (int64, error) {
	if f.agreed == nil {
		return last + 1, nil
	}
	if t := f.agreed.Term(); t >= last { // the same: this process conducted before, and has ended doing so
		return t, nil
	}
	return 0, fmt.Errorf("reign %d comes before term %d", f.agreed.Term(), last)
}

// ErrConducted: another process conducts in this folder.
var ErrConducted = errors.New("another process conducts a change in this folder")

// Open takes a folder for conducting; nobody else can while it is open.
func Open(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	f := Look(path)
	var err error
	if f.lock, err = os.OpenFile(f.file("lock"), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.lock.Close()
		return nil, fmt.Errorf("%s: %w", path, ErrConducted)
	}
	return f, nil
}

// Look is a folder to read and to ask in.
func Look(path string) *Folder { return &Folder{path: path} }

// Close frees it.
func (f *Folder) Close() { f.lock.Close() }

func (f *Folder) file(name string) string { return filepath.Join(f.path, name) }

func (f *Folder) write(name string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	if f.agreed != nil {
		return f.agreed.Write(name, text)
	}
	if err := failpoint.BeforeWrite(); err != nil {
		return err
	}
	return renameio.WriteFile(f.file(name), text, 0o600)
}

func (f *Folder) read(name string, into any) (is bool, err error) {
	var text []byte
	if f.agreed != nil {
		var is bool
		if text, is = f.agreed.Read(name); !is {
			return false, nil
		}
	} else if text, err = os.ReadFile(f.file(name)); errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err == nil {
		err = json.Unmarshal(text, into)
	}
	if err != nil {
		return false, fmt.Errorf("%s: %w", f.file(name), err)
	}
	return true, nil
}

// Record reads the change under way, or the last.
func (f *Folder) Record() (r Record, is bool, err error) {
	is, err = f.read("change.json", &r)
	return r, is, err
}

// Base reads what was seen before the first stage; nothing where it was not reached.
func (f *Folder) Base() (*canary.Baseline, error) {
	b := canary.NewBaseline()
	_, err := f.read("base.json", b)
	return b, err
}

// Ask leaves a wish, in the place of one not yet taken in.
func (f *Folder) Ask(a rollout.Ask) error { return f.write("ask.json", Wish{name(), a}) }

// Wish reads the one left.
func (f *Folder) Wish() (w Wish) {
	f.read("ask.json", &w) // one that cannot be read asks for nothing
	return w
}

// note appends to the history; what cannot be written is lost for people only.
func (f *Folder) note(s Step) { f.add("history.jsonl", s) }

func (f *Folder) add(name string, line any) {
	text, err := json.Marshal(line)
	if err != nil || f.agreed != nil {
		return
	}
	if i, err := os.Stat(f.file(name)); err == nil && i.Size() > mostLines {
		os.Rename(f.file(name), f.file(name+".before")) // one before is kept
	}
	if h, err := os.OpenFile(f.file(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil {
		h.Write(append(text, '\n'))
		h.Close()
	}
}

// mostLines bounds how much of a file of lines is read: its end.
const mostLines = 16 << 20

// History reads the transitions of all changes.
func (f *Folder) History() ([]Step, error) { return lines[Step](f.file("history.jsonl")) }

// Points reads the looks of the last change: the file begins anew with each.
func (f *Folder) Points() ([]Point, error) { return lines[Point](f.file("looks.jsonl")) }

func lines[T any](path string) (list []T, err error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	for line := range bytes.SplitSeq(text[max(0, len(text)-mostLines):], []byte("\n")) {
		var v T
		if json.Unmarshal(line, &v) == nil {
			list = append(list, v)
		}
	}
	return list, nil
}

// name is a name that no other has.
func name() string {
	b := make([]byte, 8)
	rand.Read(b)
	return hex.EncodeToString(b)
}

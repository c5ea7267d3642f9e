package recovery

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"swiftreel/internal/store"
)

// The store under testdata/jobs/store was written by the program at 70e2e4b: a checkpoint and segments behind it, with records
// of each kind. testdata/jobs/decisions.json is what that program made of it, and went on with.

var record = flag.Bool("record", false, "write the store under testdata where it is not there yet")

const (
	jobsFolder    = "testdata/jobs"
	keptAnswers   = 3
	windowOfKeyed = 1000
)

// step is a record of a job's way.
type step struct {
	kind store.Kind
	body any
}

func taken(c Call, key string, e Effect) step {
	job := Taken{Call: c, Type: "import", Key: key, Effect: e}
	if e == Keyed {
		job.Window, job.Tenant = windowOfKeyed, "acme"
	}
	return step{TakenKind, job}
}

func sent(c Call, at int64) step { return step{SentKind, Sent{Call: c, Engine: "e17", At: at}} }

func ended(c Call, how How, answer string) step {
	e := Ended{Call: c, How: how}
	if answer != "" {
		e.Answer = []byte(answer)
	}
	return step{EndedKind, e}
}

func answered(c Call, how string) step { return step{AnsweredKind, Answered{Call: c, How: how}} }

// beforeCheckpoint and behindCheckpoint are all ways that a job can have gone, cut off by a crash.
var (
	beforeCheckpoint = []step{
		taken("c-dropped", "", RunOnce), answered("c-dropped", Done), // the oldest answer, not kept to the end
		taken("c-done", "k1", RunOnce), sent("c-done", 10), ended("c-done", Ran, "a\tb\tc\n"), answered("c-done", Done),
		taken("c-fresh", "k2", RunOnce),
		taken("c-behind-fresh", "k2", RunOnce),
		taken("c-out", "k3", RunOnce), sent("c-out", 20),
		taken("c-keyed-out", "k4", Keyed), sent("c-keyed-out", 500),
		taken("c-ran", "k5", RunOnce), sent("c-ran", 30), ended("c-ran", Ran, "d\te\tf\n"),
	}
	behindCheckpoint = []step{
		taken("c-keyed-stale", "k6", Keyed), sent("c-keyed-stale", 5), ended("c-keyed-stale", Unsure, ""),
		taken("c-refused", "k7", RunOnce), sent("c-refused", 40), ended("c-refused", NeverRan, ""), sent("c-refused", 50),
		ended("c-refused", NeverRan, ""),
		taken("c-unsure", "", RunOnce), sent("c-unsure", 60), ended("c-unsure", Unsure, ""),
		taken("c-large", "k8", RunOnce), sent("c-large", 70), ended("c-large", Ran, ""),
		taken("c-throttled", "k9", RunOnce), answered("c-throttled", Throttled),
		taken("c-cancelled", "k9", RunOnce), sent("c-cancelled", 80), ended("c-cancelled", Unsure, ""),
		answered("c-cancelled", Cancelled),
		sent("c-fresh", 90),
	}
	allCalls = []Call{"c-dropped", "c-done", "c-fresh", "c-behind-fresh", "c-out", "c-keyed-out", "c-ran", "c-keyed-stale",
		"c-refused", "c-unsure", "c-large", "c-throttled", "c-cancelled", "c-nobody"}
)

// decision is what is known of one call.
type decision struct {
	Call     Call   `json:"call"`
	Known    bool   `json:"known"`
	Goes     bool   `json:"goes"`
	Answered bool   `json:"answered"`
	How      string `json:"how,omitempty"`
	Answer   string `json:"answer,omitempty"`
}

// decisions are all that a book tells.
type decisions struct {
	Open       map[string]json.RawMessage `json:"open"` // by the time
	AfterCrash json.RawMessage            `json:"after_crash"`
	Calls      []decision                 `json:"calls"`
	Live       []string                   `json:"live"`
	OpenJobs   int                        `json:"open_jobs"`
	Answers    int                        `json:"answers"`
}

func decisionsOf(t *testing.T, b *Book) (d decisions) {
	t.Helper()
	d.Open = map[string]json.RawMessage{}
	for _, now := range []int64{0, 100, 1001, 1499, 1500, 1 << 62} {
		d.Open[fmt.Sprint(now)] = marshalled(t, b.Open(now))
	}
	d.AfterCrash = marshalled(t, b.AfterCrash())
	for _, c := range allCalls {
		how, answer, is := b.Answer(c)
		d.Calls = append(d.Calls, decision{Call: c, Known: b.Known(c), Goes: b.Goes(c), Answered: is, How: how, Answer: string(answer)})
	}
	err := b.Live(func(k store.Kind, payload []byte) error {
		d.Live = append(d.Live, fmt.Sprintf("%d %s", k, payload))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	d.OpenJobs, d.Answers = b.Size()
	return d
}

func marshalled(t *testing.T, v any) json.RawMessage {
	t.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// jobStore is a store of jobs and the book that it was replayed into.
type jobStore struct {
	t      *testing.T
	folder *store.Folder
	log    *store.Log
	book   *Book
}

func openJobs(t *testing.T, dir string) *jobStore {
	t.Helper()
	folder, err := store.OpenFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	s := &jobStore{t: t, folder: folder, book: NewBook(keptAnswers)}
	if s.log, _, err = store.Open(folder, store.Limits{Segment: 600}, s.book.Apply); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *jobStore) write(steps ...step) {
	s.t.Helper()
	for _, each := range steps {
		r, err := Entry(each.kind, each.body)
		if err == nil {
			err = s.book.Apply(r)
		}
		if err == nil {
			_, err = s.log.Append([]store.Record{r})
		}
		if err != nil {
			s.t.Fatal(err)
		}
	}
}

func (s *jobStore) checkpoint() {
	s.t.Helper()
	if err := s.log.Checkpoint(s.book.Live); err != nil {
		s.t.Fatal(err)
	}
}

func (s *jobStore) close() {
	s.t.Helper()
	if err := s.log.Close(); err != nil {
		s.t.Fatal(err)
	}
	if err := s.folder.Close(); err != nil {
		s.t.Fatal(err)
	}
}

// goOnFrom plays a start after a crash from a folder, another crash at once, and the end of two jobs.
func goOnFrom(t *testing.T, dir string) (list []decisions) {
	t.Helper()
	s := openJobs(t, dir)
	list = append(list, decisionsOf(t, s.book))
	for _, e := range s.book.AfterCrash() {
		s.write(step{EndedKind, e})
	}
	s.close()
	s = openJobs(t, dir)
	list = append(list, decisionsOf(t, s.book))
	s.write(sent("c-keyed-out", 1200), ended("c-keyed-out", Ran, "g\th\ti\n"), answered("c-keyed-out", Done), answered("c-ran", Done))
	s.checkpoint()
	s.write(taken("c-new", "k2", RunOnce), answered("c-fresh", Cancelled))
	before := decisionsOf(t, s.book)
	s.close()
	s = openJobs(t, dir)
	after := decisionsOf(t, s.book)
	s.close()
	if got, want := marshalled(t, after), marshalled(t, before); !bytes.Equal(got, want) {
		t.Errorf("after a restart\n%s\nnot\n%s", got, want)
	}
	return append(list, after)
}

func TestOldJobsComeToTheSameDecisionsAndGoOn(t *testing.T) {
	if *record {
		recordJobs(t)
	}
	dir := t.TempDir()
	copyFolder(t, filepath.Join(jobsFolder, "store"), dir)
	want, err := os.ReadFile(filepath.Join(jobsFolder, "decisions.json"))
	if err != nil {
		t.Fatal(err)
	}
	if got := indented(t, goOnFrom(t, dir)); !bytes.Equal(got, want) {
		t.Errorf("the old store comes to\n%s\nnot\n%s", got, want)
	}
}

func recordJobs(t *testing.T) {
	t.Helper()
	to := filepath.Join(jobsFolder, "store")
	if _, err := os.Stat(to); err == nil {
		return
	}
	dir := t.TempDir()
	s := openJobs(t, dir)
	s.write(beforeCheckpoint...)
	s.checkpoint()
	s.write(behindCheckpoint...)
	s.close()
	if err := os.Remove(filepath.Join(dir, "lock")); err != nil {
		t.Fatal(err)
	}
	copyFolder(t, dir, to)
	text := indented(t, goOnFrom(t, dir))
	if err := os.WriteFile(filepath.Join(jobsFolder, "decisions.json"), text, 0o644); err != nil {
		t.Fatal(err)
	}
}

func indented(t *testing.T, list []decisions) []byte {
	t.Helper()
	text, err := json.MarshalIndent(list, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

func copyFolder(t *testing.T, from, to string) {
	t.Helper()
	if err := os.MkdirAll(to, 0o755); err != nil {
		t.Fatal(err)
	}
	list, err := os.ReadDir(from)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range list {
		text, err := os.ReadFile(filepath.Join(from, entry.Name()))
		if err == nil {
			err = os.WriteFile(filepath.Join(to, entry.Name()), text, 0o644)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

func TestEachKindOfRecordHasItsBytes(t *testing.T) {
	for _, c := range []struct {
		step
		kind store.Kind
		want string
	}{
		{taken("c1", "k", RunOnce), 1, `{"call":"c1","type":"import","key":"k","effect":"run-once"}`},
		{taken("c2", "", Keyed), 1, `{"call":"c2","type":"import","tenant":"acme","effect":"keyed","window_ns":1000}`},
		{sent("c1", 7), 2, `{"call":"c1","engine":"e17","at":7}`},
		{ended("c1", Ran, "a\tb\tc\n"), 3, `{"call":"c1","how":"ran","answer":"YQliCWMK"}`},
		{ended("c1", NeverRan, ""), 3, `{"call":"c1","how":"never ran"}`},
		{ended("c1", Unsure, ""), 3, `{"call":"c1","how":"unsure"}`},
		{answered("c1", Done), 4, `{"call":"c1","how":"done"}`},
		{answered("c1", Throttled), 4, `{"call":"c1","how":"throttled"}`},
		{answered("c1", Cancelled), 4, `{"call":"c1","how":"cancelled"}`},
	} {
		r, err := Entry(c.step.kind, c.body)
		if err != nil || r.Kind != c.kind || string(r.Payload) != c.want {
			t.Errorf("kind %d, %s, %v; not kind %d, %s", r.Kind, r.Payload, err, c.kind, c.want)
		}
	}
}

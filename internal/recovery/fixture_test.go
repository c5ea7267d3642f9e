package recovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"swiftreel/internal/golden"
	"swiftreel/internal/store"
)

// The store under testdata/jobs/store was written by the program at 70e2e4b: a checkpoint and segments behind it,
// with records of each kind. testdata/jobs/decisions.json is what that program made of it, and went on with.

const (
	jobsFolder      = "testdata/jobs"
	retainedAnswers = 3
	windowOfKeyed   = 1000
)

// step is a record of a job's way.
type step struct {
	kind store.Kind
	body any
}

func accepted(c CallID, key string, e Effect) step {
	job := Accepted{Call: c, Type: "import", Key: key, Effect: e}
	if e == EffectKeyed {
		job.WindowNS, job.Tenant = windowOfKeyed, "acme"
	}
	return step{KindAccepted, job}
}

func dispatched(c CallID, at int64) step {
	return step{KindDispatched, Dispatched{Call: c, Engine: "e17", AtNS: at}}
}

func ended(c CallID, outcome Outcome, answer string) step {
	e := AttemptEnded{Call: c, Outcome: outcome}
	if answer != "" {
		e.Answer = []byte(answer)
	}
	return step{KindAttemptEnded, e}
}

func answered(c CallID, how FinalAnswer) step {
	return step{KindAnswered, Answered{Call: c, Answer: how}}
}

// beforeCheckpoint and behindCheckpoint are all ways that a job can have gone, cut off by a crash.
var (
	beforeCheckpoint = []step{
		accepted("c-dropped", "", EffectRunOnce), answered("c-dropped", AnswerDone), // the oldest answer, not kept to the end
		accepted("c-done", "k1", EffectRunOnce), dispatched("c-done", 10), ended("c-done", OutcomeRan, "a\tb\tc\n"),
		answered("c-done", AnswerDone),
		accepted("c-fresh", "k2", EffectRunOnce),
		accepted("c-behind-fresh", "k2", EffectRunOnce),
		accepted("c-out", "k3", EffectRunOnce), dispatched("c-out", 20),
		accepted("c-keyed-out", "k4", EffectKeyed), dispatched("c-keyed-out", 500),
		accepted("c-ran", "k5", EffectRunOnce), dispatched("c-ran", 30), ended("c-ran", OutcomeRan, "d\te\tf\n"),
	}
	behindCheckpoint = []step{
		accepted("c-keyed-stale", "k6", EffectKeyed), dispatched("c-keyed-stale", 5),
		ended("c-keyed-stale", OutcomeUnknown, ""),
		accepted("c-refused", "k7", EffectRunOnce), dispatched("c-refused", 40), ended("c-refused", OutcomeNeverRan, ""),
		dispatched("c-refused", 50),
		ended("c-refused", OutcomeNeverRan, ""),
		accepted("c-unsure", "", EffectRunOnce), dispatched("c-unsure", 60), ended("c-unsure", OutcomeUnknown, ""),
		accepted("c-large", "k8", EffectRunOnce), dispatched("c-large", 70), ended("c-large", OutcomeRan, ""),
		accepted("c-throttled", "k9", EffectRunOnce), answered("c-throttled", AnswerThrottled),
		accepted("c-cancelled", "k9", EffectRunOnce), dispatched("c-cancelled", 80), ended("c-cancelled", OutcomeUnknown, ""),
		answered("c-cancelled", AnswerCancelled),
		dispatched("c-fresh", 90),
	}
	allCalls = []CallID{"c-dropped", "c-done", "c-fresh", "c-behind-fresh", "c-out", "c-keyed-out", "c-ran",
		"c-keyed-stale", "c-refused", "c-unsure", "c-large", "c-throttled", "c-cancelled", "c-nobody"}
)

// decision is what is known of one call.
type decision struct {
	Call        CallID `json:"call"`
	IsKnown     bool   `json:"known"`
	CanDispatch bool   `json:"goes"`
	IsAnswered  bool   `json:"answered"`
	Answer      string `json:"how,omitempty"`
	Result      string `json:"answer,omitempty"`
}

// decisions are all that a ledger tells.
type decisions struct {
	Open       map[string]json.RawMessage `json:"open"` // by the time
	AfterCrash json.RawMessage            `json:"after_crash"`
	Calls      []decision                 `json:"calls"`
	Live       []string                   `json:"live"`
	OpenJobs   int                        `json:"open_jobs"`
	Answers    int                        `json:"answers"`
}

func decisionsOf(t *testing.T, ledger *Ledger) (d decisions) {
	t.Helper()
	d.Open = map[string]json.RawMessage{}
	for _, now := range []int64{0, 100, 1001, 1499, 1500, 1 << 62} {
		d.Open[fmt.Sprint(now)] = marshalled(t, ledger.OpenJobs(now))
	}
	d.AfterCrash = marshalled(t, ledger.InterruptedAttempts())
	for _, call := range allCalls {
		answer, isAnswered := ledger.Answer(call)
		d.Calls = append(d.Calls, decision{
			Call:        call,
			IsKnown:     ledger.Contains(call),
			CanDispatch: ledger.CanDispatch(call),
			IsAnswered:  isAnswered,
			Answer:      string(answer.Answer),
			Result:      string(answer.Result),
		})
	}
	err := ledger.Snapshot(func(k store.Kind, payload []byte) error {
		d.Live = append(d.Live, fmt.Sprintf("%d %s", k, payload))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	d.OpenJobs, d.Answers = ledger.Size()
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

// jobStore is a store of jobs and the ledger that it was replayed into.
type jobStore struct {
	t      *testing.T
	folder *store.Directory
	log    *store.Log
	ledger *Ledger
}

func openJobs(t *testing.T, dir string) *jobStore {
	t.Helper()
	folder, err := store.OpenDirectory(dir)
	if err != nil {
		t.Fatal(err)
	}
	s := &jobStore{t: t, folder: folder, ledger: NewLedger(retainedAnswers)}
	if s.log, _, err = store.Open(folder, store.Options{SegmentBytes: 600}, s.ledger.Apply); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *jobStore) write(steps ...step) {
	s.t.Helper()
	for _, each := range steps {
		r, err := NewRecord(each.kind, each.body)
		if err == nil {
			err = s.ledger.Apply(r)
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
	if err := s.log.Checkpoint(s.ledger.Snapshot); err != nil {
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
	list = append(list, decisionsOf(t, s.ledger))
	for _, e := range s.ledger.InterruptedAttempts() {
		s.write(step{KindAttemptEnded, e})
	}
	s.close()
	s = openJobs(t, dir)
	list = append(list, decisionsOf(t, s.ledger))
	s.write(dispatched("c-keyed-out", 1200), ended("c-keyed-out", OutcomeRan, "g\th\ti\n"),
		answered("c-keyed-out", AnswerDone), answered("c-ran", AnswerDone))
	s.checkpoint()
	s.write(accepted("c-new", "k2", EffectRunOnce), answered("c-fresh", AnswerCancelled))
	before := decisionsOf(t, s.ledger)
	s.close()
	s = openJobs(t, dir)
	after := decisionsOf(t, s.ledger)
	s.close()
	if got, want := marshalled(t, after), marshalled(t, before); !bytes.Equal(got, want) {
		t.Errorf("after a restart\n%s\nnot\n%s", got, want)
	}
	return append(list, after)
}

func TestOldJobsComeToTheSameDecisionsAndGoOn(t *testing.T) {
	from := filepath.Join(jobsFolder, "store")
	if golden.Missing(from) {
		recordJobs(t, from)
	}
	dir := t.TempDir()
	copyFolder(t, from, dir)
	golden.Check(t, "jobs/decisions.json", indented(t, goOnFrom(t, dir)))
}

func recordJobs(t *testing.T, to string) {
	t.Helper()
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
		{accepted("c1", "k", EffectRunOnce), 1, `{"call":"c1","type":"import","key":"k","effect":"run-once"}`},
		{accepted("c2", "", EffectKeyed), 1,
			`{"call":"c2","type":"import","tenant":"acme","effect":"keyed","window_ns":1000}`},
		{dispatched("c1", 7), 2, `{"call":"c1","engine":"e17","at":7}`},
		{ended("c1", OutcomeRan, "a\tb\tc\n"), 3, `{"call":"c1","how":"ran","answer":"YQliCWMK"}`},
		{ended("c1", OutcomeNeverRan, ""), 3, `{"call":"c1","how":"never ran"}`},
		{ended("c1", OutcomeUnknown, ""), 3, `{"call":"c1","how":"unsure"}`},
		{answered("c1", AnswerDone), 4, `{"call":"c1","how":"done"}`},
		{answered("c1", AnswerThrottled), 4, `{"call":"c1","how":"throttled"}`},
		{answered("c1", AnswerCancelled), 4, `{"call":"c1","how":"cancelled"}`},
	} {
		r, err := NewRecord(c.step.kind, c.body)
		if err != nil || r.Kind != c.kind || string(r.Payload) != c.want {
			t.Errorf("kind %d, %s, %v; not kind %d, %s", r.Kind, r.Payload, err, c.kind, c.want)
		}
	}
}

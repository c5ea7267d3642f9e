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

// The store under testdata/jobs/store was written by the program at commit 70e2e4b. It has a checkpoint and segments
// after it, with records of each kind. testdata/jobs/decisions.json holds the decisions of that program
// at each start of decisionsAcrossCrashes.

const (
	jobsDir         = "testdata/jobs"
	retainedAnswers = 3
	dedupeWindowNS  = 1000
)

// event is the kind and body of a record.
type event struct {
	kind store.Kind
	body any
}

func accepted(c CallID, key string, e Effect) event {
	job := Accepted{Call: c, Type: "import", Key: key, Effect: e}
	if e == EffectKeyed {
		job.DedupeWindowNS, job.Tenant = dedupeWindowNS, "acme"
	}
	return event{KindAccepted, job}
}

func dispatched(c CallID, at int64) event {
	return event{KindDispatched, Dispatched{Call: c, Engine: "e17", AtNS: at}}
}

func ended(c CallID, outcome Outcome, answer string) event {
	e := AttemptEnded{Call: c, Outcome: outcome}
	if answer != "" {
		e.Answer = []byte(answer)
	}
	return event{KindAttemptEnded, e}
}

func answered(c CallID, how FinalAnswer) event {
	return event{KindAnswered, Answered{Call: c, Answer: how}}
}

// eventsBeforeCheckpoint and eventsAfterCheckpoint leave a job in each state in which a crash can interrupt it.
var (
	eventsBeforeCheckpoint = []event{
		// The oldest answer, which is not retained at the end.
		accepted("c-dropped", "", EffectRunOnce), answered("c-dropped", AnswerDone),
		accepted("c-done", "k1", EffectRunOnce), dispatched("c-done", 10), ended("c-done", OutcomeRan, "a\tb\tc\n"),
		answered("c-done", AnswerDone),
		accepted("c-fresh", "k2", EffectRunOnce),
		accepted("c-behind-fresh", "k2", EffectRunOnce),
		accepted("c-out", "k3", EffectRunOnce), dispatched("c-out", 20),
		accepted("c-keyed-out", "k4", EffectKeyed), dispatched("c-keyed-out", 500),
		accepted("c-ran", "k5", EffectRunOnce), dispatched("c-ran", 30), ended("c-ran", OutcomeRan, "d\te\tf\n"),
	}
	eventsAfterCheckpoint = []event{
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

// decision is what a ledger returns for one call.
type decision struct {
	Call        CallID `json:"call"`
	IsKnown     bool   `json:"known"`
	CanDispatch bool   `json:"goes"`
	IsAnswered  bool   `json:"answered"`
	Answer      string `json:"how,omitempty"`
	Result      string `json:"answer,omitempty"`
}

// decisions are everything that a ledger returns.
type decisions struct {
	Open            map[string]json.RawMessage `json:"open"` // by the current Unix time in ns
	Interrupted     json.RawMessage            `json:"after_crash"`
	Calls           []decision                 `json:"calls"`
	SnapshotRecords []string                   `json:"live"`
	OpenJobs        int                        `json:"open_jobs"`
	Answers         int                        `json:"answers"`
}

func decisionsOf(t *testing.T, ledger *Ledger) (d decisions) {
	t.Helper()
	d.Open = map[string]json.RawMessage{}
	for _, now := range []int64{0, 100, 1001, 1499, 1500, 1 << 62} {
		d.Open[fmt.Sprint(now)] = mustMarshal(t, ledger.OpenJobs(now))
	}
	d.Interrupted = mustMarshal(t, ledger.InterruptedAttempts())
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
		d.SnapshotRecords = append(d.SnapshotRecords, fmt.Sprintf("%d %s", k, payload))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	d.OpenJobs, d.Answers = ledger.Size()
	return d
}

func mustMarshal(t *testing.T, v any) json.RawMessage {
	t.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// jobStore is a store of jobs and the ledger into which it was replayed.
type jobStore struct {
	t         *testing.T
	directory *store.Directory
	log       *store.Log
	ledger    *Ledger
}

func openJobStore(t *testing.T, dir string) *jobStore {
	t.Helper()
	directory, err := store.OpenDirectory(dir)
	if err != nil {
		t.Fatal(err)
	}
	s := &jobStore{t: t, directory: directory, ledger: NewLedger(retainedAnswers)}
	if s.log, _, err = store.Open(directory, store.Options{SegmentBytes: 600}, s.ledger.Apply); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *jobStore) write(events ...event) {
	s.t.Helper()
	for _, each := range events {
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
	if err := s.directory.Close(); err != nil {
		s.t.Fatal(err)
	}
}

// decisionsAcrossCrashes recovers a store, crashes and recovers again, ends two jobs, writes a checkpoint and restarts.
// It returns the decisions after each of these three starts.
func decisionsAcrossCrashes(t *testing.T, dir string) (list []decisions) {
	t.Helper()
	s := openJobStore(t, dir)
	list = append(list, decisionsOf(t, s.ledger))
	for _, e := range s.ledger.InterruptedAttempts() {
		s.write(event{KindAttemptEnded, e})
	}
	s.close()
	s = openJobStore(t, dir)
	list = append(list, decisionsOf(t, s.ledger))
	s.write(dispatched("c-keyed-out", 1200), ended("c-keyed-out", OutcomeRan, "g\th\ti\n"),
		answered("c-keyed-out", AnswerDone), answered("c-ran", AnswerDone))
	s.checkpoint()
	s.write(accepted("c-new", "k2", EffectRunOnce), answered("c-fresh", AnswerCancelled))
	before := decisionsOf(t, s.ledger)
	s.close()
	s = openJobStore(t, dir)
	after := decisionsOf(t, s.ledger)
	s.close()
	if got, want := mustMarshal(t, after), mustMarshal(t, before); !bytes.Equal(got, want) {
		t.Errorf("after a restart: got\n%s\nwant\n%s", got, want)
	}
	return append(list, after)
}

func TestOldStoreYieldsTheSameDecisions(t *testing.T) {
	from := filepath.Join(jobsDir, "store")
	if golden.ShouldRecord(from) {
		recordFixture(t, from)
	}
	dir := t.TempDir()
	copyFiles(t, from, dir)
	golden.Check(t, "jobs/decisions.json", mustMarshalIndent(t, decisionsAcrossCrashes(t, dir)))
}

func recordFixture(t *testing.T, to string) {
	t.Helper()
	dir := t.TempDir()
	s := openJobStore(t, dir)
	s.write(eventsBeforeCheckpoint...)
	s.checkpoint()
	s.write(eventsAfterCheckpoint...)
	s.close()
	if err := os.Remove(filepath.Join(dir, "lock")); err != nil {
		t.Fatal(err)
	}
	copyFiles(t, dir, to)
}

func mustMarshalIndent(t *testing.T, list []decisions) []byte {
	t.Helper()
	text, err := json.MarshalIndent(list, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

func copyFiles(t *testing.T, from, to string) {
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

func TestRecordEncoding(t *testing.T) {
	for _, c := range []struct {
		event
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
		r, err := NewRecord(c.event.kind, c.body)
		if err != nil || r.Kind != c.kind || string(r.Payload) != c.want {
			t.Errorf("got kind %d, %s, %v; want kind %d, %s", r.Kind, r.Payload, err, c.kind, c.want)
		}
	}
}

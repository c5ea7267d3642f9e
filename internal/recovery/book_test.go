package recovery

import (
	"fmt"
	"testing"

	"swiftreel/internal/store"
)

func apply(t *testing.T, b *Book, k store.Kind, v any) error {
	t.Helper()
	r, err := Entry(k, v)
	if err != nil {
		t.Fatal(err)
	}
	return b.Apply(r)
}

func TestFatesOfOpenJobs(t *testing.T) {
	b := NewBook(2)
	must := func(k store.Kind, v any) {
		t.Helper()
		if err := apply(t, b, k, v); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []Call{"fresh", "out", "keyed", "stale", "ran", "refused", "unsure", "over"} {
		e, w := RunOnce, int64(0)
		if c == "keyed" || c == "stale" {
			e, w = Keyed, 100
		}
		must(TakenKind, Taken{Call: c, Type: "import", Key: string(c), Effect: e, Window: w})
		if c != "fresh" {
			at := int64(50)
			if c == "stale" {
				at = 5
			}
			must(SentKind, Sent{Call: c, Engine: "e", At: at})
		}
		if how := map[Call]How{"ran": Ran, "refused": NeverRan, "unsure": Unsure, "over": Ran}[c]; how != "" {
			must(EndedKind, Ended{Call: c, How: how, Answer: []byte("x")})
		}
	}
	must(AnsweredKind, Answered{"over", Done})
	want := "fresh:may go again:false out:cancel for good:true keyed:may go again:true stale:cancel for good:true ran:repeat its answer:false refused:may go again:false unsure:cancel for good:true "
	tell := func(b *Book, now int64) (text string) {
		for _, o := range b.Open(now) {
			text += fmt.Sprintf("%s:%s:%v ", o.Call, o.Fate, o.Rests)
		}
		return text
	}
	if got := tell(b, 120); got != want {
		t.Errorf("%s", got)
	}
	if got := tell(b, 10); got == want { // a clock that was set back: the window cannot be trusted
		t.Errorf("%s", got)
	}
	if how, answer, is := b.Answer("over"); !is || how != Done || string(answer) != "x" {
		t.Error(how, answer, is)
	}
	again := NewBook(2) // from a checkpoint
	if err := b.Live(func(k store.Kind, text []byte) error { return again.Apply(store.Record{Kind: k, Payload: text}) }); err != nil {
		t.Fatal(err)
	}
	if tell(again, 120) != want || !again.Known("over") {
		t.Errorf("%s", tell(again, 120))
	}
	for i, bad := range []struct {
		k store.Kind
		v any
	}{{TakenKind, Taken{Call: "out"}}, {SentKind, Sent{Call: "nobody"}}, {SentKind, Sent{Call: "out"}}, {SentKind, Sent{Call: "ran"}}, {EndedKind, Ended{Call: "fresh"}},
		{AnsweredKind, Answered{Call: "over"}}, {99, Taken{}}} {
		if apply(t, b, bad.k, bad.v) == nil {
			t.Errorf("%d: what cannot be is taken", i)
		}
	}
	for i := range 10 { // answers are bounded
		c := Call(fmt.Sprint("more", i))
		must(TakenKind, Taken{Call: c})
		must(AnsweredKind, Answered{c, Throttled})
	}
	if open, answered := b.Size(); open != 7 || answered != 2 || b.Known("over") || len(b.jobs) != 9 {
		t.Errorf("%d open, %d answered, %d in all", open, answered, len(b.jobs))
	}
}

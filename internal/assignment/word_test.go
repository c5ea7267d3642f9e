package assignment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"swiftreel/internal/change"
	"swiftreel/internal/quota"
)

func TestAWordThatIsLateTwiceOrForAnotherChangesNothing(t *testing.T) {
	word := func(reign, count int64, owner string) Word {
		return Word{Format: change.Format, Reign: reign, Count: count, Owner: owner, Member: "c1", Life: "x", Part: quota.Share{quota.Fleet: 5}, PartUntil: 200}
	}
	other, before, far := word(9, 9, "a"), word(9, 9, "a"), word(9, 9, "a")
	other.Member, before.Life, far.PartUntil = "c2", "w", 100+mostAhead+1
	var h Held
	for i, c := range []struct {
		w    Word
		told string
	}{{word(2, 5, "a"), ""}, {word(2, 5, "a"), "comes after"}, {word(2, 4, "a"), "comes after"}, {word(2, 6, "b"), "is of a"}, {word(1, 99, "b"), "comes after"},
		{word(2, 6, "a"), ""}, {word(3, 1, "b"), ""}, {word(2, 7, "a"), "comes after"}, {other, "c2"}, {before, "was here before"}, {far, "ahead"}} {
		next, err := h.Take(c.w, "c1", "x", 100)
		if (err != nil) != (c.told != "") || err != nil && (!strings.Contains(err.Error(), c.told) || fmt.Sprint(next) != fmt.Sprint(h)) {
			t.Errorf("%d: %v", i, err)
		}
		h = next
	}
	if h.Reign != 3 || h.At(199).Part[quota.Fleet] != 5 || h.At(200).Part != nil || h.At(200).Reign != 3 {
		t.Errorf("%+v", h)
	}
}

// A plan that the member lacks is followed once its text has come; until then the one before goes on, to its own end.
func TestAPlanIsFollowedOnceItsTextIsThere(t *testing.T) {
	text := json.RawMessage(`{"a":1}`)
	first, second := change.OfJSON(text), change.OfJSON(json.RawMessage(`{"a":2}`))
	var h Held
	take := func(count int64, plan change.Digest, until int64, text json.RawMessage) {
		t.Helper()
		var err error
		if h, err = h.Take(Word{Reign: 1, Count: count, Owner: "a", Member: "c1", Life: "x", Plan: plan, PlanUntil: until, Text: text}, "c1", "x", 10); err != nil {
			t.Fatal(err)
		}
	}
	take(1, first, 100, nil)
	if h.Plan != "" {
		t.Error("it follows what it does not have")
	}
	take(2, first, 110, text)
	take(3, first, 120, nil)
	if h.Plan != first || h.PlanUntil != 120 || string(h.Text) != string(text) {
		t.Errorf("%+v", h)
	}
	take(4, second, 300, nil)
	if h.Plan != first || h.PlanUntil != 120 || h.At(120).Plan != "" {
		t.Errorf("%+v", h)
	}
	if take(5, "", 0, nil); h.Plan != "" {
		t.Error("it follows what the owner has taken back")
	}
}

const good = `{"format":2,"reign":1,"count":1,"owner":"a","member":"c1","life":"x","part":{"fleet":5,"quota of acme":7},"part_until_boot_ns":9}`

func TestWordsAreReadWholeOrNotAtAll(t *testing.T) {
	if _, err := ReadWord(strings.NewReader(good)); err != nil {
		t.Fatal(err)
	}
	for _, c := range [][2]string{{`"format":2`, `"format":1`}, {`"reign":1`, `"reign":0`}, {`"count":1`, `"count":-1`}, {`"life":"x"`, `"life":""`}, {`"fleet":5`, `"fleet":1000001`},
		{`"fleet":5`, `"fleets":5`}, {`"fleet":5`, `"fleet":0`}, {`"life":"x"`, `"life":"x","hurry":1`}, {`"life":"x"`, `"life":"x","plan":"p","plan_text":{}`}, {`}`, ``}} {
		if _, err := ReadWord(strings.NewReader(strings.Replace(good, c[0], c[1], 1))); err == nil || !strings.HasPrefix(err.Error(), "/") {
			t.Errorf("%s: %v", c[1], err)
		}
	}
}

func FuzzWordsOfTheOwner(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte(`{"format":2`))
	f.Fuzz(func(t *testing.T, text []byte) {
		w, err := ReadWord(bytes.NewReader(text))
		if err != nil {
			return
		}
		h, err := Held{}.Take(w, w.Member, w.Life, 0)
		if err == nil && (h.PartUntil > mostAhead || h.PlanUntil > mostAhead) {
			t.Errorf("%+v", h)
		}
	})
}

package rulecheck

import (
	"fmt"
	"strings"
	"testing"

	"swiftreel/internal/golden"
)

var rules = Rules{
	Types: map[string]Type{
		"lookup": {Effect: Restartable},
		"import": {Effect: RunOnce, Ordered: true, Zones: []string{"east"}},
		"update": {Effect: Keyed, DedupScope: "group", DedupWindow: 1000},
		"mark":   {Effect: Keyed, DedupScope: "all", DedupWindow: 1000},
		"report": {Effect: Restartable, Kinds: []string{"big"}},
	},
	AnswerSlack:       10,
	DrainGrace:        50,
	OrderPause:        100,
	WarmUp:            10_000,
	WarmUpWindow:      1000,
	WarmUpWorkPerCore: 300,
	RetryWindow:       1000,
	FreeRetries:       1,
	RetriesPerMille:   200,
}

// engineLog lists two engines, the first of which warms up until 10,000 ns.
const engineLog = `{"t":0,"what":"listed","engine":"e1","state":"ready","zone":"east","kind":"std","group":"g1",` +
	`"cores":2,"started":1}
{"t":0,"what":"listed","engine":"e2","state":"ready","zone":"west","kind":"big","group":"g2","cores":2}
`

func logLine(t int, event, job, fields string) string {
	return fmt.Sprintf(`{"t":%d,"what":%q,"job":%q%s}`+"\n", t, event, job, fields)
}

func accepted(t int, job, jobType, key string) string {
	return logLine(t, Accepted, job, fmt.Sprintf(`,"type":%q,"key":%q,"front":"n1","until":%d`, jobType, key, t+2000))
}

func began(t int, job, engine string) string {
	return logLine(t, Began, job, fmt.Sprintf(`,"engine":%q,"work":250`, engine))
}

func ended(t int, job, answer string) string {
	return logLine(t, Ended, job, `,"engine":"e1","answer":"`+answer+`"`)
}
func answered(t int, job, answer string) string {
	return logLine(t, Answered, job, `,"answer":"`+answer+`"`)
}

func served(t int, job, jobType, engine string) string {
	return accepted(t, job, jobType, "") + began(t+1, job, engine) + ended(t+2, job, Done) + answered(t+3, job, Done)
}

func TestEachBrokenRuleIsFoundAndNothingElse(t *testing.T) {
	var texts strings.Builder
	for _, c := range []struct {
		name string
		rule int // 0: none
		log  string
	}{
		{"done", 0, served(1, "a", "lookup", "e1")},
		{"throttled unsent", 0, accepted(1, "a", "import", "") + answered(5, "a", Throttled)},
		{"refused, then run", 0, accepted(1, "a", "import", "") + logLine(2, Reached, "a", `,"engine":"e1"`) +
			began(3, "a", "e1") + ended(4, "a", Done) + answered(5, "a", Done)},
		{"client disconnected", 0, accepted(1, "a", "lookup", "") + logLine(4, ClientLeft, "a", "")},
		{"no answer", 1, accepted(1, "a", "lookup", "")},
		{"two answers", 1, served(1, "a", "lookup", "e1") + answered(9, "a", Done)},
		{"late", 1, accepted(1, "a", "lookup", "") + answered(2012, "a", Throttled)},
		{"late within the slack", 0, accepted(1, "a", "lookup", "") + answered(2011, "a", Throttled)},
		{"answered after the client disconnected", 1, accepted(1, "a", "lookup", "") + logLine(4, ClientLeft, "a", "") +
			answered(5, "a", Throttled)},
		{"done without a dispatch", 1, accepted(1, "a", "lookup", "") + answered(4, "a", Done)},
		{"answer for an unknown job", 1, answered(4, "a", Throttled)},
		{"run-once twice", 2, accepted(1, "a", "import", "") + began(2, "a", "e1") + ended(3, "a", Broken) +
			began(4, "a", "e1") + ended(5, "a", Done) + answered(6, "a", Done)},
		{"run-once throttled after it ran", 2, accepted(1, "a", "import", "") + began(2, "a", "e1") + ended(3, "a", Broken) +
			answered(6, "a", Throttled)},
		{"run-once cancelled after it ran", 0, accepted(1, "a", "import", "") + began(2, "a", "e1") + ended(3, "a", Broken) +
			answered(6, "a", Cancelled)},
		{"keyed again in its group", 0, accepted(1, "a", "update", "") + began(2, "a", "e1") + ended(3, "a", Broken) +
			began(4, "a", "e1") + ended(5, "a", Done) + answered(6, "a", Done)},
		{"keyed again elsewhere", 2, accepted(1, "a", "update", "") + began(2, "a", "e1") + ended(3, "a", Broken) +
			began(4, "a", "e2") + ended(5, "a", Done) + answered(6, "a", Done)},
		{"keyed again too late", 2, accepted(1, "a", "update", "") + began(2, "a", "e1") + ended(3, "a", Broken) +
			began(1003, "a", "e1") + ended(1005, "a", Done) + answered(1006, "a", Done)},
		{"keyed by all, throttled in its window", 0, accepted(1, "a", "mark", "") + began(2, "a", "e1") +
			ended(3, "a", Broken) + answered(900, "a", Throttled)},
		{"keyed by all, throttled past it", 2, accepted(1, "a", "mark", "") + began(2, "a", "e1") + ended(3, "a", Broken) +
			answered(1100, "a", Throttled)},
		{"keyed by a group, throttled", 2, accepted(1, "a", "update", "") + began(2, "a", "e1") + ended(3, "a", Broken) +
			answered(5, "a", Throttled)},
		{"draining within the grace", 0,
			`{"t":5,"what":"listed","engine":"e1","state":"draining","zone":"east","started":1,"cores":2}` + "\n" +
				served(54, "a", "lookup", "e1")},
		{"draining past the grace", 3,
			`{"t":5,"what":"listed","engine":"e1","state":"draining","zone":"east","started":1,"cores":2}` + "\n" +
				served(55, "a", "lookup", "e1")},
		{"draining, then gone, from the first", 3, `{"t":5,"what":"listed","engine":"e2","state":"draining"}` + "\n" +
			`{"t":50,"what":"listed","engine":"e2","state":"gone"}` + "\n" + served(60, "a", "lookup", "e2")},
		{"overloaded by two controllers", 4, served(1, "a", "lookup", "e1") + served(11, "b", "lookup", "e1") +
			strings.ReplaceAll(served(21, "c", "lookup", "e1"), "n1", "n2")},
		{"warming up, in two windows", 0, served(1, "a", "lookup", "e1") + served(11, "b", "lookup", "e1") +
			served(1013, "c", "lookup", "e1")},
		{"warmed up", 0, served(10001, "a", "lookup", "e1") + served(10011, "b", "lookup", "e1") +
			served(10021, "c", "lookup", "e1")},
		{"out of order", 5, accepted(1, "a", "import", "k") + accepted(2, "b", "import", "k") + began(3, "b", "e1") +
			ended(4, "b", Done) + answered(5, "b", Done) + answered(6, "a", Throttled)},
		{"order of two keys", 0, accepted(1, "a", "import", "k") + accepted(2, "b", "import", "l") + began(3, "b", "e1") +
			ended(4, "b", Done) + answered(5, "b", Done) + answered(6, "a", Throttled)},
		{"the next while the first still runs", 5, accepted(1, "a", "import", "k") + accepted(2, "b", "import", "k") +
			began(3, "a", "e1") + answered(4, "a", Cancelled) + began(5, "b", "e1") + ended(6, "a", Broken) +
			ended(7, "b", Done) + answered(8, "b", Done)},
		{"key pause missed", 5, accepted(1, "a", "import", "k") + accepted(2, "b", "import", "k") + began(3, "a", "e1") +
			ended(4, "a", Broken) + answered(5, "a", Cancelled) + began(103, "b", "e1") + ended(104, "b", Done) +
			answered(105, "b", Done)},
		{"key pause kept", 0, accepted(1, "a", "import", "k") + accepted(2, "b", "import", "k") + began(3, "a", "e1") +
			ended(4, "a", Broken) + answered(5, "a", Cancelled) + began(104, "b", "e1") + ended(105, "b", Done) +
			answered(106, "b", Done)},
		{"zone", 6, served(1, "a", "import", "e2")},
		{"kind", 6, served(1, "a", "report", "e1")},
		{"budget", 7, accepted(1, "a", "lookup", "") + began(2, "a", "e2") + ended(3, "a", Broken) + began(4, "a", "e2") +
			ended(5, "a", Broken) + began(6, "a", "e2") + ended(7, "a", Done) + answered(8, "a", Done)},
		{"budget with time between", 0, accepted(1, "a", "lookup", "") + began(2, "a", "e2") + ended(3, "a", Broken) +
			began(4, "a", "e2") + ended(5, "a", Broken) + began(1004, "a", "e2") + ended(1005, "a", Done) +
			answered(1006, "a", Done)},
	} {
		log, err := Read(strings.NewReader(engineLog + c.log))
		if err != nil {
			t.Fatal(err)
		}
		found := Check(rules, Merge(log))
		for _, violation := range found {
			fmt.Fprintf(&texts, "%s: %s\n", c.name, violation)
		}
		if c.rule == 0 && len(found) > 0 || c.rule > 0 && (len(found) != 1 || found[0].Rule != c.rule) {
			t.Errorf("%s: rule %d, found %v", c.name, c.rule, found)
		}
	}
	golden.Check(t, "violations.golden", []byte(texts.String()))
}

func TestAnAnswerAfterTheClientLeftIsCheckedInFull(t *testing.T) {
	for name, c := range map[string]struct {
		log  string
		want []string
	}{
		"done, and nothing began it": {
			accepted(1, "a", "lookup", "") + logLine(4, ClientLeft, "a", "") + answered(5, "a", Done),
			[]string{"answer after the client disconnected", "done, but no engine began it"},
		},
		"run-once, throttled after it ran": {
			accepted(1, "a", "import", "") + began(2, "a", "e1") + ended(3, "a", Broken) + logLine(4, ClientLeft, "a", "") +
				answered(5, "a", Throttled),
			[]string{"answer after the client disconnected", "throttled though it may have run"},
		},
		"answered twice": {
			accepted(1, "a", "lookup", "") + logLine(4, ClientLeft, "a", "") + answered(5, "a", Throttled) +
				answered(6, "a", Throttled),
			[]string{"answer after the client disconnected", "second final answer: throttled after throttled"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			log, err := Read(strings.NewReader(engineLog + c.log))
			if err != nil {
				t.Fatal(err)
			}
			found := Check(rules, Merge(log))
			if len(found) != len(c.want) {
				t.Fatalf("found %v, want %q", found, c.want)
			}
			for i, violation := range found {
				if !strings.HasSuffix(violation.String(), c.want[i]) {
					t.Errorf("%s, want %q", violation, c.want[i])
				}
			}
		})
	}
}

func TestLogsOfOneMomentAreMergedWithoutBlame(t *testing.T) {
	a, _ := Read(strings.NewReader(engineLog + accepted(1, "a", "import", "k") + accepted(1, "b", "import", "k") +
		answered(5, "a", Done) + answered(9, "b", Done)))
	b, _ := Read(strings.NewReader(began(2, "a", "e1") + ended(5, "a", Done) + began(5, "b", "e1") + ended(6, "b", Done)))
	if found := Check(rules, Merge(b, a)); len(found) > 0 {
		t.Error(found)
	}
	if _, err := Read(strings.NewReader("{}\nx\n")); err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Error(err)
	}
}

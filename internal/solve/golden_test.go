package solve_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"swiftreel/internal/golden"
	"swiftreel/internal/solve"
	"swiftreel/internal/solve/draw"
)

// TestAnswersAreThoseRecorded compares the answers to random problems, by the digest of their JSON text, with those
// recorded in testdata/answers.txt.
func TestAnswersAreThoseRecorded(t *testing.T) {
	var text bytes.Buffer
	r := rand.New(rand.NewPCG(29, 4))
	for n := range 60 {
		problem := draw.Small(r)
		problemText, err := json.Marshal(problem)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "problem %d: %x\n", n, sha256.Sum256(problemText))
		for _, method := range []solve.Method{solve.Solver{}, solve.Proportional{}} {
			a := solve.Solve(problem, solve.Options{Method: method, Explain: true})
			answer, err := json.MarshalIndent(a, "", " ")
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(
				&text,
				"  %s: %s, value %d, cost %d, evenness %d, %d steps, %d binding, %d conflicts: %x\n",
				a.Method,
				a.Status,
				a.Value,
				a.Cost,
				a.MaxUtilization,
				len(a.Steps),
				len(a.Binding),
				len(a.Conflicts),
				sha256.Sum256(answer),
			)
		}
	}
	golden.Check(t, "answers.txt", text.Bytes())
}

// TestJSONOfProblemAndAnswer compares a problem and two answers, as JSON, with golden files.
func TestJSONOfProblemAndAnswer(t *testing.T) {
	problem := baseProblem()
	quota, budget := int64(3), int64(9000)
	problem.Tenants[0].QuotaThreads = &quota
	problem.Zones[1].CrossingBytesPerS = &budget
	text, err := json.MarshalIndent(problem, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "problem.json", text)
	if text, err = json.MarshalIndent(solve.Solve(problem, solve.Options{Explain: true}), "", " "); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "answer.json", text)
	problem.Constraints.MinServed = []solve.MinServed{{Type: "import", PerMille: 500}}
	problem.Engines[1].Kind = "std"
	if text, err = json.MarshalIndent(solve.Solve(problem, solve.Options{}), "", " "); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "answer-conflict.json", text)
}

package assignment

import (
	"bytes"
	"strings"
	"testing"
)

const valid = `{"format":2,"reign":1,"count":1,"owner":"a","member":"c1","life":"x",` +
	`"part":{"fleet":5,"quota of acme":7},"part_until_boot_ns":9}`

func TestReadRejectsFaultyAssignmentsAndNamesThePath(t *testing.T) {
	if _, err := Read(strings.NewReader(valid)); err != nil {
		t.Fatal(err)
	}
	for _, replace := range [][2]string{
		{`"format":2`, `"format":1`},
		{`"reign":1`, `"reign":0`},
		{`"count":1`, `"count":-1`},
		{`"life":"x"`, `"life":""`},
		{`"fleet":5`, `"fleet":1000001`},
		{`"fleet":5`, `"fleets":5`},
		{`"fleet":5`, `"fleet":0`},
		{`"life":"x"`, `"life":"x","hurry":1`},
		{`"life":"x"`, `"life":"x","plan":"p","plan_text":{}`},
		{`}`, ``},
	} {
		t.Run(replace[1], func(t *testing.T) {
			_, err := Read(strings.NewReader(strings.Replace(valid, replace[0], replace[1], 1)))
			if err == nil || !strings.HasPrefix(err.Error(), "/") {
				t.Errorf("%s: %v", replace[1], err)
			}
		})
	}
}

func FuzzAssignments(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"format":2`))
	f.Fuzz(func(t *testing.T, text []byte) {
		assignment, err := Read(bytes.NewReader(text))
		if err != nil {
			return
		}
		accepted, err := Accepted{}.Accept(assignment, assignment.Member, assignment.Incarnation, 0)
		if err == nil && (accepted.SharesUntil > maxExpiryAhead || accepted.PlanUntil > maxExpiryAhead) {
			t.Errorf("%+v", accepted)
		}
	})
}

package main

import (
	"bytes"
	"fmt"
	"os/exec"
	"strings"
	"time"
)

// plainFor is how long the load without an owner is played.
const plainFor = 15 * time.Second

// problem is what the towns are planned from.
const problem = `{"engines":[{"name":"e1","kind":"std","zone":"east","cores":16,"memory_mb":32000},{"name":"e2","kind":"std","zone":"east","cores":16,"memory_mb":32000},
{"name":"e3","kind":"std","zone":"east","cores":16,"memory_mb":32000}],"types":[{"name":"lookup","threads":1,"memory_mb":96,"work_ms":50,"value":1},{"name":"import","threads":1,"memory_mb":500,"work_ms":900,"value":10}],
"tenants":[{"name":"acme"}],"zones":[{"name":"east"},{"name":"west"}],"must":{},"demand":[{"type":"lookup","tenant":"acme","zone":"east","jobs_per_1000s":1}]}`

// virtual plays the tests of the agreement at full size, beside the processes: 1,000 worlds, 200 owners lost in each way, an
// hour without trouble, and the walk of all that can come of two owners.
func virtual() error {
	c := exec.Command("go", "test", "-count=1", "-v", "-run", "TestTimesWithoutAnOwner|TestOneOwnerAtATime", "./internal/owner", "-args", "-runs", "200", "-hours", "1", "-worlds", "1000")
	text, err := c.CombinedOutput()
	if err == nil {
		var more []byte
		more, err = exec.Command("go", "test", "-count=1", "-v", "-run", "TestAllThatCan|TestNeverMore", "./internal/handout", "./internal/parts").CombinedOutput()
		text = append(text, more...)
	}
	fmt.Println("in virtual time:")
	for line := range strings.Lines(string(text)) {
		if _, figures, is := strings.Cut(line, "_test.go:"); is {
			_, figures, _ = strings.Cut(figures, ": ")
			fmt.Print("  ", figures)
		}
	}
	if err != nil {
		return fmt.Errorf("%w: %s", err, bytes.TrimSpace(text))
	}
	return nil
}

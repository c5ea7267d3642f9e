package main

import (
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
)

// badBuilds lists the programs with a fault, by the fault's name in package failpoint.
var badBuilds = []struct {
	name        string
	description string
}{
	{"fails", "fails 3% of imports"},
	{"slow", "30% slower"},
	{"dies", "dies after 3 s"},
	{"leaks", "leaks 20 MB a second"},
	{"floods", "20 more probes with each"},
	{"turns", "turns imports away"},
	{"late", "fails 10% of imports, after 5 s"},
	{"kind", "fails 20% of one engine's imports"},
}

const (
	supervisorProgram = "swiftreel-fleet"
	versionVariable   = "swiftreel/internal/version.Name="
	failpointVariable = "swiftreel/internal/failpoint.name="
)

// build describes a program to build.
type build struct {
	path      string // relative to the build directory
	version   string // empty: the version in the source
	failpoint string // empty: no faults
}

// buildPrograms builds the base program, the next version and one program for each fault, and returns their paths by
// name.
func buildPrograms(dir string) (map[string]string, error) {
	builds := map[string]build{
		supervisorProgram: {path: supervisorProgram},
		"base":            {path: "base", version: "1"},
		"next":            {path: "next", version: "2"},
	}
	for _, b := range badBuilds {
		builds[b.name] = build{path: b.name, version: "bad-" + b.name, failpoint: b.name}
	}
	programs := map[string]string{}
	// Steered programs are in a separate directory, because a supervisor runs the controller in its own directory.
	for _, name := range []string{"steered", "later", supervisorProgram} {
		path := filepath.Join("apart", name)
		builds[path] = build{path: path, version: name, failpoint: "steered"}
		programs[name] = filepath.Join(dir, path)
	}
	errs := make(chan error, len(builds))
	var wait sync.WaitGroup
	for name, b := range builds {
		programs[name] = filepath.Join(dir, b.path)
		wait.Go(func() { errs <- b.run(dir) })
	}
	wait.Wait()
	close(errs)
	var failed error
	for err := range errs {
		failed = errors.Join(failed, err)
	}
	return programs, failed
}

// run builds the program below dir.
func (b build) run(dir string) error {
	source := "./cmd/swiftreel"
	if strings.HasSuffix(b.path, supervisorProgram) {
		source = "./cmd/swiftreel-fleet"
	}
	arguments := []string{"build", "-o", filepath.Join(dir, b.path)}
	var variables []string
	if b.version != "" {
		variables = append(variables, "-X "+versionVariable+b.version)
	}
	if b.failpoint != "" {
		arguments = append(arguments, "-tags", "fault")
		variables = append(variables, "-X "+failpointVariable+b.failpoint)
	}
	if len(variables) > 0 {
		arguments = append(arguments, "-ldflags", strings.Join(variables, " "))
	}
	output, err := exec.Command("go", append(arguments, source)...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("build of %s: %w: %s", b.path, err, output)
	}
	return nil
}

package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// build is a directory with the binaries of one of the two versions.
type build struct {
	version string // as reported by its processes
	dir     string
}

func (b build) program() string { return filepath.Join(b.dir, "swiftreel") }

// viewer returns the path of the program that renders a rollout. Its name differs between versions.
func (b build) viewer() (string, error) {
	for _, name := range []string{"fleetview", "rollout-view"} {
		path := filepath.Join(b.dir, name)
		if _, err := os.Stat(path); err == nil {
			return path, nil
		}
	}
	return "", fmt.Errorf("%s: no rollout viewer found", b.dir)
}

// buildBoth builds the given commit, from a temporary worktree under dir, and the current tree.
func buildBoth(commit, dir string) (base, current build, err error) {
	base = build{version: "base", dir: filepath.Join(dir, "base")}
	current = build{version: "current", dir: filepath.Join(dir, "current")}
	tree := filepath.Join(dir, "tree")
	if err := run(".", "git", "worktree", "add", "--detach", tree, commit); err != nil {
		return base, current, err
	}
	defer func() {
		if removeErr := run(".", "git", "worktree", "remove", "--force", tree); err == nil {
			err = removeErr
		}
	}()
	var building sync.WaitGroup
	var baseErr error
	building.Go(func() { baseErr = base.make(tree) })
	err = current.make(".")
	building.Wait()
	if err == nil {
		err = baseErr
	}
	return base, current, err
}

// make builds all commands of a source tree and sets their version name.
func (b build) make(tree string) error {
	if err := os.MkdirAll(b.dir, 0o700); err != nil {
		return err
	}
	name := "-X swiftreel/internal/version.Name=" + b.version
	return run(tree, "go", "build", "-ldflags", name, "-o", b.dir, "./cmd/...")
}

// run runs a command in a directory. The error of a failed command includes its output.
func run(dir, name string, args ...string) error {
	c := exec.Command(name, args...)
	c.Dir = dir
	if text, err := c.CombinedOutput(); err != nil {
		return fmt.Errorf("%s %v: %w: %s", name, args, err, text)
	}
	return nil
}

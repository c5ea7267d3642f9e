// Package version identifies the build of a program.
package version

import (
	"os"
	"runtime"
	"runtime/debug"

	"swiftreel/internal/change"
)

// Name is the version's name. A build sets it by -ldflags "-X swiftreel/internal/version.Name=...".
var Name = "dev"

// Build is what a program knows of itself.
type Build struct {
	Version   string        `json:"version"`
	Commit    string        `json:"commit"` // empty if the build does not know it
	Dirty     bool          `json:"dirty"`  // built from a changed working tree
	GoVersion string        `json:"go"`
	Digest    change.Digest `json:"digest"`  // of the program's file
	Formats   []int         `json:"formats"` // of orders and reports that it reads
	Schemas   []string      `json:"schemas"` // of files that it reads
}

// Current returns the build of this process. It fails if the program's file cannot be read.
func Current() (Build, error) {
	path, err := os.Executable()
	if err != nil {
		return Build{}, err
	}
	digest, err := change.FileDigest(path)
	if err != nil {
		return Build{}, err
	}
	build := Build{
		Version:   Name,
		GoVersion: runtime.Version(),
		Digest:    digest,
		Formats:   change.Formats(),
		Schemas:   []string{"change", "operator", "plan", "problem"},
	}
	build.Commit, build.Dirty = revision()
	return build, nil
}

// revision returns what the build recorded of its source.
func revision() (commit string, dirty bool) {
	info, recorded := debug.ReadBuildInfo()
	if !recorded {
		return "", false
	}
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			commit = setting.Value
		case "vcs.modified":
			dirty = setting.Value == "true"
		}
	}
	return commit, dirty
}

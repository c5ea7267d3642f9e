// Package version identifies the build of the program.
package version

import (
	"os"
	"runtime"
	"runtime/debug"

	"swiftreel/internal/change"
)

// Name is the version. A build sets it with -ldflags "-X swiftreel/internal/version.Name=...".
var Name = "dev"

// Build describes a build of the program.
type Build struct {
	Version   string        `json:"version"`
	Commit    string        `json:"commit"` // empty if unknown
	Dirty     bool          `json:"dirty"`  // built from a modified working tree
	GoVersion string        `json:"go"`
	Digest    change.Digest `json:"digest"`  // of the executable
	Formats   []int         `json:"formats"` // supported formats of orders and reports
	Schemas   []string      `json:"schemas"` // kinds of files that it reads
}

// Current describes the build of this process. It fails if the executable cannot be read.
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

// revision returns the source revision that the Go toolchain recorded in the executable.
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

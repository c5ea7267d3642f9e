// Package version tells builds apart.
package version

import (
	"os"
	"runtime"
	"runtime/debug"

	"swiftreel/internal/change"
)

// Name is the version's name; a build sets it by -ldflags "-X swiftreel/internal/version.Name=...".
var Name = "dev"

// Build is all that a program tells of itself.
type Build struct {
	Version string        `json:"version"`
	Commit  string        `json:"commit"`
	Dirty   bool          `json:"dirty"`
	Go      string        `json:"go"`
	Digest  change.Digest `json:"digest"`  // of the program's file
	Formats []int         `json:"formats"` // of orders and reports that it reads
	Schemas []string      `json:"schemas"` // of files that it reads
}

// Current this program.
func Current() (b Build, err error) {
	b = Build{Version: Name, Go: runtime.Version(), Formats: change.Formats(), Schemas: []string{"change", "operator", "plan", "problem"}}
	if info, is := debug.ReadBuildInfo(); is {
		for _, s := range info.Settings {
			switch s.Key {
			case "vcs.revision":
				b.Commit = s.Value
			case "vcs.modified":
				b.Dirty = s.Value == "true"
			}
		}
	}
	path, err := os.Executable()
	if err == nil {
		b.Digest, err = change.OfFile(path)
	}
	return b, err
}

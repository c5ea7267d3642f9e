// Package failpoint makes a program misbehave on purpose, for tests of rollouts and recovery.
//
// It does so only in builds with the tag fault. The fault is chosen by -ldflags "-X
// swiftreel/internal/failpoint.name=...", see name; a program with the name steered takes its faults from environment
// variables and files, also while it runs. In all other builds BeforeWrite and WallClock do nothing special, and the
// rest of the package does not exist.
package failpoint

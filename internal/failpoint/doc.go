// Package failpoint injects faults into a program, for tests of rollouts and recovery.
//
// Faults exist only in builds with the tag fault. The fault is selected with -ldflags "-X
// swiftreel/internal/failpoint.name=...", see name. With the name steered, the program reads its faults from
// environment variables and files, which may change while it runs. In all other builds BeforeWrite and WallClock inject
// nothing, and the rest of the package is not compiled.
package failpoint

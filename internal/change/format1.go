//go:build format1

package change

// Format is the format version of the previous release, for tests that run both releases side by side.
const Format = 1

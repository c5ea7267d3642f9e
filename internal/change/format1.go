//go:build format1

package change

// Format of the program as it was one version before, for tests of old beside new.
const Format = 1

//go:build format1

package change

// Format is the version that this program wrote one release earlier, for tests of both releases side by side.
const Format = 1

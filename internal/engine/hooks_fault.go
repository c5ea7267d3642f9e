//go:build fault

package engine

import "swiftreel/internal/failpoint"

func init() {
	testHooks.dialError = func() error { return failpoint.SyscallError("dial") }
}

//go:build fault

package main

import "swiftreel/internal/failpoint"

func init() {
	testHooks.beforeListen = failpoint.DelayStart
	testHooks.afterStart = failpoint.StartFaults
	testHooks.ignoreSnapshot = failpoint.IgnoreSnapshot
}

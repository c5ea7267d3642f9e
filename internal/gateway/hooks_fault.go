//go:build fault

package gateway

import "swiftreel/internal/failpoint"

func init() {
	testHooks.rejectJob = failpoint.RejectJob
	testHooks.extraProbes = failpoint.ExtraProbes
	testHooks.delayAnswer = failpoint.AnswerDelay
	testHooks.dropAnswer = failpoint.DropAnswer
}

package recovery

import "testing"

func TestStateOfAJobAfterItsRecords(t *testing.T) {
	const call = CallID("c1")
	var (
		isDispatched = dispatched(call, 1)
		hasRun       = ended(call, OutcomeRan, "")
		neverRan     = ended(call, OutcomeNeverRan, "")
		isUnknown    = ended(call, OutcomeUnknown, "")
		isDone       = answered(call, AnswerDone)
		isCancelled  = answered(call, AnswerCancelled)
	)
	for name, c := range map[string]struct {
		records []event
		want    jobState
	}{
		"accepted":                          {nil, statePending},
		"dispatched":                        {[]event{isDispatched}, stateDispatched},
		"an attempt never ran":              {[]event{isDispatched, neverRan}, statePending},
		"an attempt may have run":           {[]event{isDispatched, isUnknown}, statePending},
		"dispatched again":                  {[]event{isDispatched, isUnknown, isDispatched}, stateDispatched},
		"an attempt ran":                    {[]event{isDispatched, hasRun}, stateRan},
		"answered after it ran":             {[]event{isDispatched, hasRun, isDone}, stateAnswered},
		"cancelled while pending":           {[]event{isCancelled}, stateAnswered},
		"cancelled while dispatched":        {[]event{isDispatched, isCancelled}, stateAnswered},
		"an attempt ends after the cancel":  {[]event{isDispatched, isCancelled, neverRan}, stateAnswered},
		"an attempt ran although cancelled": {[]event{isDispatched, isCancelled, hasRun}, stateAnswered},
	} {
		t.Run(name, func(t *testing.T) {
			ledger := NewLedger(1)
			mustApply(t, ledger, KindAccepted, accepted(call, "", EffectRunOnce).body)
			for _, record := range c.records {
				mustApply(t, ledger, record.kind, record.body)
			}
			if got := ledger.jobs[call].state(); got != c.want {
				t.Errorf("%v, not %v", got, c.want)
			}
		})
	}
}

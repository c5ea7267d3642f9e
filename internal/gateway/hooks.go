package gateway

import "time"

// testHooks lets builds with the tag fault make a gateway misbehave (see hooks_fault.go). In all other builds every
// hook is nil.
var testHooks struct {
	rejectJob   func(jobType string) bool                           // turn this job away
	extraProbes func() int                                          // how many probes to send besides one that is due
	delayAnswer func(sinceArrival time.Duration) time.Duration      // how long to hold a result back
	loseAnswer  func(jobType string, engineName func() string) bool // answer that the job failed though it is done
}

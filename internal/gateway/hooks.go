package gateway

import "time"

// testHooks inject faults into the gateway in builds with the fault tag (see hooks_fault.go). In all other builds every
// hook is nil.
var testHooks struct {
	rejectJob   func(jobType string) bool                           // whether to reject this job
	extraProbes func() int                                          // number of probes to send in addition to a due one
	delayAnswer func(sinceArrival time.Duration) time.Duration      // how long to delay the delivery of a result
	dropAnswer  func(jobType string, engineName func() string) bool // whether to answer that a completed job failed
}

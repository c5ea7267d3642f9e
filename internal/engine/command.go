package engine

import (
	"math"
	"strconv"

	"swiftreel/internal/backend"
)

// Commands.
const (
	commandFetch  = "fetch"  // run a statement
	commandMore   = "more"   // request a page
	commandDone   = "done"   // all pages were received
	commandAbort  = "abort"  // cancel a dispatch
	commandRenice = "renice" // change the priority
	commandAlive  = "alive"  // health check
	commandStats  = "stats"  // health check with a load report
)

// appendFetch appends the fetch command of a request that the engine may take timeoutMS for.
func appendFetch(b []byte, r *backend.Request, timeoutMS int64) []byte {
	b = append(b, commandFetch...)
	b = append(b, ' ')
	b = append(b, r.ID...)
	b = append(b, " c="...)
	b = append(b, r.Type...)
	b = append(b, ",w="...)
	b = strconv.AppendInt(b, timeoutMS, 10)
	if r.GrantMB > 0 {
		b = append(b, ",allot="...)
		b = strconv.AppendInt(b, int64(math.Ceil(r.GrantMB)), 10)
	}
	b = append(b, ",urgency="...)
	b = strconv.AppendInt(b, int64(r.Priority), 10)
	if len(r.IdempotencyKey) > 0 {
		b = append(b, ",i="...)
		b = append(b, r.IdempotencyKey...)
	}
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(len(r.Statement)), 10)
	b = append(b, lineEnd...)
	b = append(b, r.Statement...)
	return append(b, lineEnd...)
}

// appendCommand appends a command that has only an id.
func appendCommand(b []byte, command, id string) []byte {
	b = append(b, command...)
	b = append(b, ' ')
	b = append(b, id...)
	return append(b, lineEnd...)
}

// appendNumberCommand appends a command that has an id and a number.
func appendNumberCommand(b []byte, command, id string, number int) []byte {
	b = append(b, command...)
	b = append(b, ' ')
	b = append(b, id...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(number), 10)
	return append(b, lineEnd...)
}

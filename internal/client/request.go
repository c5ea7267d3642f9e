package client

import (
	"errors"
	"slices"
	"strconv"
	"time"
)

// Fields of a request. Unknown fields are ignored.
const (
	fieldJobID       = "call" // id of the job
	fieldTimeout     = "ttl"  // milliseconds
	fieldTenant      = "org"
	fieldRetry       = "rep"    // "1" if the client retries the call
	fieldWork        = "work"   // estimate, milliseconds
	fieldMemory      = "est_mb" // estimate, MB
	fieldKey         = "row"    // ordering key
	fieldIdempotency = "dedupe" // idempotency key
)

var requestFields = [...]string{
	fieldJobID, fieldTimeout, fieldTenant, fieldRetry, fieldWork, fieldMemory, fieldKey, fieldIdempotency,
}

const (
	jobIDDigits       = 16
	maxIdempotencyKey = 128 // bytes
	maxEstimate       = 1e9 // ms of work, MB of memory
)

// request is the content of a call. Its slices refer to the read buffer.
type request struct {
	jobID          []byte
	tenant         []byte
	key            []byte // ordering key
	statement      []byte
	idempotencyKey []byte // nil if absent
	timeout        time.Duration
	isRetry        bool
	work           time.Duration // 0 if there is no estimate
	memoryMB       float64       // 0 if there is no estimate
}

// parseRequest parses the fields and the statement of a call. Error texts are sent to the client: they are part of the
// protocol.
func parseRequest(received message) (request, error) {
	var r request
	c := received.params
	fields, _ := c.next()
	if received.paramCount != 2 || fields.kind != kindMap {
		return r, errors.New("params are not fields and a body")
	}
	var seen fieldSet
	for range fields.number {
		name, isNamed := c.text()
		value, isText := c.text()
		if !isNamed {
			return r, errors.New("a field's name is no string")
		}
		index := slices.Index(requestFields[:], string(name))
		if index < 0 {
			continue
		}
		if !seen.add(index) {
			return r, errors.New("field " + requestFields[index] + " came twice")
		}
		if !r.set(requestFields[index], value) || !isText {
			return r, errors.New("field " + string(name) + " cannot be read")
		}
	}
	statement, isText := c.text()
	if !isText {
		return r, errors.New("the body is no bin")
	}
	r.statement = statement
	if r.jobID == nil || r.timeout == 0 {
		return r, errors.New("call or ttl is missing")
	}
	return r, nil
}

// fieldSet is a set of indexes into requestFields.
type fieldSet uint

// add adds a field and reports whether it was not yet in the set.
func (s *fieldSet) add(index int) bool {
	bit := fieldSet(1) << index
	isNew := *s&bit == 0
	*s |= bit
	return isNew
}

// set stores a field's value and reports whether it is valid.
func (r *request) set(name string, value []byte) bool {
	switch name {
	case fieldJobID:
		r.jobID = value
		return isJobID(value)
	case fieldTimeout:
		milliseconds, err := strconv.ParseUint(string(value), 10, 32)
		r.timeout = time.Duration(milliseconds) * time.Millisecond
		return err == nil
	case fieldTenant:
		r.tenant = value
	case fieldRetry:
		r.isRetry = string(value) == "1"
	case fieldWork:
		milliseconds, ok := parseEstimate(value)
		r.work = time.Duration(milliseconds * float64(time.Millisecond))
		return ok
	case fieldMemory:
		megabytes, ok := parseEstimate(value)
		r.memoryMB = megabytes
		return ok
	case fieldKey:
		r.key = value
	case fieldIdempotency:
		r.idempotencyKey = value
		return isEngineToken(value)
	}
	return true
}

// parseEstimate parses a number in [0, maxEstimate).
func parseEstimate(value []byte) (float64, bool) {
	number, err := strconv.ParseFloat(string(value), 64)
	isInRange := number >= 0 && number < maxEstimate // false for NaN
	if err != nil || !isInRange {
		return 0, false
	}
	return number, true
}

// isJobID reports whether an id consists of 16 hex digits, so that it can be part of a line sent to an engine.
func isJobID(id []byte) bool {
	for _, d := range id {
		isHex := d >= '0' && d <= '9' || d >= 'a' && d <= 'f' || d >= 'A' && d <= 'F'
		if !isHex {
			return false
		}
	}
	return len(id) == jobIDDigits
}

// isEngineToken reports whether a value can be used unescaped in the fields of a line sent to an engine.
func isEngineToken(value []byte) bool {
	for _, b := range value {
		if b <= ' ' || b >= 0x7f || b == ',' || b == '=' {
			return false
		}
	}
	return len(value) > 0 && len(value) <= maxIdempotencyKey
}

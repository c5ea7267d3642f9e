package client

import (
	"errors"
	"slices"
	"strconv"
	"time"
)

// Fields of a request. Others are ignored.
const (
	fieldCall        = "call"   // the job's id
	fieldTimeout     = "ttl"    // milliseconds
	fieldTenant      = "org"    //
	fieldRepeat      = "rep"    // "1": the client's retry
	fieldWork        = "work"   // estimate, milliseconds
	fieldMemory      = "est_mb" // estimate, MB
	fieldKey         = "row"    // ordering key
	fieldIdempotency = "dedupe" // idempotency key
)

var requestFields = [...]string{
	fieldCall, fieldTimeout, fieldTenant, fieldRepeat, fieldWork, fieldMemory, fieldKey, fieldIdempotency,
}

const (
	callIDDigits      = 16
	maxIdempotencyKey = 128 // bytes
	maxEstimate       = 1e9 // ms of work, MB of memory
)

// request is what a call asks for, in slices of the buffer that it was read into.
type request struct {
	callID         []byte
	tenant         []byte
	key            []byte // ordering key
	statement      []byte
	idempotencyKey []byte // nil: none
	timeout        time.Duration
	isRepeat       bool
	work           time.Duration // 0: no estimate
	memoryMB       float64       // 0: no estimate
}

// parseRequest parses the fields and statement of a call. The text of an error goes to the client: it is part of the
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
	if r.callID == nil || r.timeout == 0 {
		return r, errors.New("call or ttl is missing")
	}
	return r, nil
}

// fieldSet is a set of indexes of requestFields.
type fieldSet uint

// add reports whether a field was not in the set before.
func (s *fieldSet) add(index int) bool {
	bit := fieldSet(1) << index
	isNew := *s&bit == 0
	*s |= bit
	return isNew
}

// set sets a field and reports whether its value is valid.
func (r *request) set(name string, value []byte) bool {
	switch name {
	case fieldCall:
		r.callID = value
		return isCallID(value)
	case fieldTimeout:
		milliseconds, err := strconv.ParseUint(string(value), 10, 32)
		r.timeout = time.Duration(milliseconds) * time.Millisecond
		return err == nil
	case fieldTenant:
		r.tenant = value
	case fieldRepeat:
		r.isRepeat = string(value) == "1"
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

// parseEstimate parses a number from 0 to below maxEstimate.
func parseEstimate(value []byte) (float64, bool) {
	number, err := strconv.ParseFloat(string(value), 64)
	isInRange := number >= 0 && number < maxEstimate // false for NaN
	if err != nil || !isInRange {
		return 0, false
	}
	return number, true
}

// isCallID reports whether an id is 16 hex digits, so that it can stand in an engine's line.
func isCallID(id []byte) bool {
	for _, d := range id {
		isHex := d >= '0' && d <= '9' || d >= 'a' && d <= 'f' || d >= 'A' && d <= 'F'
		if !isHex {
			return false
		}
	}
	return len(id) == callIDDigits
}

// isEngineToken reports whether a value can stand in the fields of an engine's line as it is.
func isEngineToken(value []byte) bool {
	for _, b := range value {
		if b <= ' ' || b >= 0x7f || b == ',' || b == '=' {
			return false
		}
	}
	return len(value) > 0 && len(value) <= maxIdempotencyKey
}

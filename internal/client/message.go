package client

import (
	"errors"
	"math"
)

// Method, error and field names of the protocol.
const (
	methodHeartbeat = "heartbeat"
	methodRevoke    = "revoke"
	errorThrottled  = "Overloaded" // the call may safely be retried
	errorFailed     = "Internal"   // the job may have run, or can never run
	fieldReason     = "reason"
	fieldRetryAfter = "pushback" // milliseconds
)

// Message types, and the lengths of their arrays.
const (
	typeRequest      = 0
	typeAnswer       = 1
	typeNotification = 2

	requestLength      = 4
	answerLength       = 4
	notificationLength = 3
)

// errNotRPC is the error of a message that does not follow MessagePack-RPC. Its text is part of the protocol.
var errNotRPC = errors.New("not a message of MessagePack-RPC")

// message is a request or a notification. Its slices refer to the read buffer.
type message struct {
	isNotification bool
	id             uint32 // zero for a notification
	method         []byte
	params         cursor
	paramCount     uint64
}

// parseMessage parses a complete message. An error means that the peer uses another protocol.
func parseMessage(b []byte) (message, error) {
	var m message
	c := cursor{b}
	array, _ := c.next()
	messageType, _ := c.next()
	if array.kind != kindArray || messageType.kind != kindInt {
		return m, errNotRPC
	}
	switch {
	case messageType.number == typeRequest && array.number == requestLength:
		id, _ := c.next()
		if id.kind != kindInt || id.number > math.MaxUint32 {
			return m, errNotRPC
		}
		m.id = uint32(id.number)
	case messageType.number == typeNotification && array.number == notificationLength:
		m.isNotification = true
	default:
		return m, errNotRPC
	}
	method, isText := c.text()
	params, _ := c.next()
	if !isText || params.kind != kindArray {
		return m, errNotRPC
	}
	m.method = method
	m.params = c
	m.paramCount = params.number
	return m, nil
}

// requestID returns the id of a request, even if the rest of the request is incomplete or malformed, and whether the id
// could be decoded.
func requestID(b []byte) (uint32, bool) {
	c := cursor{b}
	array, _ := c.next()
	messageType, _ := c.next()
	id, _ := c.next()
	isRequest := array.kind == kindArray && array.number == requestLength &&
		messageType.kind == kindInt && messageType.number == typeRequest
	return uint32(id.number), isRequest && id.kind == kindInt && id.number <= math.MaxUint32
}

// revokedID returns the id of the revoked request, and whether m is a revocation.
func (m message) revokedID() (uint32, bool) {
	if string(m.method) != methodRevoke || m.paramCount < 1 {
		return 0, false
	}
	id, _ := m.params.next()
	return uint32(id.number), id.kind == kindInt
}

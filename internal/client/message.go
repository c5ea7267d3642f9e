package client

import (
	"errors"
	"math"
)

// Names of the protocol.
const (
	methodHeartbeat = "heartbeat"
	methodRevoke    = "revoke"
	errorThrottled  = "Overloaded" // trying again is harmless
	errorFailed     = "Internal"   // the job may have run, or can never be run
	fieldReason     = "reason"
	fieldRetryAfter = "pushback" // milliseconds
)

// Types of message, and the lengths of the arrays that they are.
const (
	typeRequest      = 0
	typeAnswer       = 1
	typeNotification = 2

	requestLength      = 4
	answerLength       = 4
	notificationLength = 3
)

// errNotRPC is told to the client: its text is part of the protocol.
var errNotRPC = errors.New("not a message of MessagePack-RPC")

// message is one request or notification. Its parts are slices of the buffer that it was read into.
type message struct {
	isNotification bool
	id             uint32 // of a request
	method         []byte
	params         cursor
	paramCount     uint64
}

// parseMessage parses a complete message. An error means that the peer speaks another protocol.
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

// requestID returns the id of a request that may be incomplete or malformed behind it; false if there is none.
func requestID(b []byte) (uint32, bool) {
	c := cursor{b}
	array, _ := c.next()
	messageType, _ := c.next()
	id, _ := c.next()
	isRequest := array.kind == kindArray && array.number == requestLength &&
		messageType.kind == kindInt && messageType.number == typeRequest
	return uint32(id.number), isRequest && id.kind == kindInt && id.number <= math.MaxUint32
}

// revokedID returns the id that a revocation names.
func (m message) revokedID() (uint32, bool) {
	if string(m.method) != methodRevoke || m.paramCount < 1 {
		return 0, false
	}
	id, _ := m.params.next()
	return uint32(id.number), id.kind == kindInt
}

package client

import "errors"

var errNoBody = errors.New("answer has no body")

// Answer is an answer as decoded by a client. It is used by example clients and tests.
type Answer struct {
	ID     uint32
	Error  string // empty if the call succeeded
	Fields map[string]string
	Body   []byte // rows of the result
	Ready  bool   // of a heartbeat answer
}

// AppendCall appends an encoded request. The fields are alternating names and values.
func AppendCall(b []byte, id uint32, method string, fields []string, statement []byte) []byte {
	b = appendRequestHead(b, id, method)
	b = append(b, codeFixArray|2)
	b = appendFields(b, fields)
	b = appendBinHead(b, len(statement))
	return append(b, statement...)
}

// AppendHeartbeat appends an encoded heartbeat request, which asks whether the controller is ready.
func AppendHeartbeat(b []byte, id uint32) []byte {
	return append(appendRequestHead(b, id, methodHeartbeat), codeFixArray|1, codeFixMap)
}

// AppendRevoke appends an encoded revocation of a request.
func AppendRevoke(b []byte, id uint32) []byte {
	b = appendStr(append(b, codeFixArray|notificationLength, typeNotification), methodRevoke)
	return appendUint(append(b, codeFixArray|1), id)
}

func appendRequestHead(b []byte, id uint32, method string) []byte {
	b = appendUint(append(b, codeFixArray|requestLength, typeRequest), id)
	return appendStr(b, method)
}

func appendFields(b []byte, fields []string) []byte {
	entries := len(fields) / 2
	b = append(b, codeMap16, byte(entries>>8), byte(entries))
	for _, text := range fields {
		b = appendStr(b, text)
	}
	return b
}

// ParseAnswer decodes the first answer in b and returns its size in bytes, or ErrIncomplete if more input is needed.
func ParseAnswer(b []byte) (a Answer, size int, err error) {
	size, err = valueSize(b)
	if err != nil {
		return Answer{}, 0, err
	}
	c := cursor{b[:size]}
	array, _ := c.next()
	messageType, _ := c.next()
	id, _ := c.next()
	isArray := array.kind == kindArray && array.number == answerLength
	if !isArray || messageType.number != typeAnswer || id.kind != kindInt {
		return Answer{}, size, errNotRPC
	}
	a.ID = uint32(id.number)
	if err := a.parseOutcome(&c); err != nil {
		return a, size, err
	}
	fields, _ := c.next()
	if fields.kind != kindMap {
		return a, size, errNotRPC
	}
	a.Fields = map[string]string{}
	for range fields.number {
		name, _ := c.text()
		value, _ := c.text()
		a.Fields[string(name)] = string(value)
	}
	return a, size, nil
}

// parseOutcome parses the name of an error or the body of a result. It stops before the fields.
func (a *Answer) parseOutcome(values *cursor) error {
	afterHead := *values
	head, _ := afterHead.next()
	if head.kind == kindArray {
		name, _ := afterHead.text()
		a.Error = string(name)
		*values = afterHead
		return nil
	}
	values.skip() // the nil error
	values.next() // the array of body and fields
	bodyCode := values.remaining
	head, body := values.next()
	switch head.kind {
	case kindBin:
		a.Body = append([]byte{}, body...)
	case kindBool:
		a.Ready = bodyCode[0] == codeTrue
	default:
		return errNoBody
	}
	return nil
}

package client

import "errors"

var errNoBody = errors.New("an answer without body")

// Answer is a controller's answer, as a client reads it. It serves the example and the tests.
type Answer struct {
	ID     uint32
	Error  string // empty: done
	Fields map[string]string
	Body   []byte // the rows
	Ready  bool   // of a heartbeat
}

// AppendCall appends a request as a client writes it. The fields are names and values in turn.
func AppendCall(b []byte, id uint32, method string, fields []string, statement []byte) []byte {
	b = appendRequestHead(b, id, method)
	b = append(b, codeFixArray|2)
	b = appendFields(b, fields)
	b = appendBinHead(b, len(statement))
	return append(b, statement...)
}

// AppendHeartbeat appends the question whether the controller is ready.
func AppendHeartbeat(b []byte, id uint32) []byte {
	return append(appendRequestHead(b, id, methodHeartbeat), codeFixArray|1, codeFixMap)
}

// AppendRevoke appends the revocation of a request.
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

// ParseAnswer parses the first answer of a buffer and returns its size in bytes; ErrIncomplete if it is not complete.
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

// parseOutcome parses the name of an error, or the body of a result, up to the fields.
func (a *Answer) parseOutcome(values *cursor) error {
	afterHead := *values
	head, _ := afterHead.next()
	if head.kind == kindArray {
		name, _ := afterHead.text()
		a.Error = string(name)
		*values = afterHead
		return nil
	}
	values.skip() // no error
	values.next() // the result: a body and fields
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

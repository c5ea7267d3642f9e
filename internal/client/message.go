package client

import (
	"errors"
	"math"
	"slices"
	"strconv"
	"time"
)

// The protocol's own words.
const (
	methodReady  = "heartbeat"
	methodRevoke = "revoke"
	wordThrottle = "Overloaded"
	wordFailed   = "Internal"
	fieldWait    = "pushback"

	typeRequest, typeAnswer, typeNotification = 0, 1, 2

	mostWord = 128 // bytes of an idempotency key
)

// message is one message of MessagePack-RPC; its parts are slices of the buffer that it was read into.
type message struct {
	notice bool
	id     uint32
	method []byte
	params cursor
	count  uint64 // of params
}

var errRPC = errors.New("not a message of MessagePack-RPC")

// parseMessage reads a whole message. An error means that the peer speaks something else.
func parseMessage(b []byte) (m message, err error) {
	c := cursor{b}
	h, _ := c.next()
	sort, _ := c.next()
	if h.kind != kindArray || sort.kind != kindInt {
		return m, errRPC
	}
	switch {
	case sort.n == typeRequest && h.n == 4:
		id, _ := c.next()
		if id.kind != kindInt || id.n > math.MaxUint32 {
			return m, errRPC
		}
		m.id = uint32(id.n)
	case sort.n == typeNotification && h.n == 3:
		m.notice = true
	default:
		return m, errRPC
	}
	var named bool
	if m.method, named = c.text(); !named {
		return m, errRPC
	}
	params, _ := c.next()
	if params.kind != kindArray {
		return m, errRPC
	}
	m.count, m.params = params.n, c
	return m, nil
}

// numberOf reads the number of a call that may not be whole, or is no call in what follows.
func numberOf(b []byte) (id uint32, is bool) {
	c := cursor{b}
	h, _ := c.next()
	sort, _ := c.next()
	n, _ := c.next()
	is = h.kind == kindArray && h.n == 4 && sort.kind == kindInt && sort.n == typeRequest && n.kind == kindInt && n.n <= math.MaxUint32
	return uint32(n.n), is
}

// request is what a call asks for, in slices of the buffer.
type request struct {
	call, tenant, key, body []byte
	idempotency             []byte // a key under which engines do a thing once; nil: none
	left                    time.Duration
	repeat                  bool
	work                    time.Duration // 0: no estimate
	memoryMB                float64
}

// known are the fields that mean something here; the others are passed over.
var known = [...]string{"call", "ttl", "org", "rep", "work", "est_mb", "row", "dedupe"}

// parseRequest reads fields and body of a call; the error goes to the client.
func parseRequest(m message) (r request, err error) {
	c := m.params
	fields, _ := c.next()
	if m.count != 2 || fields.kind != kindMap {
		return r, errors.New("params are not fields and a body")
	}
	var given uint // fields known here that came, a bit each
	for range fields.n {
		name, named := c.text()
		value, is := c.text()
		if !named {
			return r, errors.New("a field's name is no string")
		}
		if i := slices.Index(known[:], string(name)); i >= 0 {
			if given&(1<<i) != 0 {
				return r, errors.New("field " + known[i] + " came twice")
			}
			given |= 1 << i
		}
		bad := !is
		switch string(name) {
		case "call":
			r.call, bad = value, bad || !isCall(value)
		case "ttl":
			n, err := strconv.ParseUint(string(value), 10, 32)
			r.left, bad = time.Duration(n)*time.Millisecond, bad || err != nil
		case "org":
			r.tenant = value
		case "rep":
			r.repeat = string(value) == "1"
		case "work":
			ms, err := strconv.ParseFloat(string(value), 64)
			if bad = bad || err != nil || !(ms >= 0 && ms < 1e9); !bad {
				r.work = time.Duration(ms * float64(time.Millisecond))
			}
		case "est_mb":
			r.memoryMB, err = strconv.ParseFloat(string(value), 64)
			bad = bad || err != nil || !(r.memoryMB >= 0 && r.memoryMB < 1e9)
		case "row":
			r.key = value
		case "dedupe":
			r.idempotency, bad = value, bad || !isWord(value)
		default:
			bad = false // not known here: whatever it is
		}
		if bad {
			return r, errors.New("field " + string(name) + " cannot be read")
		}
	}
	var is bool
	if r.body, is = c.text(); !is {
		return r, errors.New("the body is no bin")
	}
	if r.call == nil || r.left == 0 {
		return r, errors.New("call or ttl is missing")
	}
	return r, nil
}

// isCall tells whether an id is 16 hex digits, so that it can stand in an engine's line.
func isCall(id []byte) bool {
	for _, d := range id {
		if !(d >= '0' && d <= '9' || d >= 'a' && d <= 'f' || d >= 'A' && d <= 'F') {
			return false
		}
	}
	return len(id) == 16
}

// isWord tells whether a value can stand in the fields of an engine's line as it is.
func isWord(value []byte) bool {
	for _, b := range value {
		if b <= ' ' || b >= 0x7f || b == ',' || b == '=' {
			return false
		}
	}
	return len(value) > 0 && len(value) <= mostWord
}

// The answers. One with rows is a head, the rows and a tail, so that rows need no copy.

func appendDoneHead(b []byte, id uint32, rows int) []byte {
	b = appendUint(append(b, 0x94, 1), id)
	return appendBinHead(append(b, 0xc0, 0x92), rows)
}

func appendDoneTail(b []byte) []byte { return append(b, 0x80) }

func appendError(b []byte, id uint32, word, field, value string) []byte {
	b = appendStr(append(appendUint(append(b, 0x94, 1), id), 0x92), word)
	if field == "" {
		b = append(b, 0x80)
	} else {
		b = appendStr(appendStr(append(b, 0x81), field), value)
	}
	return append(b, 0xc0)
}

func appendReady(b []byte, id uint32, ready bool) []byte {
	word := byte(0xc2)
	if ready {
		word = 0xc3
	}
	return append(appendUint(append(b, 0x94, 1), id), 0xc0, 0x92, word, 0x80)
}

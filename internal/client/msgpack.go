package client

import (
	"encoding/binary"
	"errors"
)

// Limits of a message.
const (
	maxFrame = 256 << 10 // bytes
	maxDepth = 8         // of nested arrays and maps
	maxItems = 256       // values in arrays and maps; an incomplete message is scanned again each time more of it arrives
)

// ErrIncomplete is the error for a message whose end has not arrived yet.
var ErrIncomplete = errors.New("incomplete message")

// errNotMsgpack is the error of invalid or oversized MessagePack data. Its text is part of the protocol.
var errNotMsgpack = errors.New("not MessagePack within bounds")

// valueKind is the kind of a MessagePack value, regardless of its encoding.
type valueKind uint8

const (
	kindNil valueKind = iota
	kindBool
	kindInt // non-negative
	kindNegative
	kindFloat
	kindStr
	kindBin
	kindArray
	kindMap
	kindExt
)

// valueHead is the decoded start of a value: its kind and its number or length.
type valueHead struct {
	kind   valueKind
	size   int    // bytes of the head itself; an integer is all head
	number uint64 // the number, or the length in bytes, elements or entries
}

// bodySize returns the number of bytes between this head and the next one.
func (h valueHead) bodySize() uint64 {
	switch h.kind {
	case kindStr, kindBin, kindExt, kindFloat:
		return h.number
	}
	return 0
}

// valueFormat describes the encoding that a format code stands for.
type valueFormat struct {
	kind  valueKind
	width int // bytes of the number or length after the code
	fixed int // bytes of body in addition to the length: the type of an ext, or the whole body of a fixext or float
}

// firstFormatCode is the code of valueFormats[0]. Smaller codes contain a small value or length themselves.
const firstFormatCode = 0xc0

// valueFormats describes the format codes 0xc0 to 0xdf. MessagePack never uses 0xc1, which has the zero format.
var valueFormats = [32]valueFormat{
	0x00: {kindNil, 0, 0}, 0x02: {kindBool, 0, 0}, 0x03: {kindBool, 0, 0},
	0x04: {kindBin, 1, 0}, 0x05: {kindBin, 2, 0}, 0x06: {kindBin, 4, 0},
	0x07: {kindExt, 1, 1}, 0x08: {kindExt, 2, 1}, 0x09: {kindExt, 4, 1},
	0x0a: {kindFloat, 0, 4}, 0x0b: {kindFloat, 0, 8},
	0x0c: {kindInt, 1, 0}, 0x0d: {kindInt, 2, 0}, 0x0e: {kindInt, 4, 0}, 0x0f: {kindInt, 8, 0},
	0x10: {kindNegative, 1, 0}, 0x11: {kindNegative, 2, 0}, 0x12: {kindNegative, 4, 0}, 0x13: {kindNegative, 8, 0},
	0x14: {kindExt, 0, 2}, 0x15: {kindExt, 0, 3}, 0x16: {kindExt, 0, 5}, 0x17: {kindExt, 0, 9}, 0x18: {kindExt, 0, 17},
	0x19: {kindStr, 1, 0}, 0x1a: {kindStr, 2, 0}, 0x1b: {kindStr, 4, 0},
	0x1c: {kindArray, 2, 0}, 0x1d: {kindArray, 4, 0},
	0x1e: {kindMap, 2, 0}, 0x1f: {kindMap, 4, 0},
}

// decodeHead decodes the head of the first value in b.
func decodeHead(b []byte) (valueHead, error) {
	if len(b) == 0 {
		return valueHead{}, ErrIncomplete
	}
	switch code := b[0]; {
	case code < 0x80:
		return valueHead{kindInt, 1, uint64(code)}, nil
	case code < 0x90:
		return valueHead{kindMap, 1, uint64(code & 15)}, nil
	case code < 0xa0:
		return valueHead{kindArray, 1, uint64(code & 15)}, nil
	case code < firstFormatCode:
		return valueHead{kindStr, 1, uint64(code & 31)}, nil
	case code >= 0xe0:
		return valueHead{kindNegative, 1, 0}, nil
	case code == 0xc1:
		return valueHead{}, errNotMsgpack
	}
	return decodeFormat(b, valueFormats[b[0]-firstFormatCode])
}

// decodeFormat decodes the head of a value whose code has an entry in valueFormats.
func decodeFormat(b []byte, format valueFormat) (valueHead, error) {
	size := 1 + format.width
	if len(b) < size {
		return valueHead{}, ErrIncomplete
	}
	var number uint64
	for _, digit := range b[1:size] {
		number = number<<8 | uint64(digit)
	}
	head := valueHead{kind: format.kind, size: size, number: number}
	switch format.kind {
	case kindNegative: // a signed format may contain a non-negative number
		sign := uint64(1) << (8*format.width - 1)
		if number&sign == 0 {
			head.kind = kindInt
		}
	case kindExt, kindFloat:
		head.number += uint64(format.fixed)
	}
	return head, nil
}

// valueSize returns the encoded size in bytes of the first value in b, including nested values.
func valueSize(b []byte) (int, error) {
	size, err := declaredSize(b)
	if err == nil && size > len(b) {
		return 0, ErrIncomplete
	}
	return size, err
}

// declaredSize is like valueSize, but also succeeds if only the end of the last body is missing.
func declaredSize(b []byte) (int, error) {
	walk := valueWalk{remaining: [maxDepth]uint64{1}}
	offset := 0
	for walk.next() {
		if offset > len(b) {
			return 0, ErrIncomplete
		}
		head, err := decodeHead(b[offset:])
		if err != nil {
			return 0, err
		}
		body := head.bodySize()
		if body > maxFrame || uint64(offset+head.size)+body > maxFrame {
			return 0, errNotMsgpack
		}
		offset += head.size + int(body)
		if err := walk.open(head); err != nil {
			return 0, err
		}
	}
	return offset, nil
}

// valueWalk tracks the position in nested values, and enforces maxDepth and maxItems.
type valueWalk struct {
	remaining [maxDepth]uint64 // values still to come at each depth
	depth     int              // number of arrays and maps that are open
	items     uint64           // values so far in all arrays and maps
}

// next advances to the next value and returns false if there is none.
func (w *valueWalk) next() bool {
	for w.remaining[w.depth] == 0 {
		if w.depth == 0 {
			return false
		}
		w.depth--
	}
	w.remaining[w.depth]--
	return true
}

// open enters a value that contains others.
func (w *valueWalk) open(head valueHead) error {
	entries := head.number
	switch head.kind {
	case kindArray:
	case kindMap:
		entries *= 2
	default:
		return nil
	}
	w.depth++
	if w.depth == maxDepth || entries > maxItems || w.items+entries > maxItems {
		return errNotMsgpack
	}
	w.items += entries
	w.remaining[w.depth] = entries
	return nil
}

// cursor reads the values of a complete message. The slices that it returns refer to the message.
type cursor struct {
	remaining []byte
}

// next returns the head of the next value, and its body if it has one.
func (c *cursor) next() (valueHead, []byte) {
	head, err := decodeHead(c.remaining)
	if err != nil || uint64(len(c.remaining)-head.size) < head.bodySize() { // the message is incomplete
		c.remaining = nil
		return valueHead{kind: kindNil}, nil
	}
	c.remaining = c.remaining[head.size:]
	size := int(head.bodySize())
	if size == 0 {
		return head, nil
	}
	body := c.remaining[:size]
	c.remaining = c.remaining[size:]
	return head, body
}

// skip skips a value, including nested values.
func (c *cursor) skip() {
	size, err := valueSize(c.remaining)
	if err != nil {
		size = len(c.remaining)
	}
	c.remaining = c.remaining[size:]
}

// text reads a str or a bin, since older encoders use one format for both. It skips any other value.
func (c *cursor) text() ([]byte, bool) {
	before := *c
	head, body := c.next()
	if head.kind == kindStr || head.kind == kindBin {
		return body, true
	}
	*c = before
	c.skip()
	return nil, false
}

func appendUint(b []byte, n uint32) []byte {
	switch {
	case n < 0x80:
		return append(b, byte(n))
	case n <= 0xff:
		return append(b, 0xcc, byte(n))
	case n <= 0xffff:
		return binary.BigEndian.AppendUint16(append(b, 0xcd), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(b, 0xce), n)
}

func appendStr(b []byte, s string) []byte {
	switch n := len(s); {
	case n < 32:
		b = append(b, 0xa0|byte(n))
	case n <= 0xff:
		b = append(b, 0xd9, byte(n))
	default:
		b = binary.BigEndian.AppendUint32(append(b, 0xdb), uint32(n))
	}
	return append(b, s...)
}

func appendBinHead(b []byte, n int) []byte {
	switch {
	case n <= 0xff:
		return append(b, 0xc4, byte(n))
	case n <= 0xffff:
		return binary.BigEndian.AppendUint16(append(b, 0xc5), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(b, 0xc6), uint32(n))
}

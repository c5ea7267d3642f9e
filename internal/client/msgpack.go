package client

import (
	"encoding/binary"
	"errors"
)

const (
	maxFrame = 256 << 10 // a message
	maxDepth = 8         // of arrays and maps in one another
	maxItems = 256       // of a message: what comes byte by byte is looked through again and again
)

var (
	errShort = errors.New("message not whole yet")
	errBad   = errors.New("not MessagePack within bounds")
)

// kind is the sort of a MessagePack value; its many encodings are one here.
type kind uint8

const (
	kindNil kind = iota
	kindBool
	kindInt
	kindNegative
	kindFloat
	kindStr
	kindBin
	kindArray
	kindMap
	kindExt
)

// head is the first part of a value.
type head struct {
	kind kind
	size int    // bytes of the head itself; floats and negative numbers are all head
	n    uint64 // the number, or the length in bytes or entries
}

// formats tells for the codes 0xc0 to 0xdf the kind and the bytes of number or length that follow.
var formats = [32]struct {
	kind  kind
	width int
	fixed int // bytes of body beyond the length: the type of an ext, or all of a fixed ext or float
}{
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

// readHead reads the head of the first value.
func readHead(b []byte) (head, error) {
	if len(b) == 0 {
		return head{}, errShort
	}
	switch c := b[0]; {
	case c < 0x80:
		return head{kindInt, 1, uint64(c)}, nil
	case c < 0x90:
		return head{kindMap, 1, uint64(c & 15)}, nil
	case c < 0xa0:
		return head{kindArray, 1, uint64(c & 15)}, nil
	case c < 0xc0:
		return head{kindStr, 1, uint64(c & 31)}, nil
	case c >= 0xe0:
		return head{kindNegative, 1, 0}, nil
	case c == 0xc1:
		return head{}, errBad
	}
	f := formats[b[0]-0xc0]
	if len(b) < 1+f.width {
		return head{}, errShort
	}
	var n uint64
	for _, d := range b[1 : 1+f.width] {
		n = n<<8 | uint64(d)
	}
	switch h := (head{f.kind, 1 + f.width, n}); f.kind {
	case kindNegative: // a signed format may hold a number that is not negative
		if sign := uint64(1) << (8*f.width - 1); n&sign == 0 {
			h.kind = kindInt
		}
		return h, nil
	case kindExt, kindFloat:
		h.n += uint64(f.fixed)
		return h, nil
	default:
		return h, nil
	}
}

// body is how many bytes follow the head before the next value.
func (h head) body() uint64 {
	switch h.kind {
	case kindStr, kindBin, kindExt, kindFloat:
		return h.n
	}
	return 0
}

// size is the length of the first value, with all that it holds.
func size(b []byte) (int, error) {
	var left [maxDepth]uint64 // values still to come at each depth
	at, depth, items := 0, 0, uint64(0)
	left[0] = 1
	for {
		for left[depth] == 0 {
			if depth--; depth < 0 {
				return at, nil
			}
		}
		left[depth]--
		h, err := readHead(b[at:])
		if err != nil {
			return 0, err
		}
		if body := h.body(); body > maxFrame || uint64(at+h.size)+body > maxFrame {
			return 0, errBad
		} else if at += h.size + int(body); at > len(b) {
			return 0, errShort
		}
		if h.kind == kindArray || h.kind == kindMap {
			n := h.n
			if h.kind == kindMap {
				n *= 2
			}
			if depth++; depth == maxDepth || n > maxItems || items+n > maxItems {
				return 0, errBad
			}
			items += n
			left[depth] = n
		}
	}
}

// cursor reads the values of a message known to be whole. What it gives are slices of the message.
type cursor struct {
	rest []byte
}

// next gives the head of the next value and, of strings and the like, the body.
func (c *cursor) next() (h head, body []byte) {
	h, err := readHead(c.rest)
	if err != nil || uint64(len(c.rest)-h.size) < h.body() { // not whole after all
		c.rest = nil
		return head{kind: kindNil}, nil
	}
	c.rest = c.rest[h.size:]
	if n := int(h.body()); n > 0 {
		body, c.rest = c.rest[:n], c.rest[n:]
	}
	return h, body
}

// skip passes over a whole value.
func (c *cursor) skip() {
	n, err := size(c.rest)
	if err != nil {
		n = len(c.rest)
	}
	c.rest = c.rest[n:]
}

// text reads a string; older writers use the same format for both kinds.
func (c *cursor) text() ([]byte, bool) {
	before := *c
	if h, body := c.next(); h.kind == kindStr || h.kind == kindBin {
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

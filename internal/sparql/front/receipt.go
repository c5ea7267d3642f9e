package front

import (
	"strings"

	"swiftreel/internal/ingress"
)

// maxTail is how many bytes are kept of the end of late input.
const maxTail = 4 << 10

// keepTail keeps the end of input that was read late.
func (c *clientConn) keepTail(input []byte) {
	c.tail = c.tail[:0]
	if c.received.IsLate {
		c.tail = append(c.tail, input[max(0, len(input)-maxTail):]...)
	}
}

// receiptOf returns when the request that has just been read completely, with the given body, may have been received.
func (c *clientConn) receiptOf(body string) ingress.Receipt {
	if c.received.IsLate && endsAlike(string(c.tail), body) {
		return c.received.OfMessage(true)
	}
	return c.received // a further request may follow in the same input
}

// endsAlike reports whether one of two texts, neither of them empty, ends with the other.
func endsAlike(a, b string) bool {
	return a != "" && b != "" && (strings.HasSuffix(a, b) || strings.HasSuffix(b, a))
}

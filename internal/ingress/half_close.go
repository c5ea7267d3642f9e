package ingress

import (
	"net"
	"time"
)

// LingerTime is how long a half-closed connection stays open for its client to read the last answer.
const LingerTime = 300 * time.Millisecond

// maxLingerInput is how many bytes a client may still send during LingerTime.
const maxLingerInput = 512 << 10

// HalfClose shuts down the write side of a connection and sets a deadline for the client's remaining input. Closing a
// socket with unread input resets the connection, which may destroy answers that were just written. A connection is
// therefore half-closed first, and its remaining input is discarded.
func HalfClose(socket *net.TCPConn) {
	_ = socket.CloseWrite() // an error shows at the next read
	_ = socket.SetReadDeadline(time.Now().Add(LingerTime))
}

// DiscardInput reads and discards the input of a half-closed connection until the client closes it or a limit on time
// or size is reached. The buffer must not be empty.
func DiscardInput(socket *net.TCPConn, buffer []byte) {
	for remaining := maxLingerInput; remaining > 0; {
		n, err := socket.Read(buffer)
		if err != nil {
			return
		}
		remaining -= n
	}
}

package fake

import (
	"context"
	"errors"
	"net"
	"time"

	"swiftreel/internal/client"
	"swiftreel/internal/socketstate"
)

// heartbeatTimeout bounds the wait for a heartbeat answer.
const heartbeatTimeout = 5 * time.Second

// readBufferSize is the size of one read, in bytes.
const readBufferSize = 4096

// Client is a client connection to a controller. It is not safe for concurrent use, except that one goroutine may send
// while another reads.
type Client struct {
	Conn     net.Conn
	received []byte // read but not yet parsed
	lastID   uint32
}

// Dial connects to a controller.
func Dial(address string) (*Client, error) {
	conn, err := dial(address)
	return &Client{Conn: conn}, err
}

func dial(address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(context.Background(), "tcp", address)
}

// IsClosed reports whether the controller has closed the connection, so that further requests get no answer.
func (c *Client) IsClosed() bool {
	tcp, isTCP := c.Conn.(*net.TCPConn)
	return isTCP && socketstate.PeerClosed(tcp)
}

// Send requests a job and returns the message ID that its answer will carry. fields alternates names and values.
func (c *Client) Send(method, statement string, fields ...string) (uint32, error) {
	c.lastID++
	_, err := c.Conn.Write(client.AppendCall(nil, c.lastID, method, fields, []byte(statement)))
	return c.lastID, err
}

// Ready sends a heartbeat and reports whether the controller accepts jobs.
func (c *Client) Ready() (bool, error) {
	c.lastID++
	if _, err := c.Conn.Write(client.AppendHeartbeat(nil, c.lastID)); err != nil {
		return false, err
	}
	answer, err := c.Read(heartbeatTimeout)
	return answer.Ready, err
}

// Revoke revokes the request with the given message ID.
func (c *Client) Revoke(id uint32) error {
	_, err := c.Conn.Write(client.AppendRevoke(nil, id))
	return err
}

// Read waits up to timeout for the next answer.
func (c *Client) Read(timeout time.Duration) (client.Answer, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return client.Answer{}, err
	}
	for {
		answer, size, err := client.ParseAnswer(c.received)
		if err == nil {
			c.received = c.received[size:]
		}
		if !errors.Is(err, client.ErrIncomplete) {
			return answer, err
		}
		more := make([]byte, readBufferSize)
		n, err := c.Conn.Read(more)
		if err != nil {
			return answer, err
		}
		c.received = append(c.received, more[:n]...)
	}
}

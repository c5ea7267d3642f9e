package fake

import (
	"context"
	"errors"
	"net"
	"time"

	"swiftreel/internal/client"
	"swiftreel/internal/socketstate"
)

// heartbeatTimeout bounds the wait for the answer to a heartbeat.
const heartbeatTimeout = 5 * time.Second

// readSize is how many bytes are read at once.
const readSize = 4096

// Client is one connection of a client to a controller. It is for one goroutine, except that one may send while
// another reads.
type Client struct {
	Conn     net.Conn
	received []byte // not parsed yet
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

// IsClosed reports whether the controller has closed the connection, so that nothing that is sent is answered.
func (c *Client) IsClosed() bool {
	tcp, isTCP := c.Conn.(*net.TCPConn)
	return isTCP && socketstate.PeerClosed(tcp)
}

// Send requests a job and returns the id of its answer. fields are names and values in turn.
func (c *Client) Send(method, statement string, fields ...string) (uint32, error) {
	c.lastID++
	_, err := c.Conn.Write(client.AppendCall(nil, c.lastID, method, fields, []byte(statement)))
	return c.lastID, err
}

// Ready sends a heartbeat, and returns whether jobs are welcome.
func (c *Client) Ready() (bool, error) {
	c.lastID++
	if _, err := c.Conn.Write(client.AppendHeartbeat(nil, c.lastID)); err != nil {
		return false, err
	}
	answer, err := c.Read(heartbeatTimeout)
	return answer.Ready, err
}

// Revoke takes a job back.
func (c *Client) Revoke(id uint32) error {
	_, err := c.Conn.Write(client.AppendRevoke(nil, id))
	return err
}

// Read waits for the next answer for so long.
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
		more := make([]byte, readSize)
		n, err := c.Conn.Read(more)
		if err != nil {
			return answer, err
		}
		c.received = append(c.received, more[:n]...)
	}
}

package fake

import (
	"errors"
	"net"
	"time"

	"swiftreel/internal/client"
)

// Caller is a client's connection.
type Caller struct {
	Conn net.Conn
	buf  []byte
	last uint32
}

// Dial connects to a controller.
func Dial(address string) (*Caller, error) {
	conn, err := net.Dial("tcp", address)
	return &Caller{Conn: conn}, err
}

// Send asks for a job and gives the id of its answer; fields are names and values in turn.
func (c *Caller) Send(method, statement string, fields ...string) (uint32, error) {
	c.last++
	_, err := c.Conn.Write(client.AppendCall(nil, c.last, method, fields, []byte(statement)))
	return c.last, err
}

// Ready asks for the controller's heartbeat.
func (c *Caller) Ready() (bool, error) {
	c.last++
	if _, err := c.Conn.Write(client.AppendHeartbeat(nil, c.last)); err != nil {
		return false, err
	}
	a, err := c.Read(5 * time.Second)
	return a.Ready, err
}

// Revoke takes a job back.
func (c *Caller) Revoke(id uint32) error {
	_, err := c.Conn.Write(client.AppendRevoke(nil, id))
	return err
}

// Read waits for the next answer.
func (c *Caller) Read(wait time.Duration) (client.Answer, error) {
	c.Conn.SetReadDeadline(time.Now().Add(wait))
	for {
		a, n, err := client.ParseAnswer(c.buf)
		if err == nil {
			c.buf = c.buf[n:]
		}
		if !errors.Is(err, client.ErrIncomplete) {
			return a, err
		}
		more := make([]byte, 4096)
		n, err = c.Conn.Read(more)
		if err != nil {
			return a, err
		}
		c.buf = append(c.buf, more[:n]...)
	}
}

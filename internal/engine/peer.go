package engine

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// Command is a command as an engine reads it. It is for engines written in Go: the example, fakes and tests.
type Command struct {
	Name      string
	ID        string
	Fields    string // of fetch
	Number    int    // of renice and more
	Statement []byte // of fetch: the statement
}

// ReadCommand reads one command as an engine does.
func ReadCommand(r *bufio.Reader) (Command, error) {
	line, err := r.ReadSlice('\n')
	if err != nil {
		return Command{}, err
	}
	parts := bytes.Split(bytes.TrimSuffix(line, []byte(lineEnd)), []byte(" "))
	if len(parts) < 2 {
		return Command{}, errMalformed
	}
	c := Command{Name: string(parts[0]), ID: string(parts[1])}
	hasNumber := c.Name == commandRenice || c.Name == commandMore
	switch {
	case c.Name == commandFetch && len(parts) == 4:
		c.Fields = string(parts[2])
		c.Statement, err = readStatement(r, string(parts[3]))
	case hasNumber && len(parts) == 3:
		c.Number, err = strconv.Atoi(string(parts[2]))
	case len(parts) != 2:
		err = errMalformed
	}
	if err != nil {
		return Command{}, errMalformed
	}
	return c, nil
}

// readStatement reads a statement of the given length and the line end that follows it.
func readStatement(r *bufio.Reader, length string) ([]byte, error) {
	size, err := strconv.ParseUint(length, 10, 20)
	if err != nil {
		return nil, err
	}
	body := make([]byte, int(size)+len(lineEnd))
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	if string(body[size:]) != lineEnd {
		return nil, errMalformed
	}
	return body[:size], nil
}

// AppendAnswer appends an answer as an engine sends it. Empty fields are encoded as a dash.
func AppendAnswer(b []byte, id, kind, fields string, body []byte) []byte {
	if fields == "" {
		fields = "-"
	}
	b = append(b, id+" "+kind+" "+fields+" "+strconv.Itoa(len(body))+lineEnd...)
	b = append(b, body...)
	return append(b, lineEnd...)
}

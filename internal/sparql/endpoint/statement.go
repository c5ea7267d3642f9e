package endpoint

import (
	"bytes"
	"errors"
	"net/url"
)

// Operation is what a job does on this protocol. It travels as the statement of a backend.Request.
type Operation struct {
	Update         bool
	Accept         string     // the media type wanted of the engine
	IdempotencyKey string     // by which engines drop duplicates; "": none
	Form           url.Values // query or update, and the graphs
}

// The first line of an encoded operation.
const (
	queryKind  = "query"
	updateKind = "update"
)

var errNotAnOperation = errors.New("no statement of this protocol")

// Statement encodes the operation.
func (o Operation) Statement() []byte {
	kind := queryKind
	if o.Update {
		kind = updateKind
	}
	return []byte(kind + "\n" + o.Accept + "\n" + url.QueryEscape(o.IdempotencyKey) + "\n" + o.Form.Encode())
}

// encodedOperation is an operation whose form is sent as it was encoded.
type encodedOperation struct {
	update         bool
	accept         string
	idempotencyKey string
	form           []byte
}

func parseStatement(statement []byte) (encodedOperation, error) {
	lines := bytes.SplitN(statement, []byte("\n"), 4)
	if len(lines) != 4 {
		return encodedOperation{}, errNotAnOperation
	}
	key, err := url.QueryUnescape(string(lines[2]))
	return encodedOperation{
		update:         string(lines[0]) == updateKind,
		accept:         string(lines[1]),
		idempotencyKey: key,
		form:           lines[3],
	}, err
}

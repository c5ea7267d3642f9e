package endpoint

import (
	"bytes"
	"errors"
	"net/url"
)

// Operation is the query or update of a job. It is encoded as the statement of a backend.Request.
type Operation struct {
	Update         bool
	Accept         string     // the media type requested from the engine
	IdempotencyKey string     // by which engines detect duplicates; "": none
	Form           url.Values // the query or update parameter, and the graph parameters
}

// The first line of an encoded operation.
const (
	queryKind  = "query"
	updateKind = "update"
)

var errNotAnOperation = errors.New("statement does not encode a SPARQL operation")

// Statement encodes the operation as four lines: its kind, media type, idempotency key and form.
func (o Operation) Statement() []byte {
	kind := queryKind
	if o.Update {
		kind = updateKind
	}
	return []byte(kind + "\n" + o.Accept + "\n" + url.QueryEscape(o.IdempotencyKey) + "\n" + o.Form.Encode())
}

// encodedOperation is an operation whose form is still encoded, as it is sent.
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

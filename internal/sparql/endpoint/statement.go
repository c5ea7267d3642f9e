package endpoint

import (
	"bytes"
	"errors"
	"iter"
	"net/url"
)

// Operation is the query or update of a job. It is encoded as the statement of a backend.Request.
type Operation struct {
	Update         bool
	Accept         string     // the media type requested from the engine
	IdempotencyKey string     // by which engines detect duplicates; "": none
	Text           string     // of the query or update
	Graphs         url.Values // the graph parameters
}

// The first line of an encoded operation, and the form parameter with its text.
const (
	queryKind  = "query"
	updateKind = "update"
)

var errNotAnOperation = errors.New("statement does not encode a SPARQL operation")

// escapeChunk is how many bytes of a text are escaped at once.
const escapeChunk = 4 << 10

// Size returns the size of the statement in bytes.
func (o Operation) Size() int {
	size := len(o.head()) + len(o.kind()) + len("=")
	for chunk := range escapedChunks(o.Text) {
		size += len(chunk)
	}
	return size
}

// Statement encodes the operation as four lines: its kind, media type, idempotency key and form. It allocates Size
// bytes, and little more while it runs.
func (o Operation) Statement() []byte {
	statement := make([]byte, 0, o.Size())
	statement = append(statement, o.head()...)
	statement = append(statement, o.kind()+"="...)
	for chunk := range escapedChunks(o.Text) {
		statement = append(statement, chunk...)
	}
	return statement
}

// head returns the first three lines, and the graph parameters of the form.
func (o Operation) head() string {
	head := o.kind() + "\n" + o.Accept + "\n" + url.QueryEscape(o.IdempotencyKey) + "\n"
	if len(o.Graphs) == 0 {
		return head
	}
	return head + o.Graphs.Encode() + "&"
}

func (o Operation) kind() string {
	if o.Update {
		return updateKind
	}
	return queryKind
}

// escapedChunks returns the chunks of a text, escaped for a form.
func escapedChunks(text string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for len(text) > 0 {
			size := min(escapeChunk, len(text))
			if !yield(url.QueryEscape(text[:size])) {
				return
			}
			text = text[size:]
		}
	}
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

package engine

import (
	"bytes"
	"errors"
	"io"
	"math"
	"os"
	"strconv"
	"sync/atomic"
	"time"
	"unicode/utf8"
)

const (
	maxLine   = 1024
	maxPage   = 6000                    // bytes of a page
	maxResult = 48000                   // bytes of a result
	maxPages  = 2*maxResult/maxPage + 1 // any two in a row hold more than one page could
	readSize  = 8 << 10                 // holds a line and a page
	lastLook  = 20 * time.Millisecond
)

var (
	errShort = errors.New("answer not whole yet")
	errLine  = errors.New("an engine's line cannot be read")
)

// answer is one answer of an engine; its parts are slices of the buffer that it was read into.
type answer struct {
	id, word, fields, body []byte
}

// source is what answers are read from.
type source interface {
	io.Reader
	SetReadDeadline(time.Time) error
}

// lines reads answers from a connection, each where it lies in the buffer.
type lines struct {
	from     source
	half     time.Duration // in which an answer that has begun must be whole
	buf      []byte
	next, to int         // buf[next:to] is read and not yet used
	begun    bool        // the answer in the buffer has its time limit
	limited  bool        // some limit is set
	late     bool        // the limit has passed, and what lay unread is being read
	partial  atomic.Bool // what is read is no whole answer
}

func newLines(from source, half time.Duration) *lines {
	return &lines{from: from, half: half, buf: make([]byte, readSize)}
}

// answer reads one answer; it holds until the next call. After errLine framing is lost, and so it is after half an
// answer that did not go on.
func (l *lines) answer() (answer, error) {
	for {
		a, n, err := parseAnswer(l.buf[l.next:l.to])
		if !errors.Is(err, errShort) {
			l.next, l.begun, l.late = l.next+n, false, false
			return a, err
		}
		l.to, l.next = copy(l.buf, l.buf[l.next:l.to]), 0
		l.partial.Store(l.to > 0)
		if l.to > 0 && !l.begun {
			l.from.SetReadDeadline(time.Now().Add(l.half))
			l.begun, l.limited = true, true
		} else if l.to == 0 && l.limited {
			l.from.SetReadDeadline(time.Time{})
			l.limited = false
		}
		n, err = l.from.Read(l.buf[l.to:])
		if l.to += n; n > 0 {
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && !l.late { // what came while we stood still is there to be read
			l.late = true
			l.from.SetReadDeadline(time.Now().Add(lastLook))
		} else if err != nil {
			return a, err
		}
	}
}

// parseAnswer reads the first answer and how long it is: ID WORD FIELDS LENGTH, and a body.
func parseAnswer(b []byte) (a answer, n int, err error) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 && len(b) < maxLine {
		return a, 0, errShort
	}
	if end < 1 || end >= maxLine || b[end-1] != '\r' {
		return a, 0, errLine
	}
	var rest, size []byte
	a.id, rest, _ = bytes.Cut(b[:end-1], []byte(" "))
	a.word, rest, _ = bytes.Cut(rest, []byte(" "))
	a.fields, size, _ = bytes.Cut(rest, []byte(" "))
	length, err := strconv.ParseUint(string(size), 10, 16)
	if err != nil || length > maxPage || len(a.id) == 0 || len(a.word) == 0 || len(a.fields) == 0 {
		return a, 0, errLine
	}
	if string(a.fields) == "-" {
		a.fields = nil
	}
	n = end + 1 + int(length) + 2
	if n > len(b) {
		return a, 0, errShort
	}
	a.body = b[end+1 : n-2]
	if string(b[n-2:n]) != "\r\n" {
		return a, 0, errLine
	}
	return a, n, nil
}

// field gives the value of a named field.
func (a answer) field(name string) (string, bool) {
	for f := range bytes.SplitSeq(a.fields, []byte(",")) {
		if k, v, is := bytes.Cut(f, []byte("=")); is && string(k) == name {
			return string(v), true
		}
	}
	return "", false
}

// number gives a field's value as a finite number that is not negative.
func (a answer) number(name string) (float64, bool) {
	text, is := a.field(name)
	v, err := strconv.ParseFloat(text, 64)
	return v, is && err == nil && v >= 0 && !math.IsInf(v, 0)
}

// numberOrNone tells whether a field is absent or such a number.
func (a answer) numberOrNone(name string) bool {
	_, is := a.field(name)
	_, good := a.number(name)
	return good || !is
}

// columns of text that a row has.
const columns = 3

// wholeRows tells whether a page is what an engine makes: whole rows of text, a tab between columns and a line feed
// after each row.
func wholeRows(page []byte) bool {
	tabs := 0
	for _, b := range page {
		switch {
		case b == '\n':
			if tabs != columns-1 {
				return false
			}
			tabs = 0
		case b == '\t':
			tabs++
		case b < ' ' || b == 0x7f:
			return false
		}
	}
	return (len(page) == 0 || page[len(page)-1] == '\n') && utf8.Valid(page)
}

func appendFetch(b []byte, r Request) []byte {
	b = append(append(append(b, "fetch "...), r.ID...), " c="...)
	b = append(append(b, r.Type...), ",w="...)
	b = strconv.AppendInt(b, r.TimeoutMS, 10)
	if r.GrantMB > 0 {
		b = strconv.AppendInt(append(b, ",allot="...), int64(math.Ceil(r.GrantMB)), 10)
	}
	b = strconv.AppendInt(append(b, ",urgency="...), int64(r.Priority), 10)
	if len(r.IdempotencyKey) > 0 {
		b = append(append(b, ",i="...), r.IdempotencyKey...)
	}
	b = strconv.AppendInt(append(b, ' '), int64(len(r.Statement)), 10)
	return append(append(append(b, "\r\n"...), r.Statement...), "\r\n"...)
}

// appendCommand writes a command on an id, with a number where it has one.
func appendCommand(b []byte, word string, id []byte, n int) []byte {
	b = append(append(append(b, word...), ' '), id...)
	if n >= 0 {
		b = strconv.AppendInt(append(b, ' '), int64(n), 10)
	}
	return append(b, "\r\n"...)
}

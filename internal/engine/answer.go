package engine

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"unicode/utf8"
)

// Limits of the protocol.
const (
	maxLineBytes   = 1024
	maxPageBytes   = 6000
	maxResultBytes = 48000
	maxPages       = 2*maxResultBytes/maxPageBytes + 1 // any two consecutive pages together exceed the size of one
	resultColumns  = 3                                 // text columns per row
	lineEnd        = "\r\n"
)

// Kinds of answer.
const (
	answerHealthy    = "well"   // answer to alive and stats
	answerUnhealthy  = "ill"    // answer to alive and stats
	answerNotice     = "news"   // a notice about a dispatch in progress
	answerData       = "data"   // the first page and the number of pages
	answerPage       = "page"   // a further page
	answerFull       = "full"   // not run: no capacity
	answerSuperseded = "moot"   // not run: too late
	answerFailed     = "failed" // an error; also for a command on an unknown id
)

var (
	errIncomplete = errors.New("incomplete answer")
	errMalformed  = errors.New("malformed line")
)

// answer is one answer of an engine. Its fields are slices of the buffer that it was read into.
type answer struct {
	id, kind, fields, body []byte
}

// parseAnswer parses the first answer in a buffer and returns its size in bytes. errIncomplete means that more data
// must be read, errMalformed that framing is lost.
func parseAnswer(buffer []byte) (a answer, size int, err error) {
	end := bytes.IndexByte(buffer, '\n')
	if end < 0 && len(buffer) < maxLineBytes {
		return answer{}, 0, errIncomplete
	}
	if end < 1 || end >= maxLineBytes || buffer[end-1] != '\r' {
		return answer{}, 0, errMalformed
	}
	a, bodySize, err := parseAnswerLine(buffer[:end-1])
	if err != nil {
		return answer{}, 0, err
	}
	bodyStart := end + 1
	bodyEnd := bodyStart + bodySize
	size = bodyEnd + len(lineEnd)
	if size > len(buffer) {
		return answer{}, 0, errIncomplete
	}
	if string(buffer[bodyEnd:size]) != lineEnd {
		return answer{}, 0, errMalformed
	}
	a.body = buffer[bodyStart:bodyEnd]
	return a, size, nil
}

// parseAnswerLine parses a line of the form ID KIND FIELDS LENGTH.
func parseAnswerLine(line []byte) (a answer, bodySize int, err error) {
	separator := []byte(" ")
	id, remainder, _ := bytes.Cut(line, separator)
	kind, remainder, _ := bytes.Cut(remainder, separator)
	fields, length, _ := bytes.Cut(remainder, separator)
	size, err := strconv.ParseUint(string(length), 10, 16)
	if err != nil || size > maxPageBytes || len(id) == 0 || len(kind) == 0 || len(fields) == 0 {
		return answer{}, 0, errMalformed
	}
	if string(fields) == "-" {
		fields = nil
	}
	return answer{id: id, kind: kind, fields: fields}, int(size), nil
}

// field returns the value of a named field.
func (a answer) field(name string) (string, bool) {
	for field := range bytes.SplitSeq(a.fields, []byte(",")) {
		key, value, found := bytes.Cut(field, []byte("="))
		if found && string(key) == name {
			return string(value), true
		}
	}
	return "", false
}

// number returns the value of a field that is a finite non-negative number.
func (a answer) number(name string) (float64, bool) {
	text, found := a.field(name)
	value, err := strconv.ParseFloat(text, 64)
	return value, found && err == nil && value >= 0 && !math.IsInf(value, 0)
}

// integer returns the value of a field that is a non-negative integer.
func (a answer) integer(name string) (int, bool) {
	value, found := a.number(name)
	return int(value), found && value == float64(int(value))
}

// isNumberOrAbsent reports whether a field is absent or a finite non-negative number.
func (a answer) isNumberOrAbsent(name string) bool {
	_, isPresent := a.field(name)
	_, isNumber := a.number(name)
	return isNumber || !isPresent
}

// hasCompleteRows reports whether a page consists of complete rows of valid UTF-8 text: columns are separated by tabs,
// and each row ends with a line feed.
func hasCompleteRows(page []byte) bool {
	tabs := 0
	for _, b := range page {
		switch {
		case b == '\n':
			if tabs != resultColumns-1 {
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

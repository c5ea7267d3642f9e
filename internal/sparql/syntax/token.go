// Package syntax reads SPARQL 1.1 queries and updates (W3C Recommendation of 2013-03-21, section 19) far enough to know
// what they are and what they touch. It runs nothing, and keeps nothing of a text but names of graphs and counts.
package syntax

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Error is where and why a text is no SPARQL, or none that is taken here.
type Error struct {
	Line, Column int // from 1; columns count characters
	Reason       string
}

func (e *Error) Error() string {
	return fmt.Sprintf("line %d column %d: %s", e.Line, e.Column, e.Reason)
}

type kind uint8

const (
	end      kind = iota
	iriRef        // text is what stands between the brackets
	name          // prefix:local
	blank         // _:label
	variable      // without its mark
	literal       // a string
	langTag
	number
	word  // a keyword, a, true ...
	punct // one or two signs
)

type token struct {
	kind   kind
	text   string
	at     int  // byte offset
	spaced bool // white space stands before it
}

// lexer cuts a text into tokens, one ahead.
type lexer struct {
	text string
	pos  int
	tok  token
	prev int // where the token before ended
}

// fault is thrown by panic within the package, and caught by Parse.
type fault struct {
	at     int
	reason string
}

func (l *lexer) fail(at int, format string, v ...any) {
	panic(fault{at, fmt.Sprintf(format, v...)})
}

// place turns an offset into line and column.
func place(text string, at int) (line, column int) {
	before := text[:min(at, len(text))]
	line = 1 + strings.Count(before, "\n")
	return line, 1 + utf8.RuneCountInString(before[strings.LastIndexByte(before, '\n')+1:])
}

// next reads one token.
func (l *lexer) next() {
	l.prev = l.pos
	for l.pos < len(l.text) {
		switch c := l.text[l.pos]; {
		case c == ' ' || c == '\t' || c == '\r' || c == '\n':
			l.pos++
			continue
		case c == '#':
			if i := strings.IndexAny(l.text[l.pos:], "\r\n"); i >= 0 {
				l.pos += i
			} else {
				l.pos = len(l.text)
			}
			continue
		}
		break
	}
	at := l.pos
	l.tok = token{at: at, spaced: at > l.prev}
	if at == len(l.text) {
		return
	}
	switch c := l.text[at]; {
	case c == '<':
		if i := iriEnd(l.text[at:]); i > 0 {
			l.take(iriRef, i, l.text[at+1:at+i-1])
			return
		}
		l.sign("<=", "<")
	case c == '?' || c == '$':
		if n := nameLength(l.text[at+1:], false); n > 0 {
			l.take(variable, 1+n, l.text[at+1:at+1+n])
			return
		}
		l.sign("?")
	case c == '"' || c == '\'':
		l.str(c)
	case c == '@':
		n := 1
		for at+n < len(l.text) && (letter(l.text[at+n]) || n > 1 && (digit(l.text[at+n]) || l.text[at+n] == '-')) {
			n++
		}
		if n == 1 {
			l.fail(at, "no language after @")
		}
		l.take(langTag, n, l.text[at:at+n])
	case digit(c) || c == '.' && at+1 < len(l.text) && digit(l.text[at+1]):
		l.number()
	case c == '_' && strings.HasPrefix(l.text[at:], "_:"):
		n := localLength(l.text[at+2:], true)
		if n == 0 {
			l.fail(at, "a blank node without label")
		}
		l.take(blank, 2+n, l.text[at:at+2+n])
	case c == ':' || letter(c) || c >= utf8.RuneSelf:
		l.nameOrWord()
	default:
		l.sign("^^", "&&", "||", "!=", ">=", "{", "}", "(", ")", "[", "]", ".", ";", ",", "=", ">", "*", "/", "|", "^", "+", "-", "!")
	}
}

func (l *lexer) take(k kind, n int, text string) {
	l.tok.kind, l.tok.text = k, text
	l.pos += n
}

// sign takes the first of some signs that stands here.
func (l *lexer) sign(some ...string) {
	for _, s := range some {
		if strings.HasPrefix(l.text[l.pos:], s) {
			l.take(punct, len(s), s)
			return
		}
	}
	r, _ := utf8.DecodeRuneInString(l.text[l.pos:])
	l.fail(l.pos, "%q begins nothing", r)
}

func iriEnd(s string) int {
	for i := 1; i < len(s); i++ {
		switch c := s[i]; {
		case c == '>':
			return i + 1
		case c <= ' ' || strings.IndexByte("<\"{}|^`", c) >= 0:
			return 0
		}
	}
	return 0
}

// str takes a string, short or long, with its escapes left as they are.
func (l *lexer) str(quote byte) {
	at, mark := l.pos, string(quote)
	long := strings.HasPrefix(l.text[at:], strings.Repeat(mark, 3))
	if long {
		mark = strings.Repeat(mark, 3)
	}
	for i := at + len(mark); i < len(l.text); i++ {
		switch c := l.text[i]; {
		case c == '\\':
			if i+1 >= len(l.text) || strings.IndexByte("tbnrf\\\"'uU", l.text[i+1]) < 0 {
				l.fail(i, "an escape that there is not")
			}
			i++
		case strings.HasPrefix(l.text[i:], mark):
			l.take(literal, i+len(mark)-at, "")
			return
		case !long && (c == '\n' || c == '\r'):
			l.fail(at, "a string that does not end on its line")
		}
	}
	l.fail(at, "a string that does not end")
}

func (l *lexer) number() {
	s, i := l.text[l.pos:], 0
	digits := func() (n int) {
		for i < len(s) && digit(s[i]) {
			i++
			n++
		}
		return n
	}
	digits()
	if i+1 < len(s) && s[i] == '.' && digit(s[i+1]) {
		i++
		digits()
	}
	if i < len(s) && (s[i] == 'e' || s[i] == 'E') {
		back := i
		i++
		if i < len(s) && (s[i] == '+' || s[i] == '-') {
			i++
		}
		if digits() == 0 {
			i = back
		}
	}
	l.take(number, i, s[:i])
}

// nameOrWord takes prefix:local, prefix: or a keyword.
func (l *lexer) nameOrWord() {
	s := l.text[l.pos:]
	n := nameLength(s, true)
	for n > 0 && s[n-1] == '.' {
		n--
	}
	if n < len(s) && s[n] == ':' {
		more := localLength(s[n+1:], false)
		l.take(name, n+1+more, s[:n+1+more])
		return
	}
	if n == 0 {
		r, _ := utf8.DecodeRuneInString(s)
		l.fail(l.pos, "%q begins nothing", r)
	}
	w := nameLength(s, false) // keywords have no signs inside
	l.take(word, w, s[:w])
}

// nameLength is how much of a text is a name; signs: with dots and dashes inside, as prefixes have.
func nameLength(s string, signs bool) int {
	n := 0
	for n < len(s) {
		r, size := utf8.DecodeRuneInString(s[n:])
		if r == utf8.RuneError && size <= 1 {
			break
		}
		if r != '_' && !unicode.IsLetter(r) && !unicode.IsDigit(r) && (!signs || n == 0 || r != '-' && r != '.') {
			break
		}
		n += size
	}
	return n
}

// localLength is how much is the local part of a prefixed name, or the label of a blank node.
func localLength(s string, label bool) int {
	n := 0
	for n < len(s) {
		r, size := utf8.DecodeRuneInString(s[n:])
		switch {
		case r == utf8.RuneError && size <= 1:
			return trimDots(s, n)
		case r == '_' || unicode.IsLetter(r) || unicode.IsDigit(r) || n > 0 && (r == '-' || r == '.') || r == ':' && !label:
		case label:
			return trimDots(s, n)
		case r == '%' && len(s) > n+2 && hex(s[n+1]) && hex(s[n+2]):
			size = 3
		case r == '\\' && len(s) > n+1 && strings.IndexByte("_~.-!$&'()*+,;=/?#@%", s[n+1]) >= 0:
			size = 2
		default:
			return trimDots(s, n)
		}
		n += size
	}
	return trimDots(s, n)
}

func trimDots(s string, n int) int {
	for n > 0 && s[n-1] == '.' && (n < 2 || s[n-2] != '\\') {
		n--
	}
	return n
}

func digit(c byte) bool  { return c >= '0' && c <= '9' }
func letter(c byte) bool { return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' }
func hex(c byte) bool    { return digit(c) || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F' }

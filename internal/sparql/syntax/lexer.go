package syntax

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// lexer cuts a text into tokens, one ahead.
type lexer struct {
	text  string
	pos   int // byte offset behind the token
	token token
}

// parseFailure is thrown by panic within the package, and recovered by Parse.
type parseFailure struct {
	at     int
	reason string
}

func (l *lexer) fail(at int, format string, values ...any) {
	panic(parseFailure{at, fmt.Sprintf(format, values...)})
}

// lineAndColumn returns the place of a byte offset; both count from 1, columns in characters.
func lineAndColumn(text string, at int) (line, column int) {
	before := text[:min(at, len(text))]
	line = 1 + strings.Count(before, "\n")
	return line, 1 + utf8.RuneCountInString(before[strings.LastIndexByte(before, '\n')+1:])
}

// readToken reads the next token.
func (l *lexer) readToken() {
	before := l.pos
	l.skipSpace()
	at := l.pos
	l.token = token{at: at, spaced: at > before}
	if at == len(l.text) {
		return
	}
	switch c := l.text[at]; {
	case c == '<':
		l.readIRIOrLess()
	case c == '?' || c == '$':
		l.readVariableOrQuestion()
	case c == '"' || c == '\'':
		l.readString(c)
	case c == '@':
		l.readLangTag()
	case startsNumber(l.text[at:]):
		l.readNumber()
	case strings.HasPrefix(l.text[at:], "_:"):
		l.readBlank()
	case startsName(c):
		l.readName()
	default:
		l.readPunct("^^", "&&", "||", "!=", ">=", "{", "}", "(", ")", "[", "]", ".", ";", ",", "=", ">", "*", "/", "|", "^",
			"+", "-", "!")
	}
}

// skipSpace skips white space and comments.
func (l *lexer) skipSpace() {
	for l.pos < len(l.text) {
		switch l.text[l.pos] {
		case ' ', '\t', '\r', '\n':
			l.pos++
		case '#':
			length := strings.IndexAny(l.text[l.pos:], "\r\n")
			if length < 0 {
				length = len(l.text) - l.pos
			}
			l.pos += length
		default:
			return
		}
	}
}

func (l *lexer) readIRIOrLess() {
	text := l.text[l.pos:]
	if length := iriEnd(text); length > 0 {
		l.emit(iriRef, length, text[1:length-1])
		return
	}
	l.readPunct("<=", "<")
}

func (l *lexer) readVariableOrQuestion() {
	text := l.text[l.pos:]
	if length := nameLength(text[1:], false); length > 0 {
		l.emit(variable, 1+length, text[1:1+length])
		return
	}
	l.readPunct("?")
}

func (l *lexer) readLangTag() {
	text := l.text[l.pos:]
	length := 1
	for length < len(text) && isLangTagByte(text[length], length > 1) {
		length++
	}
	if length == 1 {
		l.fail(l.pos, "no language after @")
	}
	l.emit(langTag, length, text[:length])
}

// isLangTagByte reports whether a byte belongs to a language tag; digits and dashes do not begin one.
func isLangTagByte(c byte, inside bool) bool {
	return isLetter(c) || inside && (isDigit(c) || c == '-')
}

func (l *lexer) readBlank() {
	text := l.text[l.pos:]
	length := localLength(text[2:], true)
	if length == 0 {
		l.fail(l.pos, "a blank node without label")
	}
	l.emit(blank, 2+length, text[2:2+length])
}

// emit makes a token of the next bytes.
func (l *lexer) emit(kind tokenKind, length int, text string) {
	l.token.kind = kind
	l.token.text = text
	l.pos += length
}

// readPunct reads the first of some signs that stands here.
func (l *lexer) readPunct(signs ...string) {
	for _, sign := range signs {
		if strings.HasPrefix(l.text[l.pos:], sign) {
			l.emit(punct, len(sign), sign)
			return
		}
	}
	r, _ := utf8.DecodeRuneInString(l.text[l.pos:])
	l.fail(l.pos, "%q begins nothing", r)
}

// iriEnd returns the length of an IRI in brackets; 0 where there is none.
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

// readString reads a string, short or long, with its escapes left as they are.
func (l *lexer) readString(quote byte) {
	at := l.pos
	mark := string(quote)
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
			l.emit(literal, i+len(mark)-at, "")
			return
		case !long && (c == '\n' || c == '\r'):
			l.fail(at, "a string that does not end on its line")
		}
	}
	l.fail(at, "a string that does not end")
}

// startsNumber reports whether a text that is not empty begins with a number.
func startsNumber(text string) bool {
	return isDigit(text[0]) || text[0] == '.' && len(text) > 1 && isDigit(text[1])
}

// readNumber reads digits with a fraction and an exponent, where they are complete.
func (l *lexer) readNumber() {
	s := l.text[l.pos:]
	length := digitsEnd(s, 0)
	if length+1 < len(s) && s[length] == '.' && isDigit(s[length+1]) {
		length = digitsEnd(s, length+1)
	}
	length = exponentEnd(s, length)
	l.emit(number, length, s[:length])
}

// digitsEnd returns where the digits end that begin at an offset.
func digitsEnd(s string, at int) int {
	for at < len(s) && isDigit(s[at]) {
		at++
	}
	return at
}

// exponentEnd returns where the exponent ends that begins at an offset; the offset where there is none.
func exponentEnd(s string, at int) int {
	if at >= len(s) || s[at] != 'e' && s[at] != 'E' {
		return at
	}
	digits := at + 1
	if digits < len(s) && (s[digits] == '+' || s[digits] == '-') {
		digits++
	}
	if end := digitsEnd(s, digits); end > digits {
		return end
	}
	return at
}

// startsName reports whether a prefixed name or a keyword may begin with a byte.
func startsName(c byte) bool { return c == ':' || isLetter(c) || c >= utf8.RuneSelf }

// readName reads prefix:local, prefix: or a keyword.
func (l *lexer) readName() {
	s := l.text[l.pos:]
	prefix := nameLength(s, true)
	for prefix > 0 && s[prefix-1] == '.' {
		prefix--
	}
	if prefix < len(s) && s[prefix] == ':' {
		length := prefix + 1 + localLength(s[prefix+1:], false)
		l.emit(prefixedName, length, s[:length])
		return
	}
	if prefix == 0 {
		r, _ := utf8.DecodeRuneInString(s)
		l.fail(l.pos, "%q begins nothing", r)
	}
	length := nameLength(s, false) // keywords have no signs inside
	l.emit(keyword, length, s[:length])
}

// nameLength returns how many bytes of a text are a name; signs: with dots and dashes inside, as prefixes have.
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

// localLength returns how many bytes are the local part of a prefixed name, or the label of a blank node.
func localLength(s string, label bool) int {
	length := 0
	for length < len(s) {
		size := labelSize(s[length:], length == 0)
		if size == 0 && !label {
			size = localExtraSize(s[length:])
		}
		if size == 0 {
			break
		}
		length += size
	}
	return trimDots(s, length)
}

// labelSize returns the size of the character at the start, if it may stand in a label; dashes and dots do not begin
// one.
func labelSize(s string, first bool) int {
	r, size := utf8.DecodeRuneInString(s)
	if r == utf8.RuneError && size <= 1 {
		return 0
	}
	if r == '_' || unicode.IsLetter(r) || unicode.IsDigit(r) || !first && (r == '-' || r == '.') {
		return size
	}
	return 0
}

// localExtraSize returns the size of what only local parts may have: a colon, an escape, a byte in hex.
func localExtraSize(s string) int {
	switch {
	case s[0] == ':':
		return 1
	case s[0] == '%' && len(s) > 2 && isHex(s[1]) && isHex(s[2]):
		return 3
	case s[0] == '\\' && len(s) > 1 && strings.IndexByte("_~.-!$&'()*+,;=/?#@%", s[1]) >= 0:
		return 2
	}
	return 0
}

// trimDots returns a length without the dots at its end, which end a triple; an escaped dot stays.
func trimDots(s string, n int) int {
	for n > 0 && s[n-1] == '.' && (n < 2 || s[n-2] != '\\') {
		n--
	}
	return n
}

func isDigit(c byte) bool  { return c >= '0' && c <= '9' }
func isLetter(c byte) bool { return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' }
func isHex(c byte) bool    { return isDigit(c) || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F' }

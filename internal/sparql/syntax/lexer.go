package syntax

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// lexer splits a text into tokens, with one token of lookahead.
type lexer struct {
	text  string
	pos   int // byte offset after the token
	token token
}

// parseFailure is the panic value with which the package reports errors; Parse recovers it.
type parseFailure struct {
	at     int
	reason string
}

func (l *lexer) fail(at int, format string, values ...any) {
	panic(parseFailure{at, fmt.Sprintf(format, values...)})
}

// lineAndColumn converts a byte offset to a line and a column. Both count from 1, columns in characters.
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
	l.token = token{offset: at, afterSpace: at > before}
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

// isLangTagByte reports whether a byte may be in a language tag. Digits and hyphens may not be first.
func isLangTagByte(c byte, inside bool) bool {
	return isLetter(c) || inside && (isDigit(c) || c == '-')
}

func (l *lexer) readBlank() {
	text := l.text[l.pos:]
	length := localLength(text[2:], true)
	if length == 0 {
		l.fail(l.pos, "a blank node without label")
	}
	l.emit(blankNode, 2+length, text[2:2+length])
}

// emit sets the current token and advances past its bytes.
func (l *lexer) emit(kind tokenKind, length int, text string) {
	l.token.kind = kind
	l.token.text = text
	l.pos += length
}

// readPunct reads the first of the given symbols that matches at the current position.
func (l *lexer) readPunct(symbols ...string) {
	for _, symbol := range symbols {
		if strings.HasPrefix(l.text[l.pos:], symbol) {
			l.emit(punct, len(symbol), symbol)
			return
		}
	}
	r, _ := utf8.DecodeRuneInString(l.text[l.pos:])
	l.fail(l.pos, "%q begins nothing", r)
}

// iriEnd returns the length of the IRI in angle brackets at the start of s, or 0 if there is none.
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

// readString reads a short or long string literal. It checks escapes but does not resolve them.
func (l *lexer) readString(quote byte) {
	at := l.pos
	delimiter := string(quote)
	long := strings.HasPrefix(l.text[at:], strings.Repeat(delimiter, 3))
	if long {
		delimiter = strings.Repeat(delimiter, 3)
	}
	for i := at + len(delimiter); i < len(l.text); i++ {
		switch c := l.text[i]; {
		case c == '\\':
			if i+1 >= len(l.text) || strings.IndexByte("tbnrf\\\"'uU", l.text[i+1]) < 0 {
				l.fail(i, "an escape that there is not")
			}
			i++
		case strings.HasPrefix(l.text[i:], delimiter):
			l.emit(literal, i+len(delimiter)-at, "")
			return
		case !long && (c == '\n' || c == '\r'):
			l.fail(at, "a string that does not end on its line")
		}
	}
	l.fail(at, "a string that does not end")
}

// startsNumber reports whether a text, which must not be empty, begins with a number.
func startsNumber(text string) bool {
	return isDigit(text[0]) || text[0] == '.' && len(text) > 1 && isDigit(text[1])
}

// readNumber reads an unsigned number. A fraction or exponent without digits is not part of it.
func (l *lexer) readNumber() {
	s := l.text[l.pos:]
	length := digitsEnd(s, 0)
	if length+1 < len(s) && s[length] == '.' && isDigit(s[length+1]) {
		length = digitsEnd(s, length+1)
	}
	length = exponentEnd(s, length)
	l.emit(number, length, s[:length])
}

// digitsEnd returns the end of the digits that begin at an offset.
func digitsEnd(s string, at int) int {
	for at < len(s) && isDigit(s[at]) {
		at++
	}
	return at
}

// exponentEnd returns the end of the exponent that begins at an offset, or the offset itself if there is none.
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

// startsName reports whether a byte may begin a prefixed name or a keyword.
func startsName(c byte) bool { return c == ':' || isLetter(c) || c >= utf8.RuneSelf }

// readName reads a prefixed name, of the form prefix:local or prefix:, or a keyword.
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
	length := nameLength(s, false) // keywords contain no dots or hyphens
	l.emit(keyword, length, s[:length])
}

// nameLength returns the length in bytes of the name at the start of s. A prefix may contain dots and hyphens.
func nameLength(s string, isPrefix bool) int {
	n := 0
	for n < len(s) {
		r, size := utf8.DecodeRuneInString(s[n:])
		if r == utf8.RuneError && size <= 1 {
			break
		}
		if r != '_' && !unicode.IsLetter(r) && !unicode.IsDigit(r) && (!isPrefix || n == 0 || r != '-' && r != '.') {
			break
		}
		n += size
	}
	return n
}

// localLength returns the length in bytes of the local part of a prefixed name, or of the label of a blank node.
func localLength(s string, isLabel bool) int {
	length := 0
	for length < len(s) {
		size := labelSize(s[length:], length == 0)
		if size == 0 && !isLabel {
			size = localOnlySize(s[length:])
		}
		if size == 0 {
			break
		}
		length += size
	}
	return trimTrailingDots(s, length)
}

// labelSize returns the size of the character at the start if it is allowed in a label, else 0. Hyphens and dots may
// not be first.
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

// localOnlySize returns the size of the element at the start if only local parts may contain it, else 0: a colon, a
// backslash escape or a percent-encoded byte.
func localOnlySize(s string) int {
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

// trimTrailingDots returns the length without unescaped dots at its end: they terminate the triple.
func trimTrailingDots(s string, n int) int {
	for n > 0 && s[n-1] == '.' && (n < 2 || s[n-2] != '\\') {
		n--
	}
	return n
}

func isDigit(c byte) bool  { return c >= '0' && c <= '9' }
func isLetter(c byte) bool { return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' }
func isHex(c byte) bool    { return isDigit(c) || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F' }

package results

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

var errInvalidTerm = errors.New("invalid term")

const xsdNamespace = "http://www.w3.org/2001/XMLSchema#"

// parseTurtleTerm parses one term; "" is unbound.
func parseTurtleTerm(text string) (Term, error) {
	switch {
	case text == "":
		return Term{}, nil
	case text[0] == '<':
		return parseIRI(text)
	case strings.HasPrefix(text, "_:") && len(text) > 2:
		return Term{Kind: Blank, Value: text[2:]}, nil
	case text[0] == '"' || text[0] == '\'':
		return parseQuoted(text)
	case text == "true" || text == "false":
		return Term{Kind: Literal, Value: text, Datatype: xsdNamespace + "boolean"}, nil
	}
	return parseNumber(text)
}

func parseIRI(text string) (Term, error) {
	if len(text) < 2 || text[len(text)-1] != '>' || strings.ContainsAny(text[1:len(text)-1], "<> ") {
		return Term{}, errInvalidTerm
	}
	iri, ok := unescapeRunes(text[1 : len(text)-1])
	if !ok {
		return Term{}, errInvalidTerm
	}
	return Term{Kind: IRI, Value: iri}, nil
}

// parseNumber parses a number and returns it with the datatype that Turtle assigns.
func parseNumber(text string) (Term, error) {
	datatype := "integer"
	for i := range len(text) {
		c := text[i]
		switch {
		case isDigit(c), i == 0 && isSign(c):
		case c == '.' && datatype == "integer":
			datatype = "decimal"
		case isExponent(c) && i > 0:
			datatype = "double"
		case isSign(c) && isExponent(text[i-1]):
		default:
			return Term{}, errInvalidTerm
		}
	}
	return Term{Kind: Literal, Value: text, Datatype: xsdNamespace + datatype}, nil
}

func isDigit(c byte) bool    { return c >= '0' && c <= '9' }
func isSign(c byte) bool     { return c == '+' || c == '-' }
func isExponent(c byte) bool { return c == 'e' || c == 'E' }

// unescapeRunes resolves \uXXXX and \UXXXXXXXX, the only escapes in an IRI.
func unescapeRunes(text string) (string, bool) {
	if strings.IndexByte(text, '\\') < 0 {
		return text, true
	}
	var unescaped strings.Builder
	for i := 0; i < len(text); i++ {
		if text[i] != '\\' {
			unescaped.WriteByte(text[i])
			continue
		}
		r, size := escapedRune(text[i:])
		if size == 0 {
			return "", false
		}
		unescaped.WriteRune(r)
		i += size - 1
	}
	return unescaped.String(), true
}

// escapedRune returns the character of the numeric escape at the start, and the size of the escape, 0 if it is invalid.
func escapedRune(text string) (r rune, size int) {
	digits := 0
	if len(text) > 1 {
		digits = runeDigits(text[1])
	}
	size = 2 + digits
	if digits == 0 || size > len(text) {
		return 0, 0
	}
	code, err := strconv.ParseUint(text[2:size], 16, 32)
	if err != nil || !utf8.ValidRune(rune(code)) {
		return 0, 0
	}
	return rune(code), size
}

// runeDigits returns the number of hex digits after the letter of a numeric escape, or 0 for any other letter.
func runeDigits(letter byte) int {
	switch letter {
	case 'u':
		return 4
	case 'U':
		return 8
	}
	return 0
}

// parseQuoted parses a quoted literal with its language or datatype.
func parseQuoted(text string) (Term, error) {
	value, size, ok := unquote(text)
	if !ok {
		return Term{}, errInvalidTerm
	}
	term := Term{Kind: Literal, Value: value}
	suffix := text[size:]
	switch {
	case suffix == "":
	case suffix[0] == '@' && len(suffix) > 1:
		term.Lang = suffix[1:]
	case strings.HasPrefix(suffix, "^^<") && suffix[len(suffix)-1] == '>' && len(suffix) > 4:
		term.Datatype = suffix[3 : len(suffix)-1]
	default:
		return Term{}, errInvalidTerm
	}
	return term, nil
}

// unquote returns the value of the quoted string at the start, and its size in bytes with the quotes.
func unquote(text string) (value string, size int, ok bool) {
	quote := text[0]
	var unescaped strings.Builder
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case quote:
			return unescaped.String(), i + 1, true
		case '\\':
			r, escapeSize := escapedCharacter(text[i:])
			if escapeSize == 0 || i+escapeSize >= len(text) {
				return "", 0, false
			}
			unescaped.WriteRune(r)
			i += escapeSize - 1
		default:
			unescaped.WriteByte(text[i])
		}
	}
	return "", 0, false
}

// escapedCharacter returns the character of the escape at the start, and the size of the escape, 0 if it is invalid.
func escapedCharacter(text string) (r rune, size int) {
	if len(text) < 2 {
		return 0, 0
	}
	if runeDigits(text[1]) > 0 {
		return escapedRune(text)
	}
	index := strings.IndexByte("tnrbf\\\"'", text[1])
	if index < 0 {
		return 0, 0
	}
	return rune("\t\n\r\b\f\\\"'"[index]), 2
}

var turtleEscapes = strings.NewReplacer(
	"\t", `\t`, "\n", `\n`, "\r", `\r`, "\b", `\b`, "\f", `\f`, `\`, `\\`, `"`, `\"`)

// appendTurtleTerm appends a bound term.
func appendTurtleTerm(buffer []byte, term Term) []byte {
	switch term.Kind {
	case IRI:
		return appendIRI(buffer, term.Value)
	case Blank:
		buffer = append(buffer, "_:"...)
		return append(buffer, term.Value...)
	default:
		return appendLiteral(buffer, term)
	}
}

// appendIRI appends an IRI in angle brackets. It escapes characters that are not allowed there, which could break the
// line.
func appendIRI(buffer []byte, iri string) []byte {
	buffer = append(buffer, '<')
	for _, c := range []byte(iri) {
		if c <= ' ' || strings.IndexByte("<>\"{}|^`\\", c) >= 0 {
			buffer = fmt.Appendf(buffer, "\\u%04X", c)
		} else {
			buffer = append(buffer, c)
		}
	}
	return append(buffer, '>')
}

func appendLiteral(buffer []byte, term Term) []byte {
	buffer = append(buffer, '"')
	buffer = append(buffer, turtleEscapes.Replace(term.Value)...)
	buffer = append(buffer, '"')
	if term.Lang != "" {
		buffer = append(buffer, '@')
		return append(buffer, term.Lang...)
	}
	if term.Datatype == "" {
		return buffer
	}
	buffer = append(buffer, "^^<"...)
	buffer = append(buffer, term.Datatype...)
	return append(buffer, '>')
}

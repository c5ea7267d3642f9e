// Package statement extracts from a SQL statement the group of tables that it uses, which matters for placement. It
// does not parse SQL: it only distinguishes names from strings and comments.
package statement

// staging is the schema that belongs to no group.
const staging = "staging"

// maxGroupDigits limits the digits of a group number, so that it fits in 32 bits.
const maxGroupDigits = 9

// Group returns the number of the statement's group of tables. It is the number after the last underscore in the name
// of the first schema that has one, such as 17 in sales_17.orders. Strings and comments are skipped. It returns false
// if no schema has a number.
func Group(text []byte) (group uint32, found bool) {
	for at := 0; at < len(text); {
		if end := skipNonCode(text, at); end > at {
			at = end
			continue
		}
		if text[at] != '"' && !isNameByte(text[at]) {
			at++
			continue
		}
		name, end := readName(text, at)
		at = end
		dot := skipSpace(text, at)
		if !hasByte(text, dot, '.') {
			continue
		}
		if number, ok := groupNumber(name); ok {
			return number, true
		}
		_, at = readName(text, skipSpace(text, dot+1)) // skips the table name, which a column may follow
	}
	return 0, false
}

// skipNonCode returns the end of the string or comment that starts at offset at, or at itself if none does.
func skipNonCode(text []byte, at int) int {
	switch {
	case text[at] == '\'':
		return skipQuoted(text, at)
	case text[at] == '-' && hasByte(text, at+1, '-'):
		return skipLine(text, at)
	case text[at] == '/' && hasByte(text, at+1, '*'):
		return skipComment(text, at)
	}
	return at
}

func skipLine(text []byte, at int) int {
	for at < len(text) && text[at] != '\n' {
		at++
	}
	return at
}

func hasByte(text []byte, at int, c byte) bool { return at < len(text) && text[at] == c }

func isNameByte(c byte) bool {
	return c == '_' || isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func skipSpace(text []byte, at int) int {
	for at < len(text) && (text[at] == ' ' || text[at] == '\t' || text[at] == '\n' || text[at] == '\r') {
		at++
	}
	return at
}

// skipQuoted returns the end of a string or quoted name. A doubled quote is an escaped quote.
func skipQuoted(text []byte, at int) int {
	quote := text[at]
	for at++; at < len(text); at++ {
		if text[at] == quote {
			if !hasByte(text, at+1, quote) {
				return at + 1
			}
			at++
		}
	}
	return at
}

// skipComment returns the end of a comment, including comments nested in it.
func skipComment(text []byte, at int) int {
	depth := 0
	for at < len(text) {
		switch {
		case text[at] == '/' && hasByte(text, at+1, '*'):
			depth++
			at += 2
		case text[at] == '*' && hasByte(text, at+1, '/'):
			depth--
			at += 2
			if depth == 0 {
				return at
			}
		default:
			at++
		}
	}
	return at
}

// readName returns the quoted or unquoted name that starts at offset at, and its end.
func readName(text []byte, at int) ([]byte, int) {
	if hasByte(text, at, '"') {
		end := skipQuoted(text, at)
		return text[at+1 : max(at+1, end-1)], end
	}
	end := at
	for end < len(text) && isNameByte(text[end]) {
		end++
	}
	return text[at:end], end
}

// groupNumber returns the number after the last underscore of a schema's name, and whether the schema has a group.
func groupNumber(schema []byte) (number uint32, ok bool) {
	firstDigit := len(schema)
	for firstDigit > 0 && isDigit(schema[firstDigit-1]) {
		firstDigit--
	}
	if firstDigit == len(schema) || len(schema)-firstDigit > maxGroupDigits {
		return 0, false
	}
	if firstDigit < 2 || schema[firstDigit-1] != '_' || string(schema[:firstDigit-1]) == staging {
		return 0, false
	}
	for _, digit := range schema[firstDigit:] {
		number = number*10 + uint32(digit-'0')
	}
	return number, true
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

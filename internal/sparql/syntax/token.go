package syntax

// tokenKind is the lexical class of a token.
type tokenKind uint8

const (
	endOfText    tokenKind = iota
	iriRef                 // the text is without the angle brackets
	prefixedName           // prefix:local
	blankNode              // _:label
	variable               // the text is without ? or $
	literal                // a string; the text is empty
	langTag
	number
	keyword // a keyword, function name, a, true or false
	punct   // a symbol of one or two characters
)

type token struct {
	kind       tokenKind
	text       string
	offset     int  // in bytes
	afterSpace bool // white space or a comment precedes the token
}

package syntax

// tokenKind is the lexical class of a token.
type tokenKind uint8

const (
	end          tokenKind = iota
	iriRef                 // text is what stands between the brackets
	prefixedName           // prefix:local
	blank                  // _:label
	variable               // without its mark
	literal                // a string
	langTag
	number
	keyword // a keyword, a, true ...
	punct   // one or two signs
)

type token struct {
	kind   tokenKind
	text   string
	at     int  // byte offset
	spaced bool // white space stands before it
}

package syntax

// argumentCount is the allowed number of arguments of a function.
type argumentCount struct {
	min int
	max int // or unbounded
}

const unbounded = -1

// anyCount is used for functions that are not built in, and for the lists of IN and NOT IN.
var anyCount = argumentCount{0, unbounded}

func (c argumentCount) allows(arguments int) bool {
	return arguments >= c.min && (c.max == unbounded || arguments <= c.max)
}

// builtIns are the built-in functions with their argument counts, without EXISTS and the aggregates.
var builtIns = map[string]argumentCount{
	"STR": {1, 1}, "LANG": {1, 1}, "LANGMATCHES": {2, 2}, "DATATYPE": {1, 1}, "BOUND": {1, 1}, "IRI": {1, 1},
	"URI": {1, 1}, "BNODE": {0, 1}, "RAND": {0, 0}, "ABS": {1, 1}, "CEIL": {1, 1}, "FLOOR": {1, 1}, "ROUND": {1, 1},
	"CONCAT": {0, unbounded}, "STRLEN": {1, 1}, "UCASE": {1, 1}, "LCASE": {1, 1}, "ENCODE_FOR_URI": {1, 1},
	"CONTAINS": {2, 2}, "STRSTARTS": {2, 2}, "STRENDS": {2, 2}, "STRBEFORE": {2, 2}, "STRAFTER": {2, 2},
	"YEAR": {1, 1}, "MONTH": {1, 1}, "DAY": {1, 1}, "HOURS": {1, 1}, "MINUTES": {1, 1}, "SECONDS": {1, 1},
	"TIMEZONE": {1, 1}, "TZ": {1, 1}, "NOW": {0, 0}, "UUID": {0, 0}, "STRUUID": {0, 0}, "MD5": {1, 1}, "SHA1": {1, 1},
	"SHA256": {1, 1}, "SHA384": {1, 1}, "SHA512": {1, 1}, "COALESCE": {0, unbounded}, "IF": {3, 3}, "STRLANG": {2, 2},
	"STRDT": {2, 2}, "SAMETERM": {2, 2}, "ISIRI": {1, 1}, "ISURI": {1, 1}, "ISBLANK": {1, 1}, "ISLITERAL": {1, 1},
	"ISNUMERIC": {1, 1}, "REGEX": {2, 3}, "SUBSTR": {2, 3}, "REPLACE": {3, 4},
}

var aggregates = map[string]bool{
	"COUNT": true, "SUM": true, "MIN": true, "MAX": true, "AVG": true, "SAMPLE": true, "GROUP_CONCAT": true,
}

package results

import (
	"mime"
	"strconv"
	"strings"
)

// mostRanges bounds an Accept header.
const mostRanges = 64

// Negotiate chooses among offered media types by an Accept header (RFC 9110, section 12.5.1): the greatest weight, the
// more specific range of a type deciding its weight, the first offered where weights are equal. "" is anything. False:
// nothing offered is acceptable, which is 406, or the header cannot be read.
func Negotiate(accept string, offered []string) (string, bool) {
	if strings.TrimSpace(accept) == "" {
		return offered[0], true
	}
	type span struct {
		typ, sub string
		weight   float64
	}
	var spans []span
	for part := range strings.SplitSeq(accept, ",") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		media, fields, err := mime.ParseMediaType(part)
		typ, sub, whole := strings.Cut(media, "/")
		if err != nil || !whole || len(spans) == mostRanges || typ == "*" && sub != "*" {
			return "", false
		}
		s := span{typ, sub, 1}
		if q, told := fields["q"]; told {
			if s.weight, err = strconv.ParseFloat(q, 64); err != nil || !(s.weight >= 0 && s.weight <= 1) {
				return "", false
			}
		}
		spans = append(spans, s)
	}
	best, most := "", 0.0
	for _, o := range offered {
		typ, sub, _ := strings.Cut(o, "/")
		weight, exact := 0.0, -1
		for _, s := range spans {
			n := -1
			switch {
			case s.typ == typ && s.sub == sub:
				n = 2
			case s.typ == typ && s.sub == "*":
				n = 1
			case s.typ == "*":
				n = 0
			}
			if n > exact {
				weight, exact = s.weight, n
			}
		}
		if weight > most {
			best, most = o, weight
		}
	}
	return best, best != ""
}

package results

import (
	"mime"
	"strconv"
	"strings"
)

// maxMediaRanges limits the number of media ranges in an Accept header.
const maxMediaRanges = 64

// mediaRange is a media range of an Accept header.
type mediaRange struct {
	mainType string // "*": any
	subtype  string // "*": any
	weight   float64
}

// Matches of a media range, by increasing specificity.
const (
	noMatch = iota - 1
	anyTypeMatch
	mainTypeMatch
	exactMatch
)

// Negotiate chooses an offered media type by an Accept header (RFC 9110, section 12.5.1): the one with the greatest
// weight, or the first of those with equal weights. The most specific matching range determines the weight of a type.
// An empty header accepts anything. Negotiate returns false if no offered type is acceptable, which calls for status
// 406, or if the header is malformed.
func Negotiate(accept string, offered []string) (string, bool) {
	if strings.TrimSpace(accept) == "" {
		return offered[0], true
	}
	ranges, ok := parseAccept(accept)
	if !ok {
		return "", false
	}
	best := ""
	bestWeight := 0.0
	for _, mediaType := range offered {
		if weight := weightOf(mediaType, ranges); weight > bestWeight {
			best = mediaType
			bestWeight = weight
		}
	}
	return best, best != ""
}

func parseAccept(accept string) (ranges []mediaRange, ok bool) {
	for part := range strings.SplitSeq(accept, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		parsed, ok := parseMediaRange(part)
		if !ok || len(ranges) == maxMediaRanges {
			return nil, false
		}
		ranges = append(ranges, parsed)
	}
	return ranges, true
}

func parseMediaRange(text string) (mediaRange, bool) {
	mediaType, parameters, err := mime.ParseMediaType(text)
	mainType, subtype, hasSubtype := strings.Cut(mediaType, "/")
	if err != nil || !hasSubtype || mainType == "*" && subtype != "*" {
		return mediaRange{}, false
	}
	weight := 1.0
	if quality, given := parameters["q"]; given {
		weight, err = strconv.ParseFloat(quality, 64)
		if err != nil || !(weight >= 0 && weight <= 1) { // also rejects NaN
			return mediaRange{}, false
		}
	}
	return mediaRange{mainType: mainType, subtype: subtype, weight: weight}, true
}

// weightOf returns the weight of the most specific range that matches a media type, or 0 if none does.
func weightOf(mediaType string, ranges []mediaRange) float64 {
	mainType, subtype, _ := strings.Cut(mediaType, "/")
	weight := 0.0
	best := noMatch
	for _, r := range ranges {
		if match := r.match(mainType, subtype); match > best {
			weight = r.weight
			best = match
		}
	}
	return weight
}

func (r mediaRange) match(mainType, subtype string) int {
	switch {
	case r.mainType == mainType && r.subtype == subtype:
		return exactMatch
	case r.mainType == mainType && r.subtype == "*":
		return mainTypeMatch
	case r.mainType == "*":
		return anyTypeMatch
	}
	return noMatch
}

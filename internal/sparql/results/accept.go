package results

import (
	"mime"
	"strconv"
	"strings"
)

// maxMediaRanges bounds an Accept header.
const maxMediaRanges = 64

// mediaRange is one of the ranges of an Accept header.
type mediaRange struct {
	mainType string // "*": any
	subtype  string // "*": any
	weight   float64
}

// How specific a range that matches is.
const (
	noMatch = iota - 1
	anyTypeMatch
	mainTypeMatch
	exactMatch
)

// Negotiate chooses among offered media types by an Accept header (RFC 9110, section 12.5.1): the greatest weight,
// where the most specific range of a type decides its weight, and the first offered where weights are equal. "" accepts
// anything. It returns false if nothing offered is acceptable, which is 406, or if the header cannot be read.
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
		if err != nil || !(weight >= 0 && weight <= 1) { // also not a number
			return mediaRange{}, false
		}
	}
	return mediaRange{mainType: mainType, subtype: subtype, weight: weight}, true
}

// weightOf returns the weight of the most specific range that matches; 0 where none does.
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

package store

import "encoding/binary"

// maxRepairSize bounds the encoded records, in bytes, that are searched for a flipped bit: each bit costs a checksum.
const maxRepairSize = 4 << 10

// flippedBit is a bit of a text that has to be inverted.
type flippedBit struct {
	offset int
	mask   byte
}

func (f flippedBit) invert(text []byte) { text[f.offset] ^= f.mask }

// findFlippedBit finds the one bit whose inversion makes the start of a text the record that follows a position. No
// later record can prove that the last one was durable, so a flipped bit in it must not pass for a torn tail.
func findFlippedBit(text []byte, id storeID, after chainPosition) (flippedBit, bool) {
	isRecord := func() bool {
		_, err := decodeNext(text, id, after)
		return err == nil
	}
	// The length first: while it is wrong the end of the record is unknown.
	if bit, found := searchBit(text, 0, formatOffset, isRecord); found {
		return bit, true
	}
	if len(text) < recordHeaderSize {
		return flippedBit{}, false
	}
	size := recordOverhead + int(binary.LittleEndian.Uint32(text))
	if size > maxRepairSize || size > len(text) {
		return flippedBit{}, false
	}
	return searchBit(text, formatOffset, size, isRecord)
}

// searchBit inverts each bit of text[from:to] in turn and returns the first with which the text is valid. The text is
// unchanged afterwards.
func searchBit(text []byte, from, to int, isValid func() bool) (flippedBit, bool) {
	for offset := from; offset < min(to, len(text)); offset++ {
		for bit := range 8 {
			candidate := flippedBit{offset: offset, mask: 1 << bit}
			candidate.invert(text)
			valid := isValid()
			candidate.invert(text)
			if valid {
				return candidate, true
			}
		}
	}
	return flippedBit{}, false
}

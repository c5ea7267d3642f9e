package store

import "encoding/binary"

// maxRepairSize is the size of the largest encoded record, in bytes, that is searched for a flipped bit: the search
// computes a checksum of the record for each of its bits.
const maxRepairSize = 4 << 10

// flippedBit is the position of a bit that has to be inverted.
type flippedBit struct {
	offset int
	mask   byte
}

func (f flippedBit) invert(data []byte) { data[f.offset] ^= f.mask }

// findFlippedBit finds the one bit whose inversion turns the start of data into the record that follows a position. The
// last record needs this most: as no later record proves that it was durable, it would be dropped as a torn tail.
func findFlippedBit(data []byte, id storeID, after chainPosition) (flippedBit, bool) {
	isRecord := func() bool {
		_, err := decodeNext(data, id, after)
		return err == nil
	}
	// The length first: while it is wrong, the end of the record is unknown.
	if bit, found := searchBit(data, 0, formatOffset, isRecord); found {
		return bit, true
	}
	if len(data) < recordHeaderSize {
		return flippedBit{}, false
	}
	size := recordOverhead + int(binary.LittleEndian.Uint32(data))
	if size > maxRepairSize || size > len(data) {
		return flippedBit{}, false
	}
	return searchBit(data, formatOffset, size, isRecord)
}

// searchBit inverts each bit of data[from:to] in turn and returns the first one whose inversion makes the data valid.
// It leaves the data unchanged.
func searchBit(data []byte, from, to int, isValid func() bool) (flippedBit, bool) {
	for offset := from; offset < min(to, len(data)); offset++ {
		for bit := range 8 {
			candidate := flippedBit{offset: offset, mask: 1 << bit}
			candidate.invert(data)
			valid := isValid()
			candidate.invert(data)
			if valid {
				return candidate, true
			}
		}
	}
	return flippedBit{}, false
}

package store

import (
	"encoding/binary"
	"fmt"
	"slices"
)

// Layout of the header of a segment or checkpoint; see the package documentation.
const (
	segmentMagic    = "SWRLOG\x00\x01"
	checkpointMagic = "SWRCKP\x00\x01"
	formatVersion   = 1

	versionOffset        = 8
	storeIDOffset        = 12
	headerSeqOffset      = 28
	headerPreviousOffset = 36
	headerChecksumOffset = 44
	headerSize           = headerChecksumOffset + checksumSize
)

// header is the start of a segment or checkpoint.
type header struct {
	store    storeID
	seq      uint64 // segment: of its first record; checkpoint: of the last record that it stands for
	previous uint64 // segment: checksum of the record before its first; checkpoint: of the last that it stands for
}

func (h header) encode(magic string) []byte {
	text := make([]byte, 0, headerSize)
	text = append(text, magic...)
	text = binary.LittleEndian.AppendUint16(text, formatVersion)
	text = append(text, 0, 0)
	text = append(text, h.store[:]...)
	text = binary.LittleEndian.AppendUint64(text, h.seq)
	text = binary.LittleEndian.AppendUint64(text, h.previous)
	return binary.LittleEndian.AppendUint64(text, checksumOf(storeID{}, text))
}

// decodeHeader decodes the header at the start of a file. A single flipped bit in it is repaired, in a copy.
func decodeHeader(text []byte, magic string) (h header, isRepaired bool, err error) {
	if len(text) < headerSize {
		return header{}, false, errTruncated
	}
	text = slices.Clone(text[:headerSize])
	isValid := func() bool {
		stored := binary.LittleEndian.Uint64(text[headerChecksumOffset:])
		return stored == checksumOf(storeID{}, text[:headerChecksumOffset])
	}
	if !isValid() {
		bit, found := searchBit(text, 0, headerSize, isValid)
		if !found {
			return header{}, false, errBadHeader
		}
		bit.invert(text)
		isRepaired = true
	}
	if string(text[:versionOffset]) != magic {
		return header{}, false, errBadHeader
	}
	if version := binary.LittleEndian.Uint16(text[versionOffset:]); version != formatVersion {
		return header{}, false, fmt.Errorf("version %d: %w", version, ErrUnsupportedVersion)
	}
	copy(h.store[:], text[storeIDOffset:])
	h.seq = binary.LittleEndian.Uint64(text[headerSeqOffset:])
	h.previous = binary.LittleEndian.Uint64(text[headerPreviousOffset:])
	return h, isRepaired, nil
}

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

	versionOffset                = 8
	storeIDOffset                = 12
	headerSeqOffset              = 28
	headerPreviousChecksumOffset = 36
	headerChecksumOffset         = 44
	headerSize                   = headerChecksumOffset + checksumSize
)

// header is the start of a segment or checkpoint.
type header struct {
	store            storeID
	seq              uint64 // segment: of its first record; checkpoint: of the last record that it replaces
	previousChecksum uint64 // segment: of the record before its first; checkpoint: of the last that it replaces
}

func (h header) encode(magic string) []byte {
	data := make([]byte, 0, headerSize)
	data = append(data, magic...)
	data = binary.LittleEndian.AppendUint16(data, formatVersion)
	data = append(data, 0, 0)
	data = append(data, h.store[:]...)
	data = binary.LittleEndian.AppendUint64(data, h.seq)
	data = binary.LittleEndian.AppendUint64(data, h.previousChecksum)
	return binary.LittleEndian.AppendUint64(data, checksumOf(storeID{}, data))
}

// decodeHeader decodes the header at the start of a file. A single flipped bit in it is repaired, in a copy.
func decodeHeader(data []byte, magic string) (h header, isRepaired bool, err error) {
	if len(data) < headerSize {
		return header{}, false, errTruncated
	}
	data = slices.Clone(data[:headerSize])
	isValid := func() bool {
		stored := binary.LittleEndian.Uint64(data[headerChecksumOffset:])
		return stored == checksumOf(storeID{}, data[:headerChecksumOffset])
	}
	if !isValid() {
		bit, found := searchBit(data, 0, headerSize, isValid)
		if !found {
			return header{}, false, errBadHeader
		}
		bit.invert(data)
		isRepaired = true
	}
	if string(data[:versionOffset]) != magic {
		return header{}, false, errBadHeader
	}
	if version := binary.LittleEndian.Uint16(data[versionOffset:]); version != formatVersion {
		return header{}, false, fmt.Errorf("version %d: %w", version, ErrUnsupportedVersion)
	}
	copy(h.store[:], data[storeIDOffset:])
	h.seq = binary.LittleEndian.Uint64(data[headerSeqOffset:])
	h.previousChecksum = binary.LittleEndian.Uint64(data[headerPreviousChecksumOffset:])
	return h, isRepaired, nil
}

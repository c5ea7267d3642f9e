package store

// scanResult is what was read of the records of one file.
type scanResult struct {
	records     []Record
	tail        chainPosition // of the last record
	validBytes  int64         // offset up to which the file could be read
	stopReason  error         // why it could not be read further; nil: it was read to its end
	repairedAt  []int64       // offsets of flipped bits
	fileContent []byte
}

// invalidTail is the part of the file that could not be read.
func (s scanResult) invalidTail() []byte { return s.fileContent[s.validBytes:] }

// scanRecords reads the records behind the header of a file, the first of which must follow a position. It repairs
// single flipped bits in place and stops at the first record that it cannot read.
func scanRecords(text []byte, id storeID, after chainPosition) scanResult {
	result := scanResult{tail: after, fileContent: text}
	offset := headerSize
	for offset < len(text) {
		remaining := text[offset:]
		r, err := decodeNext(remaining, id, result.tail)
		if err != nil {
			bit, found := findFlippedBit(remaining, id, result.tail)
			if !found {
				result.stopReason = err
				break
			}
			bit.invert(remaining)
			result.repairedAt = append(result.repairedAt, int64(offset+bit.offset))
			r, _ = decodeNext(remaining, id, result.tail) // findFlippedBit has decoded it
		}
		result.records = append(result.records, r.Record)
		result.tail = r.position()
		offset += r.size
	}
	result.validBytes = int64(offset)
	return result
}

// provesDurable reports whether a text holds a record of the store which shows that the record with a sequence number
// was durable when it was written. Then a place before it that cannot be read is damage, not a torn tail.
func provesDurable(text []byte, id storeID, seq uint64) bool {
	for offset := 0; offset+recordOverhead <= len(text); offset++ {
		if text[offset+formatOffset] != recordFormat {
			continue // spares the checksum
		}
		r, err := decodeRecord(text[offset:], id)
		if err == nil && r.Seq > seq && r.durable >= seq {
			return true
		}
	}
	return false
}

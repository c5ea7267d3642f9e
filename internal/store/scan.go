package store

// scanResult is the outcome of reading the records of one file.
type scanResult struct {
	records         []Record
	tail            chainPosition // of the last record
	validBytes      int64         // end of the last record that was read
	stopReason      error         // nil if the file was read to its end
	repairedOffsets []int64       // offsets of flipped bits
	fileContent     []byte
}

// invalidTail returns the bytes after the last record that was read.
func (s scanResult) invalidTail() []byte { return s.fileContent[s.validBytes:] }

// scanRecords decodes the records after the header of a file, the first of which must follow a position. It repairs
// single flipped bits in place and stops at the first record that it cannot decode or repair.
func scanRecords(data []byte, id storeID, after chainPosition) scanResult {
	result := scanResult{tail: after, fileContent: data}
	offset := headerSize
	for offset < len(data) {
		remaining := data[offset:]
		r, err := decodeNext(remaining, id, result.tail)
		if err != nil {
			bit, found := findFlippedBit(remaining, id, result.tail)
			if !found {
				result.stopReason = err
				break
			}
			bit.invert(remaining)
			result.repairedOffsets = append(result.repairedOffsets, int64(offset+bit.offset))
			r, _ = decodeNext(remaining, id, result.tail) // findFlippedBit has decoded it
		}
		result.records = append(result.records, r.Record)
		result.tail = r.position()
		offset += r.size
	}
	result.validBytes = int64(offset)
	return result
}

// provesDurable reports whether data holds, at any offset, a record of the store that was written after the record with
// the given sequence number was durable. If so, unreadable bytes before it are corruption, not a torn tail.
func provesDurable(data []byte, id storeID, seq uint64) bool {
	for offset := 0; offset+recordOverhead <= len(data); offset++ {
		if data[offset+formatOffset] != recordFormat {
			continue // avoids computing a checksum at this offset
		}
		r, err := decodeRecord(data[offset:], id)
		if err == nil && r.Seq > seq && r.durableSeq >= seq {
			return true
		}
	}
	return false
}

package store

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Kind is the type of a record. Callers assign the meaning of each kind; 255 is reserved.
type Kind uint8

// checkpointEnd is the kind of the last record of a checkpoint.
const checkpointEnd = Kind(255)

// Record is one entry of the log.
type Record struct {
	Seq     uint64 // sequence number, from 1 without gaps; set by the log
	Kind    Kind
	Payload []byte // at most MaxPayload bytes
}

// MaxPayload is the largest payload of a record, in bytes.
const MaxPayload = 1 << 20

// Layout of a record; see the package documentation.
const (
	recordFormat           = 1
	formatOffset           = 4
	kindOffset             = 5
	seqOffset              = 6
	durableSeqOffset       = 14
	previousChecksumOffset = 22
	recordHeaderSize       = 30
	checksumSize           = 8
	recordOverhead         = recordHeaderSize + checksumSize
)

// storeID is the identity of a store, chosen at random when it is created. It is part of each record's checksum.
type storeID [16]byte

// chainPosition is a position in the chain of records, given by the sequence number and checksum of the record before
// it. The record at the position has the sequence number seq+1 and stores the checksum.
type chainPosition struct {
	seq      uint64
	checksum uint64
}

// decodedRecord is a record with the fields that link it to its neighbours. The payload is a slice of the decoded data.
type decodedRecord struct {
	Record
	durableSeq       uint64 // all records up to this number were durable when this one was written
	previousChecksum uint64 // of the record before
	checksum         uint64
	size             int // encoded, in bytes
}

func (r decodedRecord) position() chainPosition {
	return chainPosition{seq: r.Seq, checksum: r.checksum}
}

func checksumOf(id storeID, data []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(id[:]) // never fails
	_, _ = digest.Write(data)
	return digest.Sum64()
}

// appendRecord appends the encoding of the record that follows a position and returns the position after it. All
// records up to durableSeq are durable by now.
func appendRecord(buffer []byte, id storeID, after chainPosition, durableSeq uint64, r Record) ([]byte, chainPosition) {
	start := len(buffer)
	seq := after.seq + 1
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(r.Payload)))
	buffer = append(buffer, recordFormat, byte(r.Kind))
	buffer = binary.LittleEndian.AppendUint64(buffer, seq)
	buffer = binary.LittleEndian.AppendUint64(buffer, durableSeq)
	buffer = binary.LittleEndian.AppendUint64(buffer, after.checksum)
	buffer = append(buffer, r.Payload...)
	checksum := checksumOf(id, buffer[start:])
	buffer = binary.LittleEndian.AppendUint64(buffer, checksum)
	return buffer, chainPosition{seq: seq, checksum: checksum}
}

// decodeRecord decodes the record at the start of data, whatever its position in the chain.
func decodeRecord(data []byte, id storeID) (decodedRecord, error) {
	if len(data) < recordHeaderSize {
		return decodedRecord{}, errTruncated
	}
	payloadSize := binary.LittleEndian.Uint32(data)
	if data[formatOffset] != recordFormat || payloadSize > MaxPayload {
		return decodedRecord{}, errNotARecord
	}
	size := recordOverhead + int(payloadSize)
	if len(data) < size {
		return decodedRecord{}, errTruncated
	}
	body := data[:size-checksumSize]
	checksum := binary.LittleEndian.Uint64(data[len(body):])
	if checksumOf(id, body) != checksum {
		return decodedRecord{}, errChecksum
	}
	return decodedRecord{
		Record: Record{
			Seq:     binary.LittleEndian.Uint64(data[seqOffset:]),
			Kind:    Kind(data[kindOffset]),
			Payload: body[recordHeaderSize:],
		},
		durableSeq:       binary.LittleEndian.Uint64(data[durableSeqOffset:]),
		previousChecksum: binary.LittleEndian.Uint64(data[previousChecksumOffset:]),
		checksum:         checksum,
		size:             size,
	}, nil
}

// decodeNext decodes the record at the start of data, which must be the one that follows a position.
func decodeNext(data []byte, id storeID, after chainPosition) (decodedRecord, error) {
	r, err := decodeRecord(data, id)
	if err != nil {
		return decodedRecord{}, err
	}
	if r.Seq != after.seq+1 || r.previousChecksum != after.checksum {
		return decodedRecord{}, errOutOfSequence
	}
	return r, nil
}

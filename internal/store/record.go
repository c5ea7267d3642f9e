package store

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Kind says what a record is about. Its meaning is the caller's; kind 255 is reserved.
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
	recordFormat     = 1
	formatOffset     = 4
	kindOffset       = 5
	seqOffset        = 6
	durableOffset    = 14
	previousOffset   = 22
	recordHeaderSize = 30
	checksumSize     = 8
	recordOverhead   = recordHeaderSize + checksumSize
)

// storeID is the identity of a store, drawn when it is created. It is part of each record's checksum.
type storeID [16]byte

// chainPosition is a place in the chain of records: the last record before it. The next record has the sequence
// number seq+1 and refers to the checksum.
type chainPosition struct {
	seq      uint64
	checksum uint64
}

// decodedRecord is a record with what the chain needs of it. The payload is a slice of the decoded text.
type decodedRecord struct {
	Record
	durable  uint64 // all records up to this number were durable when this one was written
	previous uint64 // checksum of the record before
	checksum uint64
	size     int // encoded, in bytes
}

func (r decodedRecord) position() chainPosition {
	return chainPosition{seq: r.Seq, checksum: r.checksum}
}

func checksumOf(id storeID, text []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(id[:]) // never fails
	_, _ = digest.Write(text)
	return digest.Sum64()
}

// appendRecord encodes the record that follows a position and returns its own position. Its number is that of the
// position plus one; durable is the number up to which all records are durable by now.
func appendRecord(buffer []byte, id storeID, after chainPosition, durable uint64, r Record) ([]byte, chainPosition) {
	start := len(buffer)
	seq := after.seq + 1
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(r.Payload)))
	buffer = append(buffer, recordFormat, byte(r.Kind))
	buffer = binary.LittleEndian.AppendUint64(buffer, seq)
	buffer = binary.LittleEndian.AppendUint64(buffer, durable)
	buffer = binary.LittleEndian.AppendUint64(buffer, after.checksum)
	buffer = append(buffer, r.Payload...)
	checksum := checksumOf(id, buffer[start:])
	buffer = binary.LittleEndian.AppendUint64(buffer, checksum)
	return buffer, chainPosition{seq: seq, checksum: checksum}
}

// decodeRecord decodes the record at the start of a text, wherever it stands in the chain.
func decodeRecord(text []byte, id storeID) (decodedRecord, error) {
	if len(text) < recordHeaderSize {
		return decodedRecord{}, errTruncated
	}
	payloadSize := binary.LittleEndian.Uint32(text)
	if text[formatOffset] != recordFormat || payloadSize > MaxPayload {
		return decodedRecord{}, errNotARecord
	}
	size := recordOverhead + int(payloadSize)
	if len(text) < size {
		return decodedRecord{}, errTruncated
	}
	body := text[:size-checksumSize]
	checksum := binary.LittleEndian.Uint64(text[len(body):])
	if checksumOf(id, body) != checksum {
		return decodedRecord{}, errChecksum
	}
	return decodedRecord{
		Record: Record{
			Seq:     binary.LittleEndian.Uint64(text[seqOffset:]),
			Kind:    Kind(text[kindOffset]),
			Payload: body[recordHeaderSize:],
		},
		durable:  binary.LittleEndian.Uint64(text[durableOffset:]),
		previous: binary.LittleEndian.Uint64(text[previousOffset:]),
		checksum: checksum,
		size:     size,
	}, nil
}

// decodeNext decodes the record at the start of a text, which must be the one that follows a position.
func decodeNext(text []byte, id storeID, after chainPosition) (decodedRecord, error) {
	r, err := decodeRecord(text, id)
	if err != nil {
		return decodedRecord{}, err
	}
	if r.Seq != after.seq+1 || r.previous != after.checksum {
		return decodedRecord{}, errOutOfSequence
	}
	return r, nil
}

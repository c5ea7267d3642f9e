// Package wire implements the simulator's wire protocol: it decodes batches of events and encodes replies of actions.
// It reads and writes only the streams of its callers, and has no state but the contents of a Reply. Its functions
// are safe for concurrent use; a Reply is not.
//
// A frame is a length of 4 bytes and a body of that length: a fixed header, records of one size, and a tail of
// variable length that records refer to by offset and length. All numbers are big-endian.
package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"swiftreel/choice"
)

// InstanceID identifies a hosted controller.
type InstanceID uint16

// EngineListID identifies an engine list that a RegisterEngines record registers.
type EngineListID uint16

// RecordKind is the kind of a record. It tells records for the adapter itself from events of an instance.
type RecordKind uint8

// The kinds of record.
const (
	InstanceEvent RecordKind = iota
	StartInstance
	StopInstance
	RegisterEngines
)

// Record is one record of a batch.
type Record struct {
	Kind     RecordKind
	Instance InstanceID
	List     EngineListID         // of RegisterEngines, and of an EnginesListed event
	Engines  []choice.EngineEntry // of RegisterEngines
	Settings []byte               // of StartInstance, JSON
	Event    choice.Event         // of StartInstance and InstanceEvent
}

// Batch holds all events of one point in time.
type Batch struct {
	Now     choice.Nanos
	Records []Record
}

const (
	lengthSize   = 4
	headerSize   = 12 // the time and the number of records
	recordSize   = 48
	maxFrameSize = 1 << 30 // a frame with a greater length is malformed
)

// ErrFrame is the error of a malformed frame.
var ErrFrame = errors.New("malformed frame")

// ReadBatch reads one batch. It returns io.EOF if the input ended between two frames; any other error wraps ErrFrame.
func ReadBatch(r *bufio.Reader) (Batch, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("%w: length: %w", ErrFrame, err)
	}
	size := binary.BigEndian.Uint32(length[:])
	if size < headerSize || size > maxFrameSize {
		return Batch{}, fmt.Errorf("%w: length %d", ErrFrame, size)
	}
	frame, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return Batch{}, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	if len(frame) != int(size) {
		return Batch{}, fmt.Errorf("%w: %d of %d bytes", ErrFrame, len(frame), size)
	}
	return decodeBatch(frame)
}

func decodeBatch(frame []byte) (Batch, error) {
	batch := Batch{Now: choice.Nanos(binary.BigEndian.Uint64(frame))}
	count := int64(binary.BigEndian.Uint32(frame[8:]))
	tailStart := headerSize + count*recordSize
	if tailStart > int64(len(frame)) {
		return Batch{}, fmt.Errorf("%w: %d records in %d bytes", ErrFrame, count, len(frame))
	}
	batch.Records = make([]Record, 0, count)
	for i := range int(count) {
		raw := frame[headerSize+i*recordSize:][:recordSize]
		record, err := decodeRecord(raw, frame[tailStart:])
		if err != nil {
			return Batch{}, fmt.Errorf("%w: record %d: %w", ErrFrame, i, err)
		}
		batch.Records = append(batch.Records, record)
	}
	return batch, nil
}

// Package wire is the codec of the simulator's frames: batches of events in, replies of actions out. It owns no
// state but what a Reply gathers, decides nothing and does no I/O of its own; its functions may be called from
// several goroutines, a Reply from one.
//
// A frame is a length of 4 bytes and so many bytes: a fixed head, records of one size, and a tail that records refer
// to by offset and length. All numbers are big-endian.
package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"swiftreel/choice"
)

// Instance numbers one hosted controller.
type Instance uint16

// SetID numbers a list of engines that a RegisterEngines record hands over.
type SetID uint16

// RecordKind tells records for the adapter itself from those meant for an instance.
type RecordKind uint8

// The kinds of record.
const (
	ForInstance RecordKind = iota
	StartInstance
	StopInstance
	RegisterEngines
)

// Record is one record of a batch.
type Record struct {
	Kind     RecordKind
	Instance Instance
	Set      SetID                // of RegisterEngines, and of an event that lists engines
	Engines  []choice.EngineEntry // of RegisterEngines
	Settings []byte               // of StartInstance, as JSON text
	Event    choice.Event         // of StartInstance and ForInstance
}

// Batch is all that happened at one time.
type Batch struct {
	Now     choice.Nanos
	Records []Record
}

const (
	lengthSize = 4
	headSize   = 12 // the clock and the number of records
	recordSize = 48
	maxFrame   = 1 << 30 // a length beyond this is a broken frame
)

// ErrFrame is the error of a frame that does not read as one.
var ErrFrame = errors.New("malformed frame")

// ReadBatch reads one batch. The error is io.EOF where the input ended between two frames, else one that wraps
// ErrFrame.
func ReadBatch(r *bufio.Reader) (Batch, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("%w: length: %w", ErrFrame, err)
	}
	size := binary.BigEndian.Uint32(length[:])
	if size < headSize || size > maxFrame {
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
	tailAt := headSize + count*recordSize
	if tailAt > int64(len(frame)) {
		return Batch{}, fmt.Errorf("%w: %d records in %d bytes", ErrFrame, count, len(frame))
	}
	batch.Records = make([]Record, 0, count)
	for i := range int(count) {
		fields := frame[headSize+i*recordSize:][:recordSize]
		record, err := decodeRecord(fields, frame[tailAt:])
		if err != nil {
			return Batch{}, fmt.Errorf("%w: record %d: %w", ErrFrame, i, err)
		}
		batch.Records = append(batch.Records, record)
	}
	return batch, nil
}

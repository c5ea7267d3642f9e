package store

import (
	"crypto/rand"
	"errors"
	"io"
)

// Options are the settings of a log.
type Options struct {
	SegmentBytes int64 // size from which on a segment is closed and the next one started
}

// DefaultOptions returns the settings for production use.
func DefaultOptions() Options { return Options{SegmentBytes: 16 << 20} }

// Log is an open store. It is for one goroutine at a time; use a Committer for many. After an error of the disk, Append
// and Checkpoint fail with that error: a failed sync may have lost data, which a later sync would not report. Reopen
// the store to continue from what the disk holds.
type Log struct {
	disk    Disk
	options Options
	id      storeID

	tail        chainPosition // of the last durable record
	segment     File          // nil once closed
	segmentSize int64         // bytes
	buffer      []byte        // reused by Append
	failure     error         // first error, or ErrClosed; returned by every later Append and Checkpoint
}

// Open replays all records of a store in order, those of the checkpoint first, and starts a segment for new ones. On an
// empty disk it creates a store. An error of replay is returned as a CorruptError for the file.
func Open(disk Disk, options Options, replay func(Record) error) (*Log, Report, error) {
	l := loader{disk: disk, replay: replay}
	err := l.load()
	log := &Log{disk: disk, options: options, id: l.id, tail: l.tail}
	if err != nil {
		return log, l.report, err
	}
	if log.id == (storeID{}) {
		_, _ = rand.Read(log.id[:]) // never fails
	}
	return log, l.report, log.startSegment()
}

// Inspect replays the records of a store as Open does, but does not modify the store.
func Inspect(disk Disk, replay func(Record) error) (Report, error) {
	l := loader{disk: disk, replay: replay, isReadOnly: true}
	err := l.load()
	return l.report, err
}

// startSegment closes the current segment and creates the next one, whose header is durable when it returns.
func (l *Log) startSegment() error {
	if l.segment != nil {
		if err := l.segment.Close(); err != nil {
			return l.fail(err)
		}
		l.segment = nil
	}
	first := l.tail.seq + 1
	segment, err := l.disk.Create(segmentName(first))
	if err != nil {
		return l.fail(err)
	}
	l.segment = segment
	data := header{store: l.id, seq: first, previousChecksum: l.tail.checksum}.encode(segmentMagic)
	if err := writeAll(segment, data); err != nil {
		return l.fail(err)
	}
	if err := errors.Join(segment.Sync(), l.disk.Sync()); err != nil {
		return l.fail(err)
	}
	l.segmentSize = int64(len(data))
	return nil
}

// fail returns err, and keeps it as the failure of the log unless there was an earlier one.
func (l *Log) fail(err error) error {
	if l.failure == nil {
		l.failure = err
	}
	return err
}

// Append writes records and makes them durable with one sync. It returns the sequence number of the first; those of the
// others follow without gaps. Nothing is written if a payload is too large (ErrPayloadTooLarge).
func (l *Log) Append(records []Record) (first uint64, err error) {
	if l.failure != nil {
		return 0, l.failure
	}
	for _, r := range records {
		if len(r.Payload) > MaxPayload {
			return 0, ErrPayloadTooLarge
		}
	}
	if l.segmentSize >= l.options.SegmentBytes {
		if err := l.startSegment(); err != nil {
			return 0, err
		}
	}
	l.buffer = l.buffer[:0]
	tail := l.tail
	for _, r := range records {
		l.buffer, tail = appendRecord(l.buffer, l.id, tail, l.tail.seq, r)
	}
	if err := writeAll(l.segment, l.buffer); err != nil {
		return 0, l.fail(err)
	}
	if err := l.segment.Sync(); err != nil {
		return 0, l.fail(err)
	}
	first = l.tail.seq + 1
	l.tail = tail
	l.segmentSize += int64(len(l.buffer))
	return first, nil
}

// LastSeq returns the sequence number of the last durable record; 0 if there is none.
func (l *Log) LastSeq() uint64 { return l.tail.seq }

// Close closes the current segment. Append and Checkpoint fail with ErrClosed afterwards.
func (l *Log) Close() error {
	if l.segment == nil {
		return nil
	}
	err := l.segment.Close()
	l.segment = nil
	l.failure = ErrClosed
	return err
}

func writeAll(file File, data []byte) error {
	n, err := file.Write(data)
	if err == nil && n < len(data) {
		return io.ErrShortWrite
	}
	return err
}

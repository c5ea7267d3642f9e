package store

import (
	"errors"
	"fmt"
	"slices"
)

// Report says what Open or Inspect found.
type Report struct {
	Records      int      // replayed
	TornBytes    int64    // dropped behind the last complete record; they were never acknowledged
	RepairedBits []string // single flipped bits: file and offset
	RemovedFiles []string // left behind by a crash
}

// loader reads the files of a store and replays their records.
type loader struct {
	disk       Disk
	replay     func(Record) error
	isReadOnly bool

	id     storeID
	tail   chainPosition // of the last record replayed
	report Report
}

// fileList is what a store's directory holds, each in the order of names, which is that of sequence numbers.
type fileList struct {
	all        []string
	segments   []string
	checkpoint string // the newest; empty: none
}

func listFiles(disk Disk) (fileList, error) {
	names, err := disk.List()
	if err != nil {
		return fileList{}, err
	}
	files := fileList{all: names}
	for _, name := range names {
		switch {
		case isSegment(name):
			files.segments = append(files.segments, name)
		case isCheckpoint(name):
			files.checkpoint = name
		}
	}
	return files, nil
}

// load replays the newest checkpoint and the segments behind it, and removes what a crash left behind.
func (l *loader) load() error {
	files, err := listFiles(l.disk)
	if err != nil {
		return err
	}
	if files.checkpoint != "" {
		if err := l.loadCheckpoint(files.checkpoint); err != nil {
			return err
		}
	}
	isObsolete := func(name string) bool { return l.isObsolete(name, files.checkpoint) }
	for _, name := range files.all {
		if !isObsolete(name) {
			continue
		}
		if err := l.remove(name); err != nil {
			return err
		}
	}
	segments := slices.DeleteFunc(files.segments, isObsolete)
	for i, name := range segments {
		isLast := i == len(segments)-1
		if err := l.loadSegment(name, isLast); err != nil {
			return err
		}
	}
	return nil
}

// isObsolete reports whether a file is one that a crash left behind: partially written, or replaced by a checkpoint.
func (l *loader) isObsolete(name, checkpoint string) bool {
	switch {
	case isCheckpoint(name):
		return name < checkpoint
	case isSegment(name):
		return checkpoint != "" && seqOf(name) <= seqOf(checkpoint)
	default:
		return true
	}
}

func (l *loader) remove(name string) error {
	l.report.RemovedFiles = append(l.report.RemovedFiles, name)
	if l.isReadOnly {
		return nil
	}
	return l.disk.Remove(name)
}

// loadCheckpoint replays a checkpoint. It was complete and durable before it got its name, so all of it must be
// readable.
func (l *loader) loadCheckpoint(name string) error {
	text, err := l.disk.Read(name)
	if err != nil {
		return err
	}
	h, isRepaired, err := decodeHeader(text, checkpointMagic)
	if err != nil {
		return &CorruptError{File: name, Err: err}
	}
	if h.seq != seqOf(name) {
		return &CorruptError{File: name, Err: fmt.Errorf("checkpoint of record %d", h.seq)}
	}
	l.noteHeader(name, isRepaired)
	scan := scanRecords(text, h.store, chainPosition{checksum: h.previous})
	l.noteRepairs(name, scan.repairedAt)
	if scan.stopReason != nil {
		return &CorruptError{File: name, Offset: scan.validBytes, Err: scan.stopReason}
	}
	last := len(scan.records) - 1
	if last < 0 || scan.records[last].Kind != checkpointEnd {
		return &CorruptError{File: name, Offset: scan.validBytes, Err: errTruncated}
	}
	if err := l.replayAll(name, scan.records[:last]); err != nil {
		return err
	}
	l.id = h.store
	l.tail = chainPosition{seq: h.seq, checksum: h.previous}
	return nil
}

// loadSegment replays a segment. Only the last one may end in a tail that cannot be read.
func (l *loader) loadSegment(name string, isLast bool) error {
	text, err := l.disk.Read(name)
	if err != nil {
		return err
	}
	h, isRepaired, err := decodeHeader(text, segmentMagic)
	if isLast && isUnfinishedHeader(text, err) {
		l.report.TornBytes += int64(len(text))
		return l.remove(name)
	}
	if err != nil {
		return &CorruptError{File: name, Err: err}
	}
	l.noteHeader(name, isRepaired)
	if err := l.checkPlace(name, h); err != nil {
		return err
	}
	scan := scanRecords(text, l.id, l.tail)
	l.noteRepairs(name, scan.repairedAt)
	if err := l.replayAll(name, scan.records); err != nil {
		return err
	}
	l.tail = scan.tail
	if err := l.checkTail(name, isLast, scan); err != nil {
		return err
	}
	if !isLast {
		return nil
	}
	l.report.TornBytes += int64(len(scan.invalidTail()))
	if l.isReadOnly || len(scan.records) == 0 { // an empty one is created once more under the same name
		return nil
	}
	return rewriteSegment(l.disk, name, text[:scan.validBytes])
}

// checkTail checks that a segment was read to its end, or that what could not be read of the last one was never
// durable.
func (l *loader) checkTail(name string, isLast bool, scan scanResult) error {
	if scan.stopReason == nil {
		return nil
	}
	next := l.tail.seq + 1
	if isLast && !provesDurable(scan.invalidTail(), l.id, next) {
		return nil
	}
	reason := fmt.Errorf("record %d was durable: %w", next, scan.stopReason)
	return &CorruptError{File: name, Offset: scan.validBytes, Err: reason}
}

// isUnfinishedHeader reports whether a segment was cut off while it was created. Its header is durable before any
// record is written to it, so there is nothing behind such a header.
func isUnfinishedHeader(text []byte, err error) bool {
	if errors.Is(err, errTruncated) {
		return true
	}
	return errors.Is(err, errBadHeader) && isAllZero(text[headerSize:])
}

func isAllZero(text []byte) bool {
	return !slices.ContainsFunc(text, func(b byte) bool { return b != 0 })
}

// checkPlace checks that a segment belongs to the store and follows the records replayed so far. The first segment of
// a store without a checkpoint says which store it is.
func (l *loader) checkPlace(name string, h header) error {
	if l.tail.seq == 0 && l.id == (storeID{}) {
		l.id = h.store
		l.tail.checksum = h.previous
	}
	if h.store != l.id {
		return &CorruptError{File: name, Err: errOtherStore}
	}
	next := l.tail.seq + 1
	if h.seq != seqOf(name) || h.seq != next || h.previous != l.tail.checksum {
		reason := fmt.Errorf("segment starts at record %d, expected record %d: %w", h.seq, next, errOutOfSequence)
		return &CorruptError{File: name, Err: reason}
	}
	return nil
}

func (l *loader) replayAll(name string, records []Record) error {
	for _, r := range records {
		if err := l.replay(r); err != nil {
			return &CorruptError{File: name, Err: err}
		}
		l.report.Records++
	}
	return nil
}

func (l *loader) noteHeader(name string, isRepaired bool) {
	if isRepaired {
		l.report.RepairedBits = append(l.report.RepairedBits, name+", head")
	}
}

func (l *loader) noteRepairs(name string, offsets []int64) {
	for _, offset := range offsets {
		l.report.RepairedBits = append(l.report.RepairedBits, fmt.Sprintf("%s, offset %d", name, offset))
	}
}

// rewriteSegment writes the last segment once more. What can be read of it need not be durable: where a sync has
// failed before, it would be gone after the next crash, while records written from now on would not.
func rewriteSegment(disk Disk, name string, text []byte) error {
	file, err := disk.Create(partialSegment)
	if err != nil {
		return err
	}
	if err := errors.Join(writeAll(file, text), file.Sync(), file.Close()); err != nil {
		return err
	}
	return errors.Join(disk.Rename(partialSegment, name), disk.Sync())
}

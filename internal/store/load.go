package store

import (
	"errors"
	"fmt"
	"slices"
)

// Report is what Open or Inspect found in a store.
type Report struct {
	Records      int      // replayed
	TornBytes    int64    // dropped after the last complete record; never acknowledged
	RepairedBits []string // file and offset of each single flipped bit
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

// fileList is the files of a store in lexical order, which is also that of their sequence numbers.
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

// load replays the newest checkpoint and the segments after it, and removes files that a crash left behind.
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

// isObsolete reports whether a file is partially written or replaced by a checkpoint. A crash can leave such files.
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

// loadCheckpoint replays a checkpoint. All of it must be readable, as it is renamed to its final name only once it is
// complete and durable.
func (l *loader) loadCheckpoint(name string) error {
	data, err := l.disk.Read(name)
	if err != nil {
		return err
	}
	h, isRepaired, err := decodeHeader(data, checkpointMagic)
	if err != nil {
		return &CorruptError{File: name, Err: err}
	}
	if h.seq != seqOf(name) {
		return &CorruptError{File: name, Err: fmt.Errorf("checkpoint of record %d", h.seq)}
	}
	l.reportHeaderRepair(name, isRepaired)
	scan := scanRecords(data, h.store, chainPosition{checksum: h.previousChecksum})
	l.reportRecordRepairs(name, scan.repairedOffsets)
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
	l.tail = chainPosition{seq: h.seq, checksum: h.previousChecksum}
	return nil
}

// loadSegment replays a segment. Only the last one may end in a tail that cannot be read.
func (l *loader) loadSegment(name string, isLast bool) error {
	data, err := l.disk.Read(name)
	if err != nil {
		return err
	}
	h, isRepaired, err := decodeHeader(data, segmentMagic)
	if isLast && isUnfinishedHeader(data, err) {
		l.report.TornBytes += int64(len(data))
		return l.remove(name)
	}
	if err != nil {
		return &CorruptError{File: name, Err: err}
	}
	l.reportHeaderRepair(name, isRepaired)
	if err := l.checkSegmentHeader(name, h); err != nil {
		return err
	}
	scan := scanRecords(data, l.id, l.tail)
	l.reportRecordRepairs(name, scan.repairedOffsets)
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
	if l.isReadOnly || len(scan.records) == 0 { // startSegment recreates a segment without records under the same name
		return nil
	}
	return rewriteSegment(l.disk, name, data[:scan.validBytes])
}

// checkTail checks that a segment was read to its end or, for the last one, that no later record proves that the
// unreadable rest was durable.
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

// isUnfinishedHeader reports whether a crash interrupted the creation of a segment; data and err are its contents and
// the error of decodeHeader. The header is durable before any record is written, so no record follows such a header.
func isUnfinishedHeader(data []byte, err error) bool {
	if errors.Is(err, errTruncated) {
		return true
	}
	return errors.Is(err, errBadHeader) && isAllZero(data[headerSize:])
}

func isAllZero(data []byte) bool {
	return !slices.ContainsFunc(data, func(b byte) bool { return b != 0 })
}

// checkSegmentHeader checks that a segment belongs to the store and follows the records replayed so far. In a store
// without a checkpoint, the identity of the store is taken from the first segment.
func (l *loader) checkSegmentHeader(name string, h header) error {
	if l.tail.seq == 0 && l.id == (storeID{}) {
		l.id = h.store
		l.tail.checksum = h.previousChecksum
	}
	if h.store != l.id {
		return &CorruptError{File: name, Err: errOtherStore}
	}
	next := l.tail.seq + 1
	if h.seq != seqOf(name) || h.seq != next || h.previousChecksum != l.tail.checksum {
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

func (l *loader) reportHeaderRepair(name string, isRepaired bool) {
	if isRepaired {
		l.report.RepairedBits = append(l.report.RepairedBits, name+", head")
	}
}

func (l *loader) reportRecordRepairs(name string, offsets []int64) {
	for _, offset := range offsets {
		l.report.RepairedBits = append(l.report.RepairedBits, fmt.Sprintf("%s, offset %d", name, offset))
	}
}

// rewriteSegment replaces the last segment by a durable copy of its readable part. After a failed sync, data that can
// still be read need not be durable: the next crash could lose it, but not the records that are written after it.
func rewriteSegment(disk Disk, name string, data []byte) error {
	file, err := disk.Create(partialSegment)
	if err != nil {
		return err
	}
	if err := errors.Join(writeAll(file, data), file.Sync(), file.Close()); err != nil {
		return err
	}
	return errors.Join(disk.Rename(partialSegment, name), disk.Sync())
}

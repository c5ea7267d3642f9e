package store

import "errors"

// checkpointFlushBytes is the size of the buffered records from which on they are written to the file.
const checkpointFlushBytes = 64 << 10

// Checkpoint writes a snapshot that replaces all records so far, and removes them. The snapshot function passes its
// records to put, in the order in which they are to be replayed. A crash at any time leaves either the old records or
// the checkpoint. After an error of the snapshot function, the log fails as after one of the disk.
func (l *Log) Checkpoint(snapshot func(put func(Kind, []byte) error) error) error {
	if l.failure != nil {
		return l.failure
	}
	if l.tail.seq == 0 {
		return nil
	}
	upTo := l.tail.seq
	if err := l.writeCheckpoint(snapshot); err != nil {
		return l.fail(err)
	}
	// The next segment must exist before the checkpoint gets its final name.
	if err := l.startSegment(); err != nil {
		return err
	}
	if err := l.publishCheckpoint(upTo); err != nil {
		return l.fail(err)
	}
	return nil
}

// writeCheckpoint writes and syncs the snapshot under a temporary name. Open removes a file of that name.
func (l *Log) writeCheckpoint(snapshot func(put func(Kind, []byte) error) error) error {
	file, err := l.disk.Create(partialCheckpoint)
	if err != nil {
		return err
	}
	writer := checkpointWriter{
		file:   file,
		id:     l.id,
		tail:   chainPosition{checksum: l.tail.checksum},
		buffer: header{store: l.id, seq: l.tail.seq, previousChecksum: l.tail.checksum}.encode(checkpointMagic),
	}
	err = snapshot(writer.put)
	if err == nil {
		err = writer.finish()
	}
	return errors.Join(err, file.Sync(), file.Close())
}

// publishCheckpoint renames the checkpoint to its final name and removes the files that it replaces.
func (l *Log) publishCheckpoint(upTo uint64) error {
	err := errors.Join(l.disk.Rename(partialCheckpoint, checkpointName(upTo)), l.disk.Sync())
	if err != nil {
		return err
	}
	names, err := l.disk.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		isReplaced := isSegment(name) && seqOf(name) <= upTo || isCheckpoint(name) && seqOf(name) < upTo
		if !isReplaced {
			continue
		}
		if err := l.disk.Remove(name); err != nil {
			return err
		}
	}
	return l.disk.Sync()
}

// checkpointWriter encodes the records of a checkpoint, which have sequence numbers of their own from 1.
type checkpointWriter struct {
	file   File
	id     storeID
	tail   chainPosition
	buffer []byte // encoded and not written yet
}

// put adds a record of the snapshot.
func (w *checkpointWriter) put(kind Kind, payload []byte) error {
	if len(payload) > MaxPayload {
		return ErrPayloadTooLarge
	}
	w.add(kind, payload)
	if len(w.buffer) < checkpointFlushBytes {
		return nil
	}
	return w.flush()
}

// finish adds the record that ends a checkpoint and flushes the buffer.
func (w *checkpointWriter) finish() error {
	w.add(checkpointEnd, nil)
	return w.flush()
}

func (w *checkpointWriter) add(kind Kind, payload []byte) {
	w.buffer, w.tail = appendRecord(w.buffer, w.id, w.tail, 0, Record{Kind: kind, Payload: payload})
}

func (w *checkpointWriter) flush() error {
	err := writeAll(w.file, w.buffer)
	w.buffer = w.buffer[:0]
	return err
}

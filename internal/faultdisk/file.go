package faultdisk

import (
	"errors"
	"math/rand/v2"
	"slices"
)

// file is the contents of one file. It may have several names while changes to the directory are not durable.
type file struct {
	content []byte // as the process reads it
	durable []byte // as a crash leaves it for certain
	pending []write
}

// write is a change of a file's contents: bytes written at an offset, or a truncation.
type write struct {
	offset int
	data   []byte // nil: the file is truncated at the offset
}

func truncation() write { return write{} }

// applyTo returns a copy of content with the write applied; a gap before the offset is filled with zeros.
func (w write) applyTo(content []byte) []byte {
	if w.data == nil {
		return slices.Clone(content[:min(len(content), w.offset)])
	}
	content = slices.Clone(content)
	for len(content) < w.offset+len(w.data) {
		content = append(content, 0)
	}
	copy(content[w.offset:], w.data)
	return content
}

func (f *file) apply(w write) {
	f.content = w.applyTo(f.content)
	f.pending = append(f.pending, w)
}

func (f *file) append(data []byte) {
	f.apply(write{offset: len(f.content), data: slices.Clone(data)})
}

func (f *file) sync() {
	for _, w := range f.pending {
		f.durable = w.applyTo(f.durable)
	}
	f.pending = nil
}

// afterCrash returns contents that a crash may leave: each write that was not synced is lost, torn or complete.
func (f *file) afterCrash(random *rand.Rand) []byte {
	content := f.durable
	for _, w := range f.pending {
		switch random.IntN(4) {
		case 0: // lost; later ones may survive
		case 1:
			if len(w.data) > 0 {
				w.data = w.data[:random.IntN(len(w.data))]
			}
			content = w.applyTo(content)
		default:
			content = w.applyTo(content)
		}
	}
	return content
}

// handle is an open file.
type handle struct {
	disk *Disk
	file *file
}

// Write implements store.File. A write that fails writes the first half of the data, and so does the first write that a
// crash makes fail.
func (h *handle) Write(data []byte) (int, error) {
	err := h.disk.begin(OpWrite)
	half := len(data) / 2
	switch {
	case err == nil:
		h.file.append(data)
		return len(data), nil
	case !errors.Is(err, ErrCrashed):
		h.file.append(data[:half])
		return half, err
	}
	isCrashingWrite := h.disk.Calls == h.disk.CrashAfterCalls
	if isCrashingWrite && len(data) > 1 {
		h.disk.Calls++
		h.file.append(data[:half])
	}
	return 0, err
}

// Sync implements store.File. After a failure, the data that was to be synced can still be read, but does not survive a
// crash: later syncs do not write it.
func (h *handle) Sync() error {
	err := h.disk.begin(OpSyncFile)
	if errors.Is(err, ErrCrashed) {
		return err
	}
	if err != nil {
		h.file.pending = nil
		return err
	}
	h.file.sync()
	return nil
}

// Close implements store.File. It does not sync.
func (h *handle) Close() error {
	if h.disk.isCrashed() {
		return ErrCrashed
	}
	return nil
}

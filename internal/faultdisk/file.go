package faultdisk

import (
	"errors"
	"math/rand/v2"
	"slices"
)

// file is the contents of one file. It may have several names while changes of names are not durable.
type file struct {
	content []byte // as the process reads it
	durable []byte // as it survives a crash for certain
	pending []write
}

// write is a change of a file's contents.
type write struct {
	offset int
	text   []byte // nil: the file is cut at the offset
}

func truncation() write { return write{} }

// applyTo returns contents with the write applied; a gap before it is filled with zeros.
func (w write) applyTo(content []byte) []byte {
	if w.text == nil {
		return slices.Clone(content[:min(len(content), w.offset)])
	}
	content = slices.Clone(content)
	for len(content) < w.offset+len(w.text) {
		content = append(content, 0)
	}
	copy(content[w.offset:], w.text)
	return content
}

func (f *file) apply(w write) {
	f.content = w.applyTo(f.content)
	f.pending = append(f.pending, w)
}

func (f *file) append(text []byte) {
	f.apply(write{offset: len(f.content), text: slices.Clone(text)})
}

func (f *file) sync() {
	for _, w := range f.pending {
		f.durable = w.applyTo(f.durable)
	}
	f.pending = nil
}

// afterCrash returns contents that a crash may leave: of the writes that were not synced each is lost, torn or
// complete.
func (f *file) afterCrash(random *rand.Rand) []byte {
	content := f.durable
	for _, w := range f.pending {
		switch random.IntN(4) {
		case 0: // lost; later ones may not be
		case 1:
			if len(w.text) > 0 {
				w.text = w.text[:random.IntN(len(w.text))]
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

// Write implements store.File. A write that fails, and the one in which the process dies, write their first half.
func (h *handle) Write(text []byte) (int, error) {
	err := h.disk.begin(OpWrite)
	half := len(text) / 2
	switch {
	case err == nil:
		h.file.append(text)
		return len(text), nil
	case !errors.Is(err, ErrCrashed):
		h.file.append(text[:half])
		return half, err
	}
	diesInThisCall := h.disk.Calls == h.disk.CrashAt
	if diesInThisCall && len(text) > 1 {
		h.disk.Calls++
		h.file.append(text[:half])
	}
	return 0, err
}

// Sync implements store.File. After a failure the data that it was for is lost for good, though it can still be read:
// later syncs do not write it.
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

// Package faultdisk is a disk for tests: what was not synced may be lost, torn or come out of order at a crash, calls fail, and a crash can
// strike at any call.
package faultdisk

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"slices"
	"syscall"

	"swiftreel/internal/store"
)

// ErrCrashed is what every call tells once the process is dead.
var ErrCrashed = errors.New("crashed")

// Disk is one. It is for one goroutine at a time.
type Disk struct {
	Calls   int                             // so far
	CrashAt int                             // from that call on nothing happens any more; 0: never
	Fail    func(call int, op string) error // nil, or what a call fails with
	names   map[string]*file
	durable map[string]*file
	ops     []func(map[string]*file) // of names, not durable yet, in their order
}

type file struct {
	text    []byte // as it is read
	synced  []byte // durable
	pending []span
}

// span is a write, or a cut (nil).
type span struct {
	at   int
	text []byte
}

// New is empty.
func New() *Disk { return &Disk{names: map[string]*file{}, durable: map[string]*file{}} }

// From holds files that are durable.
func From(files map[string][]byte) *Disk {
	d := New()
	for name, text := range files {
		f := &file{text: slices.Clone(text), synced: slices.Clone(text)}
		d.names[name], d.durable[name] = f, f
	}
	return d
}

// Files are the files as they are read.
func (d *Disk) Files() map[string][]byte {
	all := map[string][]byte{}
	for name, f := range d.names {
		all[name] = slices.Clone(f.text)
	}
	return all
}

func (d *Disk) call(op string) error {
	if d.CrashAt > 0 && d.Calls >= d.CrashAt {
		return ErrCrashed
	}
	d.Calls++
	if d.Fail != nil {
		return d.Fail(d.Calls, op)
	}
	return nil
}

func apply(text []byte, s span) []byte {
	if s.text == nil {
		return slices.Clone(text[:min(len(text), s.at)])
	}
	text = slices.Clone(text)
	for len(text) < s.at+len(s.text) {
		text = append(text, 0)
	}
	copy(text[s.at:], s.text)
	return text
}

// Crash is the disk as it is found after the process, and the machine, died.
func (d *Disk) Crash(r *rand.Rand) *Disk {
	names := map[string]*file{}
	for name, f := range d.durable {
		names[name] = f
	}
	for _, op := range d.ops[:r.IntN(len(d.ops)+1)] {
		op(names)
	}
	files := map[string][]byte{}
	for name, f := range names {
		text := f.synced
		for _, s := range f.pending {
			switch r.IntN(4) {
			case 0: // lost, and what came later may not be
			case 1:
				if len(s.text) > 0 { // torn
					s.text = s.text[:r.IntN(len(s.text))]
				}
				text = apply(text, s)
			default:
				text = apply(text, s)
			}
		}
		files[name] = text
	}
	return From(files)
}

// List tells names.
func (d *Disk) List() (names []string, err error) {
	if err := d.call("list"); err != nil {
		return nil, err
	}
	for name := range d.names {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// Read reads.
func (d *Disk) Read(name string) ([]byte, error) {
	if err := d.call("read"); err != nil {
		return nil, err
	}
	f := d.names[name]
	if f == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return slices.Clone(f.text), nil
}

func (d *Disk) rename(op func(map[string]*file)) {
	op(d.names)
	d.ops = append(d.ops, op)
}

// Create makes a file, or empties it.
func (d *Disk) Create(name string) (store.File, error) {
	if err := d.call("create"); err != nil {
		return nil, err
	}
	f := d.names[name]
	if f == nil {
		f = &file{}
		d.rename(func(names map[string]*file) { names[name] = f })
	} else {
		f.write(span{})
	}
	return &handle{d, f}, nil
}

func (f *file) write(s span) {
	f.text = apply(f.text, s)
	f.pending = append(f.pending, s)
}

func (f *file) sync() {
	for _, s := range f.pending {
		f.synced = apply(f.synced, s)
	}
	f.pending = nil
}

// Rename renames.
func (d *Disk) Rename(from, to string) error {
	if err := d.call("rename"); err != nil {
		return err
	}
	f := d.names[from]
	d.rename(func(names map[string]*file) {
		if names[from] == f {
			delete(names, from)
		}
		names[to] = f
	})
	return nil
}

// Remove removes.
func (d *Disk) Remove(name string) error {
	if err := d.call("remove"); err != nil {
		return err
	}
	d.rename(func(names map[string]*file) { delete(names, name) })
	return nil
}

// Sync makes names durable.
func (d *Disk) Sync() error {
	if err := d.call("sync names"); err != nil {
		return err
	}
	for _, op := range d.ops {
		op(d.durable)
	}
	d.ops = nil
	return nil
}

type handle struct {
	d *Disk
	f *file
}

// Write writes at the end; where it fails a part may have been written.
func (h *handle) Write(b []byte) (int, error) {
	if err := h.d.call("write"); err != nil {
		if err == ErrCrashed {
			if h.d.Calls == h.d.CrashAt && len(b) > 1 { // the call in which it died
				h.d.Calls++
				h.f.write(span{len(h.f.text), slices.Clone(b[:len(b)/2])})
			}
			return 0, err
		}
		n := len(b) / 2
		h.f.write(span{len(h.f.text), slices.Clone(b[:n])})
		return n, err
	}
	h.f.write(span{len(h.f.text), slices.Clone(b)})
	return len(b), nil
}

// Sync makes it durable. Where it fails, what it was for is gone for good, though it can still be read: later ones do not write it.
func (h *handle) Sync() error {
	if err := h.d.call("sync"); err != nil {
		if err != ErrCrashed {
			h.f.pending = nil
		}
		return err
	}
	h.f.sync()
	return nil
}

// Close closes it: nothing is synced by that.
func (h *handle) Close() error {
	if h.d.CrashAt > 0 && h.d.Calls >= h.d.CrashAt {
		return ErrCrashed
	}
	return nil
}

// Full is what a disk tells that is.
var Full = syscall.ENOSPC

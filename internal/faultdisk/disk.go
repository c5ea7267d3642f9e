// Package faultdisk is an in-memory store.Disk for tests. It can simulate a crash at any call, which may lose, tear or
// reorder changes that were not synced before, and can make single calls fail.
package faultdisk

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"slices"
	"syscall"

	"swiftreel/internal/store"
)

var (
	// ErrCrashed is the error of every call after a crash.
	ErrCrashed = errors.New("crashed")
	// ErrDiskFull is the error of a full disk, for use by Disk.Fail.
	ErrDiskFull = error(syscall.ENOSPC)
)

// Operation is a kind of call to the disk or one of its files.
type Operation string

// The operations.
const (
	OpList     Operation = "list"
	OpRead     Operation = "read"
	OpCreate   Operation = "create"
	OpRename   Operation = "rename"
	OpRemove   Operation = "remove"
	OpSyncDir  Operation = "sync directory"
	OpWrite    Operation = "write"
	OpSyncFile Operation = "sync"
)

// Disk is a directory of files in memory. It is for one goroutine at a time.
type Disk struct {
	Calls           int                                // number made so far
	CrashAfterCalls int                                // number of calls before the process crashes; 0: no crash
	Fail            func(call int, op Operation) error // if set, returns the error with which a call fails, or nil
	current         map[string]*file                   // by name, as the process sees them before a crash
	durable         map[string]*file                   // by name, as a crash leaves them for certain
	pending         []directoryChange                  // not durable yet, in order
}

// directoryChange creates, renames or removes a name in a directory.
type directoryChange func(files map[string]*file)

// New returns an empty disk.
func New() *Disk { return &Disk{current: map[string]*file{}, durable: map[string]*file{}} }

// FromFiles returns a disk that holds the given files, all durable.
func FromFiles(files map[string][]byte) *Disk {
	d := New()
	for name, content := range files {
		f := &file{content: slices.Clone(content), durable: slices.Clone(content)}
		d.current[name] = f
		d.durable[name] = f
	}
	return d
}

// Files returns the contents of all files as the process sees them.
func (d *Disk) Files() map[string][]byte {
	all := map[string][]byte{}
	for name, f := range d.current {
		all[name] = slices.Clone(f.content)
	}
	return all
}

// Crash returns the disk as a crash of the machine may leave it. Of the changes of names that were not durable, a
// random number of the first ones is applied. Each write that was not synced is lost, torn or complete.
func (d *Disk) Crash(random *rand.Rand) *Disk {
	survivors := map[string]*file{}
	for name, f := range d.durable {
		survivors[name] = f
	}
	for _, change := range d.pending[:random.IntN(len(d.pending)+1)] {
		change(survivors)
	}
	files := map[string][]byte{}
	for name, f := range survivors {
		files[name] = f.afterCrash(random)
	}
	return FromFiles(files)
}

func (d *Disk) isCrashed() bool { return d.CrashAfterCalls > 0 && d.Calls >= d.CrashAfterCalls }

// begin counts a call and returns the error with which it is to fail, if any.
func (d *Disk) begin(op Operation) error {
	if d.isCrashed() {
		return ErrCrashed
	}
	d.Calls++
	if d.Fail != nil {
		return d.Fail(d.Calls, op)
	}
	return nil
}

func (d *Disk) change(change directoryChange) {
	change(d.current)
	d.pending = append(d.pending, change)
}

// List implements store.Disk.
func (d *Disk) List() ([]string, error) {
	if err := d.begin(OpList); err != nil {
		return nil, err
	}
	var names []string
	for name := range d.current {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// Read implements store.Disk.
func (d *Disk) Read(name string) ([]byte, error) {
	if err := d.begin(OpRead); err != nil {
		return nil, err
	}
	f := d.current[name]
	if f == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return slices.Clone(f.content), nil
}

// Create implements store.Disk.
func (d *Disk) Create(name string) (store.File, error) {
	if err := d.begin(OpCreate); err != nil {
		return nil, err
	}
	f := d.current[name]
	if f == nil {
		f = &file{}
		d.change(func(files map[string]*file) { files[name] = f })
	} else {
		f.apply(truncation())
	}
	return &handle{disk: d, file: f}, nil
}

// Rename implements store.Disk.
func (d *Disk) Rename(from, to string) error {
	if err := d.begin(OpRename); err != nil {
		return err
	}
	f := d.current[from]
	d.change(func(files map[string]*file) {
		if files[from] == f {
			delete(files, from)
		}
		files[to] = f
	})
	return nil
}

// Remove implements store.Disk.
func (d *Disk) Remove(name string) error {
	if err := d.begin(OpRemove); err != nil {
		return err
	}
	d.change(func(files map[string]*file) { delete(files, name) })
	return nil
}

// Sync implements store.Disk.
func (d *Disk) Sync() error {
	if err := d.begin(OpSyncDir); err != nil {
		return err
	}
	for _, change := range d.pending {
		change(d.durable)
	}
	d.pending = nil
	return nil
}

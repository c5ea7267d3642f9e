package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// Disk is a folder as the store uses it. What is written is there after a crash once its file was synced; a file's name, once
// the folder was.
type Disk interface {
	List() ([]string, error) // files' names, in order
	Read(name string) ([]byte, error)
	Create(name string) (File, error) // new, or emptied
	Rename(from, to string) error
	Remove(name string) error
	Sync() error // the folder
}

// File is one that is written at its end.
type File interface {
	Write([]byte) (int, error)
	Sync() error
	Close() error
}

// Folder is a folder of the machine's, which one process has at a time.
type Folder struct {
	path string
	lock *os.File
}

// ErrTaken: another process has the folder.
var ErrTaken = errors.New("another process has this store")

// OpenFolder takes a folder; it is made where there is none.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("%s: %w", path, ErrTaken)
	}
	return &Folder{path, lock}, nil
}

// LookFolder reads a folder that another process may have.
func LookFolder(path string) *Folder { return &Folder{path: path} }

// Close frees it.
func (f *Folder) Close() error {
	if f.lock == nil {
		return nil
	}
	return f.lock.Close()
}

func (f *Folder) at(name string) string { return filepath.Join(f.path, name) }

// List tells the store's files.
func (f *Folder) List() (names []string, err error) {
	list, err := os.ReadDir(f.path)
	for _, e := range list {
		if e.Type().IsRegular() && e.Name() != "lock" {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, err
}

// Read reads one whole: they are bounded when they are written.
func (f *Folder) Read(name string) ([]byte, error) { return os.ReadFile(f.at(name)) }

// Create makes one.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(f.at(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Rename puts one in the place of another.
func (f *Folder) Rename(from, to string) error { return os.Rename(f.at(from), f.at(to)) }

// Remove removes one.
func (f *Folder) Remove(name string) error { return os.Remove(f.at(name)) }

// Sync has names last.
func (f *Folder) Sync() error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

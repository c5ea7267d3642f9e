package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// Permissions of the store's directory and files.
const (
	directoryMode = 0o700
	fileMode      = 0o600
)

// Directory is a Disk in a directory of the file system.
type Directory struct {
	path string
	lock *os.File // nil if the directory was opened read-only
}

// OpenDirectory opens a directory for exclusive use by this process and creates it if it does not exist. It returns
// ErrLocked if another process has the directory open.
func OpenDirectory(path string) (*Directory, error) {
	if err := os.MkdirAll(path, directoryMode); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close() // nothing was written to it
		return nil, fmt.Errorf("%s: %w", path, ErrLocked)
	}
	return &Directory{path: path, lock: lock}, nil
}

// ReadOnlyDirectory returns a directory for Inspect. It takes no lock, so another process may have the directory open.
func ReadOnlyDirectory(path string) *Directory { return &Directory{path: path} }

// Close releases the lock.
func (d *Directory) Close() error {
	if d.lock == nil {
		return nil
	}
	return d.lock.Close()
}

func (d *Directory) pathOf(name string) string { return filepath.Join(d.path, name) }

// List implements Disk.
func (d *Directory) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() && entry.Name() != lockFile {
			names = append(names, entry.Name())
		}
	}
	slices.Sort(names)
	return names, err
}

// Read implements Disk. It reads the whole file into memory: the sizes of segments and checkpoints are bounded when
// they are written.
func (d *Directory) Read(name string) ([]byte, error) { return os.ReadFile(d.pathOf(name)) }

// Create implements Disk.
func (d *Directory) Create(name string) (File, error) {
	return os.OpenFile(d.pathOf(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename implements Disk.
func (d *Directory) Rename(from, to string) error { return os.Rename(d.pathOf(from), d.pathOf(to)) }

// Remove implements Disk.
func (d *Directory) Remove(name string) error { return os.Remove(d.pathOf(name)) }

// Sync implements Disk.
func (d *Directory) Sync() error {
	directory, err := os.Open(d.path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

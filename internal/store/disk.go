package store

// Disk is the directory of a store. The contents of a file survive a crash once the file was synced; its name, once the
// directory was.
type Disk interface {
	// List returns the names of the store's files in lexical order.
	List() ([]string, error)
	// Read returns the contents of a file.
	Read(name string) ([]byte, error)
	// Create opens a new file for writing; an existing one is truncated.
	Create(name string) (File, error)
	// Rename renames a file; an existing file of the new name is replaced.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Sync makes all created, renamed and removed names durable.
	Sync() error
}

// File is a file that is open for appending.
type File interface {
	// Write appends bytes. After an error, part of them may have been written.
	Write(data []byte) (int, error)
	// Sync makes all written bytes durable.
	Sync() error
	// Close closes the file. It does not sync.
	Close() error
}

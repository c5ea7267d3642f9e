package store

// Disk is a directory as the store uses it. The contents of a file survive a crash once the file was synced; its
// name, once the directory was.
type Disk interface {
	// List returns the names of the store's files in lexical order.
	List() ([]string, error)
	// Read returns the contents of a file.
	Read(name string) ([]byte, error)
	// Create opens a new file for writing; one that exists is emptied.
	Create(name string) (File, error)
	// Rename gives a file another name; a file that had it is replaced.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Sync makes all changes of names durable.
	Sync() error
}

// File is a file that is open for writing at its end.
type File interface {
	// Write appends bytes. After an error a part of them may have been written.
	Write(text []byte) (int, error)
	// Sync makes all that was written durable.
	Sync() error
	// Close closes the file. It does not sync.
	Close() error
}

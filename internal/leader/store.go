package leader

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"swiftreel/internal/failpoint"
)

// Buckets and keys of the file. The key of an entry is its index in big-endian order.
var (
	metaBucket    = []byte("meta")
	entriesBucket = []byte("entries")
	memberIDKey   = []byte("id")
	hardStateKey  = []byte("hard")
	snapshotKey   = []byte("snapshot")
)

const (
	storeFileMode    = 0o600
	storeLockTimeout = time.Second // how long to wait while another process has the file open
	memberIDBytes    = 8
)

// Store is a member's persistent state in a file that only one process can open at a time. Each write is synced to disk
// before its method returns. It is not safe for concurrent use.
type Store struct {
	path        string
	database    *bbolt.DB    // nil if the file could not be reopened
	beforeWrite func() error // a failpoint: its error fails the write
}

// errStoreNotOpen means that the file could not be reopened.
var errStoreNotOpen = errors.New("the store's file is not open")

// OpenStore opens a member's file, and creates it if it does not exist.
func OpenStore(path string) (*Store, error) {
	s := &Store{path: path, beforeWrite: failpoint.BeforeWrite}
	if err := s.open(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Store) open() error {
	db, err := bbolt.Open(s.path, storeFileMode, &bbolt.Options{Timeout: storeLockTimeout})
	if err != nil {
		return fmt.Errorf("open store %s: %w", s.path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		if _, err := tx.CreateBucketIfNotExists(metaBucket); err != nil {
			return err
		}
		_, err := tx.CreateBucketIfNotExists(entriesBucket)
		return err
	})
	if err != nil {
		_ = db.Close() // the first error is the cause
		return fmt.Errorf("prepare store %s: %w", s.path, err)
	}
	s.database = db
	return nil
}

// Reopen reopens the file after a failed write, and writes the hard state again to verify that the disk works. The
// content of the file then decides whether the failed write took effect. After an error it may be called again.
func (s *Store) Reopen() error {
	if err := s.Close(); err != nil {
		return err
	}
	if err := s.open(); err != nil {
		return err
	}
	state, err := s.Load()
	if err != nil {
		return err
	}
	return s.Save(Output{HardState: state.HardState})
}

// Close closes the file.
func (s *Store) Close() error {
	if s.database == nil {
		return nil
	}
	db := s.database
	s.database = nil
	return db.Close()
}

// Load reads the persistent state. Its MemberID is 0 if the store was never initialized.
func (s *Store) Load() (PersistentState, error) {
	state := PersistentState{HardState: &raftpb.HardState{}, Snapshot: &raftpb.Snapshot{}}
	err := s.database.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if id := meta.Get(memberIDKey); len(id) == memberIDBytes {
			state.MemberID = binary.BigEndian.Uint64(id)
		}
		if err := proto.Unmarshal(meta.Get(hardStateKey), state.HardState); err != nil {
			return err
		}
		if err := proto.Unmarshal(meta.Get(snapshotKey), state.Snapshot); err != nil {
			return err
		}
		return tx.Bucket(entriesBucket).ForEach(func(_, text []byte) error {
			entry := &raftpb.Entry{}
			state.Entries = append(state.Entries, entry)
			return proto.Unmarshal(text, entry)
		})
	})
	if err != nil {
		return PersistentState{}, fmt.Errorf("load store: %w", err)
	}
	return state, nil
}

// Initialize replaces everything stored with the initial state of a member.
func (s *Store) Initialize(state PersistentState) error {
	if s.database == nil {
		return errStoreNotOpen
	}
	return s.database.Update(func(tx *bbolt.Tx) error {
		if err := tx.DeleteBucket(entriesBucket); err != nil {
			return err
		}
		if _, err := tx.CreateBucket(entriesBucket); err != nil {
			return err
		}
		id := binary.BigEndian.AppendUint64(nil, state.MemberID)
		if err := tx.Bucket(metaBucket).Put(memberIDKey, id); err != nil {
			return err
		}
		return saveOutput(tx, Output{HardState: state.HardState, Snapshot: state.Snapshot})
	})
}

// Save persists an Output atomically.
func (s *Store) Save(out Output) error {
	if out.HardState == nil && out.Snapshot == nil && len(out.Entries) == 0 {
		return nil
	}
	if s.database == nil {
		return errStoreNotOpen
	}
	if err := s.beforeWrite(); err != nil {
		return err
	}
	return s.database.Update(func(tx *bbolt.Tx) error { return saveOutput(tx, out) })
}

func saveOutput(tx *bbolt.Tx, out Output) error {
	if out.HardState != nil {
		if err := putMeta(tx, hardStateKey, out.HardState); err != nil {
			return err
		}
	}
	if out.Snapshot != nil {
		if err := saveSnapshot(tx, out.Snapshot, out.ReplaceLog); err != nil {
			return err
		}
	}
	return saveEntries(tx, out.Entries, out.Snapshot.GetMetadata().GetIndex())
}

// saveSnapshot writes a snapshot and deletes the entries that it covers, or all entries if replaceLog is set.
func saveSnapshot(tx *bbolt.Tx, snapshot *raftpb.Snapshot, replaceLog bool) error {
	if err := putMeta(tx, snapshotKey, snapshot); err != nil {
		return err
	}
	last := snapshot.GetMetadata().GetIndex()
	return deleteEntries(tx, func(index uint64) bool { return replaceLog || index <= last })
}

// saveEntries writes entries and replaces all stored ones from the index of the first one on. Entries up to the index
// covered are not stored, because the new snapshot includes them; covered is 0 if there is no new snapshot.
func saveEntries(tx *bbolt.Tx, entries []*raftpb.Entry, covered uint64) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].GetIndex()
	if err := deleteEntries(tx, func(index uint64) bool { return index >= first }); err != nil {
		return err
	}
	bucket := tx.Bucket(entriesBucket)
	for _, entry := range entries {
		if entry.GetIndex() <= covered {
			continue
		}
		text, err := proto.Marshal(entry)
		if err != nil {
			return err
		}
		key := binary.BigEndian.AppendUint64(nil, entry.GetIndex())
		if err := bucket.Put(key, text); err != nil {
			return err
		}
	}
	return nil
}

func putMeta(tx *bbolt.Tx, key []byte, message proto.Message) error {
	text, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	return tx.Bucket(metaBucket).Put(key, text)
}

func deleteEntries(tx *bbolt.Tx, matches func(index uint64) bool) error {
	cursor := tx.Bucket(entriesBucket).Cursor()
	for key, _ := cursor.First(); key != nil; key, _ = cursor.Next() {
		if !matches(binary.BigEndian.Uint64(key)) {
			continue
		}
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

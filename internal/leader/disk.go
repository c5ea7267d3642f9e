package leader

import (
	"encoding/binary"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"swiftreel/internal/failpoint"
)

var (
	metaBucket    = []byte("meta")
	entriesBucket = []byte("entries")
	idKey         = []byte("id")
	hardKey       = []byte("hard")
	snapshotKey   = []byte("snapshot")
)

// Store is a member's disk: a file that one process has open, each change of which is synced.
type Store struct{ db *bbolt.DB }

// OpenStore opens a file, or makes it.
func OpenStore(path string) (*Store, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, err
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		if _, err := tx.CreateBucketIfNotExists(metaBucket); err != nil {
			return err
		}
		_, err := tx.CreateBucketIfNotExists(entriesBucket)
		return err
	})
	return &Store{db}, err
}

// Close closes it.
func (s *Store) Close() error { return s.db.Close() }

// Load reads all; a number of 0: it was never written.
func (s *Store) Load() (d Disk, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if id := meta.Get(idKey); len(id) == 8 {
			d.ID = binary.BigEndian.Uint64(id)
		}
		d.Hard, d.Snapshot = &raftpb.HardState{}, &raftpb.Snapshot{}
		if err := proto.Unmarshal(meta.Get(hardKey), d.Hard); err != nil {
			return err
		}
		if err := proto.Unmarshal(meta.Get(snapshotKey), d.Snapshot); err != nil {
			return err
		}
		return tx.Bucket(entriesBucket).ForEach(func(_, v []byte) error {
			e := &raftpb.Entry{}
			d.Entries = append(d.Entries, e)
			return proto.Unmarshal(v, e)
		})
	})
	return d, err
}

// Begin writes the disk of a member of a new fleet, or of one that is to join; what stood there is void.
func (s *Store) Begin(d Disk) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		if err := tx.DeleteBucket(entriesBucket); err != nil {
			return err
		}
		if _, err := tx.CreateBucket(entriesBucket); err != nil {
			return err
		}
		if err := tx.Bucket(metaBucket).Put(idKey, binary.BigEndian.AppendUint64(nil, d.ID)); err != nil {
			return err
		}
		return save(tx, Out{Hard: d.Hard, Snapshot: d.Snapshot})
	})
}

// Save writes what a call of the core left to be saved, all or nothing.
func (s *Store) Save(o Out) error {
	if o.Hard == nil && o.Snapshot == nil && len(o.Entries) == 0 {
		return nil
	}
	if err := failpoint.Write(); err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error { return save(tx, o) })
}

func save(tx *bbolt.Tx, o Out) error {
	meta, entries := tx.Bucket(metaBucket), tx.Bucket(entriesBucket)
	put := func(key []byte, m proto.Message) error {
		text, err := proto.Marshal(m)
		if err != nil {
			return err
		}
		return meta.Put(key, text)
	}
	drop := func(is func(index uint64) bool) error {
		c := entries.Cursor()
		for k, _ := c.First(); k != nil; k, _ = c.Next() {
			if is(binary.BigEndian.Uint64(k)) {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		return nil
	}
	if o.Hard != nil {
		if err := put(hardKey, o.Hard); err != nil {
			return err
		}
	}
	if o.Snapshot != nil {
		if err := put(snapshotKey, o.Snapshot); err != nil {
			return err
		}
		last := o.Snapshot.GetMetadata().GetIndex()
		if err := drop(func(n uint64) bool { return o.Anew || n <= last }); err != nil {
			return err
		}
	}
	for i, e := range o.Entries {
		if i == 0 {
			if err := drop(func(n uint64) bool { return n >= e.GetIndex() }); err != nil {
				return err
			}
		}
		if o.Snapshot != nil && e.GetIndex() <= o.Snapshot.GetMetadata().GetIndex() {
			continue
		}
		text, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		if err := entries.Put(binary.BigEndian.AppendUint64(nil, e.GetIndex()), text); err != nil {
			return err
		}
	}
	return nil
}

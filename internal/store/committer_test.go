package store_test

import (
	"errors"
	"fmt"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"swiftreel/internal/store"
)

// gatedDisk counts the syncs of its files and, if release is set, blocks them until release is closed.
type gatedDisk struct {
	store.Disk
	release     chan struct{}
	syncStarted chan struct{}
	syncs       atomic.Int64
}

type gatedFile struct {
	store.File
	disk *gatedDisk
}

func (d *gatedDisk) Create(name string) (store.File, error) {
	f, err := d.Disk.Create(name)
	return gatedFile{f, d}, err
}

func (f gatedFile) Sync() error {
	if f.disk.release != nil {
		select {
		case f.disk.syncStarted <- struct{}{}:
		default:
		}
		<-f.disk.release
	}
	f.disk.syncs.Add(1)
	return f.File.Sync()
}

func TestConcurrentCommitsShareSyncsAndDirectoryIsExclusive(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "store")
	f, err := store.OpenDirectory(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.OpenDirectory(dir); !errors.Is(err, store.ErrLocked) {
		t.Errorf("second open of a locked directory: %v", err)
	}
	d := &gatedDisk{Disk: f}
	log, _, err := store.Open(d, store.DefaultOptions(), func(store.Record) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	c := store.NewCommitter(log)
	// The next sync blocks until all other commits are queued.
	d.release, d.syncStarted = make(chan struct{}), make(chan struct{}, 1)
	d.syncs.Store(0)
	var group sync.WaitGroup
	for i := range 64 {
		if i == 1 {
			<-d.syncStarted // the sync of the first commit is in progress
		}
		group.Go(func() {
			if err := c.Commit(store.Record{Kind: 1, Payload: mapEntry{fmt.Sprint(i), "19"}.record().Payload}); err != nil {
				t.Error(err)
			}
		})
	}
	for c.QueueLength() < 63 {
		runtime.Gosched()
	}
	close(d.release)
	group.Wait()
	if n := d.syncs.Load(); n != 2 {
		t.Errorf("%d syncs for one commit and 63 queued ones", n)
	}
	if stats := c.Stats(100); stats.BatchSize != 63 {
		t.Errorf("at most %d commits per sync", stats.BatchSize)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if err := c.Commit(store.Record{Kind: 1}); !errors.Is(err, store.ErrClosed) {
		t.Errorf("commit after Close: %v", err)
	}
	f.Close()
	state := map[string]string{}
	report, err := store.Inspect(store.ReadOnlyDirectory(dir), replayInto(state))
	if err != nil || report.Records != 64 || len(state) != 64 || state["7"] != "19" {
		t.Errorf("%+v %v", report, err)
	}
}

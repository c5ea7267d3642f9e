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

// gated is a folder whose files' syncs wait for a gate, and are counted.
type gated struct {
	store.Disk
	gate    chan struct{}
	entered chan struct{}
	syncs   atomic.Int64
}

type gatedFile struct {
	store.File
	d *gated
}

func (d *gated) Create(name string) (store.File, error) {
	f, err := d.Disk.Create(name)
	return gatedFile{f, d}, err
}

func (f gatedFile) Sync() error {
	if f.d.gate != nil {
		select {
		case f.d.entered <- struct{}{}:
		default:
		}
		<-f.d.gate
	}
	f.d.syncs.Add(1)
	return f.File.Sync()
}

func TestManyCommitWithFewSyncsAndAFolderIsTakenOnce(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "store")
	f, err := store.OpenDirectory(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.OpenDirectory(dir); !errors.Is(err, store.ErrLocked) {
		t.Errorf("a second process: %v", err)
	}
	d := &gated{Disk: f}
	log, _, err := store.Open(d, store.DefaultOptions(), func(store.Record) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	c := store.NewCommitter(log)
	d.gate, d.entered = make(chan struct{}), make(chan struct{}, 1) // the next sync takes until all others wait
	d.syncs.Store(0)
	var wait sync.WaitGroup
	for i := range 64 {
		if i == 1 {
			<-d.entered // the first one's sync is under way
		}
		wait.Go(func() {
			if err := c.Commit(store.Record{Kind: 1, Payload: mapEntry{fmt.Sprint(i), "19"}.record().Payload}); err != nil {
				t.Error(err)
			}
		})
	}
	for c.QueueLength() < 63 {
		runtime.Gosched()
	}
	close(d.gate)
	wait.Wait()
	if n := d.syncs.Load(); n != 2 {
		t.Errorf("%d syncs for one commit and 63 that waited", n)
	}
	if stats := c.Stats(100); stats.BatchSize != 63 {
		t.Errorf("%d calls a sync at most", stats.BatchSize)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if err := c.Commit(store.Record{Kind: 1}); !errors.Is(err, store.ErrClosed) {
		t.Errorf("after its close: %v", err)
	}
	f.Close()
	state := map[string]string{}
	found, err := store.Inspect(store.ReadOnlyDirectory(dir), replayInto(state))
	if err != nil || found.Records != 64 || len(state) != 64 || state["7"] != "19" {
		t.Errorf("%+v %v", found, err)
	}
}

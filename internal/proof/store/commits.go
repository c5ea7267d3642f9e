package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"swiftreel/internal/store"
)

const (
	measureDuration    = 2 * time.Second
	commitPayloadBytes = 250
	plainWriteBytes    = 300 // about the size of a commit
	minGroupFactor     = 4   // least ratio of the commit rate of maxWriters writers to that of one
	maxWriters         = 64
)

// latencies holds the durations of the operations of one measurement.
type latencies []time.Duration

func (l latencies) rate() float64 { return float64(len(l)) / measureDuration.Seconds() }

// percentile returns a percentile, rounded for printing. The latencies must be sorted.
func (l latencies) percentile(percent int) time.Duration {
	return l[len(l)*percent/100].Round(time.Microsecond)
}

// measureCommits measures the commit rate with different numbers of concurrent writers, and plain syncs in the same
// directory for comparison.
func measureCommits(dir string) error {
	plain, err := measurePlainSyncs(filepath.Join(dir, "plain"))
	if err != nil {
		return err
	}
	fmt.Printf("the disk's own: %d bytes and a sync %.0f a second, p50 %v, p99 %v\n",
		plainWriteBytes, plain.rate(), plain.percentile(50), plain.percentile(99))
	singleRate := 0.0
	for _, writers := range []int{1, 8, maxWriters} {
		rate, err := measureGroupCommit(filepath.Join(dir, fmt.Sprint("commits", writers)), writers)
		if err != nil {
			return err
		}
		if singleRate == 0 {
			singleRate = rate
		}
		if writers == maxWriters && rate < minGroupFactor*singleRate {
			return fmt.Errorf("%d writers commit %.0f times a second, one writer %.0f times", maxWriters, rate, singleRate)
		}
	}
	return nil
}

// measurePlainSyncs measures a write and a sync of a plain file, without the store.
func measurePlainSyncs(path string) (sorted latencies, err error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	for start := time.Now(); time.Since(start) < measureDuration; {
		writeStart := time.Now()
		if _, err := file.Write(make([]byte, plainWriteBytes)); err != nil {
			return nil, err
		}
		if err := file.Sync(); err != nil {
			return nil, err
		}
		sorted = append(sorted, time.Since(writeStart))
	}
	slices.Sort(sorted)
	return sorted, nil
}

// measureGroupCommit commits to a new store from the given number of goroutines, prints the figures, and returns the
// commits per second.
func measureGroupCommit(path string, writers int) (rate float64, err error) {
	directory, err := store.OpenDirectory(path)
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, directory.Close()) }()
	log, _, err := store.Open(directory, store.DefaultOptions(), func(store.Record) error { return nil })
	if err != nil {
		return 0, err
	}
	committer := store.NewCommitter(log)
	sorted := commitFromMany(committer, writers)
	stats := committer.Stats(50)
	if err := committer.Close(); err != nil {
		return 0, err
	}
	if len(sorted) == 0 {
		return 0, errors.New("nothing was committed")
	}
	fmt.Printf("%2d waiting: %6.0f commits a second, p50 %v, p99 %v, %d a sync in the median\n",
		writers, sorted.rate(), sorted.percentile(50), sorted.percentile(99), stats.BatchSize)
	return sorted.rate(), nil
}

func commitFromMany(committer *store.Committer, writers int) latencies {
	var mu sync.Mutex
	var all latencies
	var running sync.WaitGroup
	end := time.Now().Add(measureDuration)
	for range writers {
		running.Go(func() {
			own := commitUntil(committer, end)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, own...)
		})
	}
	running.Wait()
	slices.Sort(all)
	return all
}

// commitUntil commits one record at a time until the given time. It returns nil if a commit fails.
func commitUntil(committer *store.Committer, end time.Time) latencies {
	var own latencies
	for time.Now().Before(end) {
		start := time.Now()
		record := store.Record{Kind: 1, Payload: make([]byte, commitPayloadBytes)}
		if err := committer.Commit(record); err != nil {
			return nil
		}
		own = append(own, time.Since(start))
	}
	return own
}

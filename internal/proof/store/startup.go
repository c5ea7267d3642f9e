package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"swiftreel/internal/recovery"
	"swiftreel/internal/store"
)

const (
	recordCount     = 1_000_000
	recordsPerBatch = 4096
	recordsPerJob   = 4
	recordsPerOpen  = 100 // one open job per this many records
	orderingKeys    = 5000
	retainedAnswers = 1000
	maxStartup      = 20 * time.Second
)

// startup is an opened store and the time that opening it took.
type startup struct {
	ledger *recovery.Ledger
	log    *store.Log
	took   time.Duration
}

func openLedger(directory store.Disk) (startup, error) {
	start := time.Now()
	ledger := recovery.NewLedger(retainedAnswers)
	log, _, err := store.Open(directory, store.DefaultOptions(), ledger.Apply)
	return startup{ledger: ledger, log: log, took: time.Since(start)}, err
}

// measureStartup writes recordCount records of jobs, with one open job per recordsPerOpen records, and measures opening
// the store with and without a checkpoint.
func measureStartup(dir string) (err error) {
	directory, err := store.OpenDirectory(filepath.Join(dir, "million"))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, directory.Close()) }()
	if err := writeJobs(directory); err != nil {
		return err
	}
	full, err := openLedger(directory)
	if err != nil {
		return err
	}
	open, _ := full.ledger.Size()
	start := time.Now()
	if err := full.log.Checkpoint(full.ledger.Snapshot); err != nil {
		return err
	}
	checkpointTook := time.Since(start)
	if err := full.log.Close(); err != nil {
		return err
	}
	short, err := openLedger(directory)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, short.log.Close()) }()
	fmt.Printf("a start from %d records, %d jobs open: %.2f s", recordCount, open, full.took.Seconds())
	fmt.Printf("; a checkpoint of them %.2f s, and a start from that %.2f s\n",
		checkpointTook.Seconds(), short.took.Seconds())
	if full.took > maxStartup {
		return fmt.Errorf("opening the store took over %v", maxStartup)
	}
	return compareLedgers(full.ledger, short.ledger)
}

// compareLedgers checks that the ledger read from a checkpoint has the same open jobs as the one it was written from.
func compareLedgers(written, read *recovery.Ledger) error {
	wantOpen, _ := written.Size()
	gotOpen, _ := read.Size()
	if gotOpen != wantOpen || wantOpen < recordCount/recordsPerOpen/2 {
		return fmt.Errorf("%d jobs are open after the restart, want %d", gotOpen, wantOpen)
	}
	want, err := json.Marshal(written.OpenJobs(1))
	if err != nil {
		return err
	}
	got, err := json.Marshal(read.OpenJobs(1))
	if err != nil {
		return err
	}
	if !bytes.Equal(got, want) {
		return errors.New("open jobs read from the checkpoint differ")
	}
	return nil
}

// batchWriter appends records in batches until recordCount is reached.
type batchWriter struct {
	log   *store.Log
	batch []store.Record
	count int
}

func (w *batchWriter) isFull() bool { return w.count >= recordCount }

func (w *batchWriter) put(kind store.Kind, body any) error {
	if w.isFull() {
		return nil
	}
	r, err := recovery.NewRecord(kind, body)
	if err != nil {
		return err
	}
	w.batch = append(w.batch, r)
	w.count++
	if len(w.batch) < recordsPerBatch && !w.isFull() {
		return nil
	}
	_, err = w.log.Append(w.batch)
	w.batch = w.batch[:0]
	return err
}

func writeJobs(directory store.Disk) error {
	opened, err := openLedger(directory)
	if err != nil {
		return err
	}
	writer := &batchWriter{log: opened.log}
	for number := 0; !writer.isFull(); number++ {
		if err := writeJob(writer, number); err != nil {
			return err
		}
	}
	return opened.log.Close()
}

// writeJob writes the records of one job. Some jobs stay open with an attempt in progress.
func writeJob(w *batchWriter, number int) error {
	call := recovery.CallID(fmt.Sprintf("%016x", number))
	key := fmt.Sprint("k", number%orderingKeys)
	accepted := recovery.Accepted{Call: call, Type: "import", Tenant: "acme", Key: key, Effect: recovery.EffectRunOnce}
	if err := w.put(recovery.KindAccepted, accepted); err != nil {
		return err
	}
	if err := w.put(recovery.KindDispatched, recovery.Dispatched{Call: call, Engine: "e17", AtNS: 1}); err != nil {
		return err
	}
	staysOpen := number%(recordsPerOpen/recordsPerJob) == 0
	if staysOpen {
		return nil
	}
	ended := recovery.AttemptEnded{Call: call, Outcome: recovery.OutcomeRan, Answer: []byte("a\tb\tc\n")}
	if err := w.put(recovery.KindAttemptEnded, ended); err != nil {
		return err
	}
	return w.put(recovery.KindAnswered, recovery.Answered{Call: call, Answer: recovery.AnswerDone})
}

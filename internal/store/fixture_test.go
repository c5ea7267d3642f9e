package store_test

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"swiftreel/internal/golden"
	"swiftreel/internal/store"
)

// The stores under testdata/stores were written by the program at commit 70e2e4b. Each has
//
//	before/        the files as that program left them
//	appended/      the files after it reopened the store, appended records and closed it
//	checkpointed/  the files after it reopened that, wrote a checkpoint, appended records and closed it
//	transcript.txt the records that it replayed and its report at each step
//
// The random identity of a store is kept in its files, so any compatible version of the program continues an old store
// with the same bytes.

const storesDir = "testdata/stores"

// fixtureOptions make segments so small that a few records fill more than one.
var fixtureOptions = store.Options{SegmentBytes: 300}

// fixtureWriters holds, for each store under testdata/stores, the function that wrote it.
var fixtureWriters = map[string]func(t *testing.T, dir string){
	"rotated": func(t *testing.T, dir string) {
		t.Helper()
		writeBatches(t, dir, 9)
	},
	"torn": func(t *testing.T, dir string) {
		t.Helper()
		writeBatches(t, dir, 9)
		last := segmentsIn(t, dir)
		truncateFile(t, filepath.Join(dir, last[len(last)-1]), 11)
	},
	"head-torn": func(t *testing.T, dir string) {
		t.Helper()
		writeBatches(t, dir, 9)
		last := segmentsIn(t, dir)
		name := filepath.Join(dir, last[len(last)-1])
		text := readFile(t, name)
		truncateFile(t, name, len(text)-20)
	},
	"one-bit-wrong": func(t *testing.T, dir string) {
		t.Helper()
		writeBatches(t, dir, 9)
		first := filepath.Join(dir, segmentsIn(t, dir)[0])
		text := readFile(t, first)
		text[len(text)-20] ^= 4
		writeFile(t, first, text)
	},
	"checkpoint": func(t *testing.T, dir string) {
		t.Helper()
		writeBatches(t, dir, 7)
		writeCheckpoint(t, dir)
		writeBatches(t, dir, 6)
	},
	// A crash between the rename of the checkpoint and the removal of the files that it replaces.
	"checkpoint-cut-off": func(t *testing.T, dir string) {
		t.Helper()
		writeBatches(t, dir, 7)
		before := filesIn(t, dir)
		writeCheckpoint(t, dir)
		for name, text := range before {
			writeFile(t, filepath.Join(dir, name), text)
		}
		writeFile(t, filepath.Join(dir, "new-checkpoint"), []byte("SWRCKP"))
	},
	"empty": func(t *testing.T, dir string) {
		t.Helper()
		writeBatches(t, dir, 0)
	},
}

// numberedRecord returns the record with number n, which differs from all others in kind, length or contents.
func numberedRecord(n int) store.Record {
	return store.Record{Kind: store.Kind(1 + n%4), Payload: []byte(strings.Repeat(fmt.Sprint(n, ";"), n%23))}
}

// openStore opens a store and adds the records that it replays and its report to a transcript.
func openStore(
	t *testing.T, dir string, transcript *bytes.Buffer,
) (log *store.Log, replayed []store.Record, done func()) {
	t.Helper()
	directory, err := store.OpenDirectory(dir)
	if err != nil {
		t.Fatal(err)
	}
	log, report, err := store.Open(directory, fixtureOptions, func(r store.Record) error {
		replayed = append(replayed, r)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	writeTranscript(transcript, "open", report, replayed)
	return log, replayed, func() {
		t.Helper()
		if err := log.Close(); err != nil {
			t.Fatal(err)
		}
		if err := directory.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

func inspectStore(t *testing.T, dir string, transcript *bytes.Buffer) (replayed []store.Record) {
	t.Helper()
	report, err := store.Inspect(store.ReadOnlyDirectory(dir), func(r store.Record) error {
		replayed = append(replayed, r)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	writeTranscript(transcript, "look", report, replayed)
	return replayed
}

func writeTranscript(to *bytes.Buffer, step string, report store.Report, replayed []store.Record) {
	fmt.Fprintf(to, "%s: records %d, torn %d, mended %q, removed %q\n",
		step, report.Records, report.TornBytes, report.RepairedBits, report.RemovedFiles)
	for _, r := range replayed {
		fmt.Fprintf(to, "  seq %d, kind %d: %s\n", r.Seq, r.Kind, r.Payload)
	}
}

// writeBatches opens a store and appends batches of one to three records, numbered on from those in the store.
func writeBatches(t *testing.T, dir string, batches int) {
	t.Helper()
	log, replayed, done := openStore(t, dir, new(bytes.Buffer))
	appendBatches(t, log, len(replayed), batches)
	done()
}

func appendBatches(t *testing.T, log *store.Log, n, batches int) (written []store.Record) {
	t.Helper()
	for i := range batches {
		var batch []store.Record
		for range 1 + i%3 {
			batch = append(batch, numberedRecord(n))
			n++
		}
		if _, err := log.Append(batch); err != nil {
			t.Fatal(err)
		}
		written = append(written, batch...)
	}
	return written
}

// writeCheckpoint opens a store and writes a checkpoint of all of its records.
func writeCheckpoint(t *testing.T, dir string) {
	t.Helper()
	log, replayed, done := openStore(t, dir, new(bytes.Buffer))
	checkpointOf(t, log, replayed)
	done()
}

func checkpointOf(t *testing.T, log *store.Log, live []store.Record) {
	t.Helper()
	err := log.Checkpoint(func(put func(store.Kind, []byte) error) error {
		for _, r := range live {
			if err := put(r.Kind, r.Payload); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// continueStore inspects an old store, appends to it, and writes a checkpoint. It returns the files after the last two
// steps, and fails the test if a record is lost.
func continueStore(t *testing.T, dir string) (transcript []byte, files map[string]map[string][]byte) {
	t.Helper()
	var text bytes.Buffer
	files = map[string]map[string][]byte{}
	before := filesIn(t, dir)
	all := inspectStore(t, dir, &text)
	compareFiles(t, "after Inspect", filesIn(t, dir), before)

	log, replayed, done := openStore(t, dir, &text)
	compareRecords(t, "opened", replayed, all)
	all = append(all, appendBatches(t, log, len(all), 5)...)
	done()
	files["appended"] = filesIn(t, dir)

	log, replayed, done = openStore(t, dir, &text)
	compareRecords(t, "reopened", replayed, all)
	checkpointOf(t, log, all)
	all = append(all, appendBatches(t, log, len(all), 5)...)
	done()
	files["checkpointed"] = filesIn(t, dir)

	compareRecords(t, "at the end", inspectStore(t, dir, &text), all)
	return text.Bytes(), files
}

func compareRecords(t *testing.T, step string, got, want []store.Record) {
	t.Helper()
	same := func(a, b store.Record) bool { return a.Kind == b.Kind && bytes.Equal(a.Payload, b.Payload) }
	if !slices.EqualFunc(got, want, same) {
		t.Fatalf("%s: got %d records, want %d: %v, %v", step, len(got), len(want), got, want)
	}
}

func compareFiles(t *testing.T, step string, got, want map[string][]byte) {
	t.Helper()
	if g, w := slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want)); !slices.Equal(g, w) {
		t.Errorf("%s: got files %v, want %v", step, g, w)
	}
	for name, text := range want {
		if !bytes.Equal(got[name], text) {
			t.Errorf("%s: %s: got\n%x\nwant\n%x", step, name, got[name], text)
		}
	}
}

func TestOldStoresAreReadAndContinuedByteForByte(t *testing.T) {
	recordFixtures(t)
	names, err := os.ReadDir(storesDir)
	if err != nil || len(names) != len(fixtureWriters) {
		t.Fatalf("got %d stores, want %d: %v", len(names), len(fixtureWriters), err)
	}
	for name := range fixtureWriters {
		t.Run(name, func(t *testing.T) {
			old, dir := filepath.Join(storesDir, name), t.TempDir()
			copyFiles(t, filepath.Join(old, "before"), dir)
			transcript, files := continueStore(t, dir)
			golden.Check(t, filepath.Join("stores", name, "transcript.txt"), transcript)
			for step, got := range files {
				compareFiles(t, step, got, filesIn(t, filepath.Join(old, step)))
			}
		})
	}
}

// recordFixtures writes the missing stores if the tests are run with -record.
func recordFixtures(t *testing.T) {
	t.Helper()
	for name, write := range fixtureWriters {
		old := filepath.Join(storesDir, name)
		if !golden.ShouldRecord(old) {
			continue
		}
		dir := t.TempDir()
		write(t, dir)
		writeFiles(t, filepath.Join(old, "before"), filesIn(t, dir))
		_, files := continueStore(t, dir)
		for step, written := range files {
			writeFiles(t, filepath.Join(old, step), written)
		}
	}
}

func segmentsIn(t *testing.T, dir string) (names []string) {
	t.Helper()
	for _, name := range slices.Sorted(maps.Keys(filesIn(t, dir))) {
		if strings.HasPrefix(name, "log-") {
			names = append(names, name)
		}
	}
	return names
}

// filesIn reads all files of a directory except the lock file.
func filesIn(t *testing.T, dir string) map[string][]byte {
	t.Helper()
	list, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	files := map[string][]byte{}
	for _, entry := range list {
		if entry.Name() != "lock" {
			files[entry.Name()] = readFile(t, filepath.Join(dir, entry.Name()))
		}
	}
	return files
}

func copyFiles(t *testing.T, from, to string) {
	t.Helper()
	writeFiles(t, to, filesIn(t, from))
}

func writeFiles(t *testing.T, dir string, files map[string][]byte) {
	t.Helper()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	for name, text := range files {
		writeFile(t, filepath.Join(dir, name), text)
	}
}

func readFile(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func writeFile(t *testing.T, name string, text []byte) {
	t.Helper()
	if err := os.WriteFile(name, text, 0o644); err != nil {
		t.Fatal(err)
	}
}

func truncateFile(t *testing.T, name string, bytes int) {
	t.Helper()
	text := readFile(t, name)
	writeFile(t, name, text[:len(text)-bytes])
}

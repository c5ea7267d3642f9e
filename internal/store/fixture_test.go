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

// The stores under testdata/stores were written by the program at 70e2e4b. Each has
//
//	before/        the files as that program left them
//	appended/      the files after that program opened them once more, appended and closed
//	checkpointed/  the files after it opened those, wrote a checkpoint, appended and closed
//	transcript.txt what it replayed and found at each step
//
// The identity of a store is drawn when it is made and kept in its files, so all that is written to an old store is
// the same to the byte, whatever program does it.

const storesFolder = "testdata/stores"

// fixtureLimits are small, so that a few records fill more than one segment.
var fixtureLimits = store.Options{SegmentBytes: 300}

// oldStores says how each store came to be.
var oldStores = map[string]func(t *testing.T, dir string){
	"rotated": func(t *testing.T, dir string) {
		t.Helper()
		writeBatches(t, dir, 9)
	},
	"torn": func(t *testing.T, dir string) {
		t.Helper()
		writeBatches(t, dir, 9)
		last := segmentsIn(t, dir)
		cutFile(t, filepath.Join(dir, last[len(last)-1]), 11)
	},
	"head-torn": func(t *testing.T, dir string) {
		t.Helper()
		writeBatches(t, dir, 9)
		last := segmentsIn(t, dir)
		name := filepath.Join(dir, last[len(last)-1])
		text := readFile(t, name)
		cutFile(t, name, len(text)-20)
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
	// The process died before it removed what the checkpoint stands for.
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

// entryAt is a record that differs from all others in kind, length or contents.
func entryAt(n int) store.Record {
	return store.Record{Kind: store.Kind(1 + n%4), Payload: []byte(strings.Repeat(fmt.Sprint(n, ";"), n%23))}
}

// openStore opens a folder and adds to a transcript what it replays and finds.
func openStore(
	t *testing.T, dir string, transcript *bytes.Buffer,
) (log *store.Log, replayed []store.Record, done func()) {
	t.Helper()
	folder, err := store.OpenDirectory(dir)
	if err != nil {
		t.Fatal(err)
	}
	log, found, err := store.Open(folder, fixtureLimits, func(r store.Record) error {
		replayed = append(replayed, r)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	describe(transcript, "open", found, replayed)
	return log, replayed, func() {
		t.Helper()
		if err := log.Close(); err != nil {
			t.Fatal(err)
		}
		if err := folder.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

func lookAtStore(t *testing.T, dir string, transcript *bytes.Buffer) (replayed []store.Record) {
	t.Helper()
	found, err := store.Inspect(store.ReadOnlyDirectory(dir), func(r store.Record) error {
		replayed = append(replayed, r)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	describe(transcript, "look", found, replayed)
	return replayed
}

func describe(to *bytes.Buffer, step string, found store.Report, replayed []store.Record) {
	fmt.Fprintf(to, "%s: records %d, torn %d, mended %q, removed %q\n",
		step, found.Records, found.TornBytes, found.RepairedBits, found.RemovedFiles)
	for _, r := range replayed {
		fmt.Fprintf(to, "  seq %d, kind %d: %s\n", r.Seq, r.Kind, r.Payload)
	}
}

// writeBatches opens a store and appends batches of one to three records, which go on from those that are there.
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
			batch = append(batch, entryAt(n))
			n++
		}
		if _, err := log.Append(batch); err != nil {
			t.Fatal(err)
		}
		written = append(written, batch...)
	}
	return written
}

// writeCheckpoint opens a store and writes a checkpoint that holds all of its records.
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

// goOn plays what comes after an old store was found, and tells the files after each step. It fails where a record is
// lost.
func goOn(t *testing.T, dir string) (transcript []byte, files map[string]map[string][]byte) {
	t.Helper()
	var text bytes.Buffer
	files = map[string]map[string][]byte{}
	before := filesIn(t, dir)
	all := lookAtStore(t, dir, &text)
	compareFiles(t, "after a look", filesIn(t, dir), before)

	log, replayed, done := openStore(t, dir, &text)
	compareRecords(t, "opened", replayed, all)
	all = append(all, appendBatches(t, log, len(all), 5)...)
	done()
	files["appended"] = filesIn(t, dir)

	log, replayed, done = openStore(t, dir, &text)
	compareRecords(t, "opened again", replayed, all)
	checkpointOf(t, log, all)
	all = append(all, appendBatches(t, log, len(all), 5)...)
	done()
	files["checkpointed"] = filesIn(t, dir)

	compareRecords(t, "at the end", lookAtStore(t, dir, &text), all)
	return text.Bytes(), files
}

func compareRecords(t *testing.T, step string, got, want []store.Record) {
	t.Helper()
	same := func(a, b store.Record) bool { return a.Kind == b.Kind && bytes.Equal(a.Payload, b.Payload) }
	if !slices.EqualFunc(got, want, same) {
		t.Fatalf("%s: %d records, %d were written: %v, %v", step, len(got), len(want), got, want)
	}
}

func compareFiles(t *testing.T, step string, got, want map[string][]byte) {
	t.Helper()
	if g, w := slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want)); !slices.Equal(g, w) {
		t.Errorf("%s: files %v, not %v", step, g, w)
	}
	for name, text := range want {
		if !bytes.Equal(got[name], text) {
			t.Errorf("%s: %s holds\n%x\nnot\n%x", step, name, got[name], text)
		}
	}
}

func TestOldStoresAreOpenedAndGoOnToTheByte(t *testing.T) {
	recordStores(t)
	names, err := os.ReadDir(storesFolder)
	if err != nil || len(names) != len(oldStores) {
		t.Fatalf("%d stores of %d: %v", len(names), len(oldStores), err)
	}
	for name := range oldStores {
		t.Run(name, func(t *testing.T) {
			old, dir := filepath.Join(storesFolder, name), t.TempDir()
			copyFiles(t, filepath.Join(old, "before"), dir)
			transcript, files := goOn(t, dir)
			golden.Check(t, filepath.Join("stores", name, "transcript.txt"), transcript)
			for step, got := range files {
				compareFiles(t, step, got, filesIn(t, filepath.Join(old, step)))
			}
		})
	}
}

// recordStores writes the stores that are not there, if the tests are run with -record.
func recordStores(t *testing.T) {
	t.Helper()
	for name, write := range oldStores {
		old := filepath.Join(storesFolder, name)
		if !golden.Missing(old) {
			continue
		}
		dir := t.TempDir()
		write(t, dir)
		writeFiles(t, filepath.Join(old, "before"), filesIn(t, dir))
		_, files := goOn(t, dir)
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

// filesIn reads all files of a folder but its lock.
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

func cutFile(t *testing.T, name string, bytes int) {
	t.Helper()
	text := readFile(t, name)
	writeFile(t, name, text[:len(text)-bytes])
}

package fleet

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"swiftreel/internal/recovery"
	"swiftreel/internal/store"
)

func TestStoreCommandsDoNotModifyTheStore(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "store")
	f, err := store.OpenDirectory(dir)
	if err != nil {
		t.Fatal(err)
	}
	g, _, err := store.Open(f, store.DefaultOptions(), func(store.Record) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	withKey := recovery.Accepted{Call: "c1", Type: "import", Key: "k", Effect: recovery.EffectRunOnce}
	for _, event := range []struct {
		kind  store.Kind
		value any
	}{
		{recovery.KindAccepted, withKey},
		{recovery.KindDispatched, recovery.Dispatched{Call: "c1", Engine: "e1"}},
		{recovery.KindAccepted, recovery.Accepted{Call: "c2", Type: "import", Effect: recovery.EffectRunOnce}},
	} {
		r, err := recovery.NewRecord(event.kind, event.value)
		if err == nil {
			_, err = g.Append([]store.Record{r})
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	run := func(args ...string) (string, int) {
		var out, errs bytes.Buffer
		code := Run(append([]string{"store"}, args...), &out, &errs)
		return out.String() + errs.String(), code
	}
	// The store can be inspected while another process has it open.
	if text, code := run("verify", dir); code != 0 ||
		!strings.Contains(text, "3 records, 2 jobs open, 0 answers kept") {
		t.Errorf("%d %s", code, text)
	}
	text, code := run("inspect", dir)
	if code != 0 || !strings.Contains(text, "cancel for good") || !strings.Contains(text, "may go again") {
		t.Errorf("%d %s", code, text)
	}
	g.Close()
	f.Close()
	names, err := filepath.Glob(filepath.Join(dir, "log-*"))
	if err != nil || len(names) != 1 {
		t.Fatal(names, err)
	}
	damaged, err := os.ReadFile(names[0])
	if err != nil {
		t.Fatal(err)
	}
	damaged[70] ^= 0xff
	damaged[80] ^= 0xff
	if err := os.WriteFile(names[0], damaged, 0o600); err != nil {
		t.Fatal(err)
	}
	if text, code := run("verify", dir); code != 2 || !strings.Contains(text, filepath.Base(names[0])+", offset") {
		t.Errorf("%d %s", code, text)
	}
	if now, err := os.ReadFile(names[0]); err != nil || !bytes.Equal(now, damaged) {
		t.Error("verify modified the file")
	}
}

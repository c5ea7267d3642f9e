package rulecheck

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// Reading a log and writing it again gives the same bytes, so that no key of an entry is lost.
func TestALogIsReadWhole(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "log.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	list, err := Read(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	e := json.NewEncoder(&got)
	for _, entry := range list {
		if err := e.Encode(entry); err != nil {
			t.Fatal(err)
		}
	}
	if got.String() != string(text) {
		t.Errorf("got\n%s\nwant\n%s", got.String(), text)
	}
}

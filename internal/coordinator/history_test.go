package coordinator

import (
	"os"
	"testing"
)

// A full disk or a kill can leave an incomplete line. Only this line may be lost, not the ones appended after it.
func TestATornLineCostsNoOther(t *testing.T) {
	store := OpenUnlocked(t.TempDir())
	store.addTransition(Transition{Reason: "first"})
	path := store.path(historyFile)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, append(text, text[:len(text)/2]...), fileMode); err != nil {
		t.Fatal(err)
	}
	store.addTransition(Transition{Reason: "second"})
	store.addTransition(Transition{Reason: "third"})
	history, err := store.History()
	if err != nil || len(history) != 3 || history[1].Reason != "second" || history[2].Reason != "third" {
		t.Errorf("%+v, %v", history, err)
	}
}

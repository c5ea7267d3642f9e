// Command samedecisions compares pairs of bench journal entries, one recorded before a change and one after it.
//
// On the simulator, the decisions of a deployment are deterministic: as long as behaviour is unchanged, two entries of
// the same deployment are equal in every figure except those that measure CPU time. The command prints the first
// differences of each pair. It exits with status 1 if there are any, and with status 2 if entries cannot be read or
// compared.
//
//	go run ./scripts/samedecisions [-journal DIR] -before ID[,ID...] -after ID[,ID...]
//
// An ID is the identifier of an entry in the journal, or the path of its file. Entries are paired in the order given.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
)

// maxPrinted limits the differences printed per pair; the rest are only counted.
const maxPrinted = 10

const (
	exitDifferent = 1
	exitUnusable  = 2
)

// errDifferent is returned when all pairs were compared and at least one of them differs.
var errDifferent = errors.New("decisions differ")

func main() {
	journal := flag.String("journal", "journal", "directory of the bench journal")
	before := flag.String("before", "", "entries recorded before the change, separated by commas or blanks")
	after := flag.String("after", "", "entries recorded after the change, in the same order")
	flag.Parse()
	err := compareAll(os.Stdout, *journal, splitList(*before), splitList(*after))
	switch {
	case errors.Is(err, errDifferent):
		os.Exit(exitDifferent)
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnusable)
	}
}

func splitList(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == ' ' })
}

// compareAll compares the entries pair by pair and reports each pair on out. It returns errDifferent if a pair differs,
// and another error if an entry cannot be read or the entries of a pair are not runs of the same days.
func compareAll(out io.Writer, journal string, before, after []string) error {
	if len(before) == 0 || len(before) != len(after) {
		return fmt.Errorf("need as many entries before as after, at least one: got %d and %d", len(before), len(after))
	}
	different := false
	for i := range before {
		differences, err := comparePair(out, journal, before[i], after[i])
		if err != nil {
			return err
		}
		different = different || differences > 0
	}
	if different {
		return errDifferent
	}
	return nil
}

// comparePair compares two entries, reports the result on out and returns the number of differing figures.
func comparePair(out io.Writer, journal, before, after string) (int, error) {
	old, err := readEntry(journal, before)
	if err != nil {
		return 0, err
	}
	recent, err := readEntry(journal, after)
	if err != nil {
		return 0, err
	}
	if err := checkSameRun(old, recent); err != nil {
		return 0, err
	}
	differences := compareFigures(old.figures(), recent.figures())
	report(out, old, recent, differences)
	return len(differences), nil
}

func report(out io.Writer, old, recent *entry, differences []difference) {
	if len(differences) == 0 {
		fmt.Fprintf(out, "%s: %s and %s are equal on %d days\n", old.Site, old.ID, recent.ID, len(old.Days))
		return
	}
	fmt.Fprintf(out, "%s: %s and %s differ in %d figures\n", old.Site, old.ID, recent.ID, len(differences))
	for i, d := range differences {
		if i == maxPrinted {
			fmt.Fprintf(out, "  and %d more\n", len(differences)-maxPrinted)
			break
		}
		fmt.Fprintf(out, "  %s: before %s, after %s\n", d.path, d.before, d.after)
	}
}

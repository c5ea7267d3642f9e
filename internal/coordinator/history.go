package coordinator

import (
	"bytes"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
)

// maxHistoryBytes bounds how much of a file of lines is read: its end. A file that has passed it is begun anew, and
// the one before is retained under previousSuffix.
const maxHistoryBytes = 16 << 20

const previousSuffix = ".before"

// History returns the transitions of all changes, oldest first.
func (s *RecordStore) History() ([]Transition, error) {
	return readLines[Transition](s.path(historyFile))
}

// Samples returns the polls of the last change, oldest first.
func (s *RecordStore) Samples() ([]Sample, error) { return readLines[Sample](s.path(samplesFile)) }

// discardSamples begins the file of samples anew, as a change begins.
func (s *RecordStore) discardSamples() {
	if s.replicated != nil {
		return
	}
	_ = os.Remove(s.path(samplesFile)) // samples are for people: those of another change do no harm
}

func (s *RecordStore) addTransition(transition Transition) { s.appendLine(historyFile, transition) }

func (s *RecordStore) addSample(sample Sample) { s.appendLine(samplesFile, sample) }

// appendLine appends to a file of a folder. Lines are for people; a line that cannot be written is lost and holds up
// nothing.
func (s *RecordStore) appendLine(name string, value any) {
	if s.replicated != nil {
		return
	}
	_ = s.tryAppendLine(name, value) // see above
}

func (s *RecordStore) tryAppendLine(name string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	path := s.path(name)
	if info, err := os.Stat(path); err == nil && info.Size() > maxHistoryBytes {
		_ = os.Rename(path, path+previousSuffix) // the line is appended all the same
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_RDWR, fileMode)
	if err != nil {
		return err
	}
	line := append(text, '\n')
	if endsTorn(file) {
		line = append([]byte{'\n'}, line...)
	}
	_, err = file.Write(line)
	return errors.Join(err, file.Close())
}

// endsTorn reports whether the last line of a file was written in part: a full disk or a kill has cut it off, and what
// is appended to it could not be read either.
func endsTorn(file *os.File) bool {
	info, err := file.Stat()
	if err != nil || info.Size() == 0 {
		return false
	}
	last := make([]byte, 1)
	_, err = file.ReadAt(last, info.Size()-1)
	return err == nil && last[0] != '\n'
}

// readLines decodes the end of a file of lines. Lines that cannot be decoded, as a torn one, are left out; a file
// that is missing has no lines.
func readLines[T any](path string) ([]T, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var values []T
	for line := range bytes.SplitSeq(text[max(0, len(text)-maxHistoryBytes):], []byte("\n")) {
		var value T
		if json.Unmarshal(line, &value) == nil {
			values = append(values, value)
		}
	}
	return values, nil
}

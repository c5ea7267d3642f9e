package coordinator

import (
	"bytes"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
)

// maxHistoryBytes limits how much of the end of a JSON lines file is read. A file that exceeds it is rotated: it is
// kept under previousSuffix, and a new file is started.
const maxHistoryBytes = 16 << 20

const previousSuffix = ".before"

// History returns the transitions of all changes, oldest first.
func (s *RecordStore) History() ([]Transition, error) {
	return readLines[Transition](s.path(historyFile))
}

// Samples returns the polls of the last change, oldest first.
func (s *RecordStore) Samples() ([]PollSummary, error) {
	return readLines[PollSummary](s.path(samplesFile))
}

// discardSamples removes the samples of the previous change.
func (s *RecordStore) discardSamples() {
	if s.replicated != nil {
		return
	}
	_ = os.Remove(s.path(samplesFile)) // samples are informational: leftovers do no harm
}

func (s *RecordStore) addTransition(transition Transition) { s.appendLine(historyFile, transition) }

func (s *RecordStore) addSample(sample PollSummary) { s.appendLine(samplesFile, sample) }

// appendLine appends a line to a file of a folder. Lines are informational: one that cannot be written is lost and does
// not fail the rollout.
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
		_ = os.Rename(path, path+previousSuffix) // if it fails, the line is appended to the old file
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_RDWR, fileMode)
	if err != nil {
		return err
	}
	line := append(text, '\n')
	if endsMidLine(file) {
		line = append([]byte{'\n'}, line...)
	}
	_, err = file.Write(line)
	return errors.Join(err, file.Close())
}

// endsMidLine reports whether the last line of a file is incomplete, as after a full disk or a kill. A line appended to
// it directly could not be decoded either.
func endsMidLine(file *os.File) bool {
	info, err := file.Stat()
	if err != nil || info.Size() == 0 {
		return false
	}
	last := make([]byte, 1)
	_, err = file.ReadAt(last, info.Size()-1)
	return err == nil && last[0] != '\n'
}

// readLines decodes the end of a JSON lines file. Lines that cannot be decoded, such as incomplete ones, are skipped; a
// missing file has no lines.
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

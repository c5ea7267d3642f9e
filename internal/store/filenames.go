package store

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	segmentPrefix    = "log-"
	checkpointPrefix = "ckp-"
	seqDigits        = 16

	lockFile          = "lock"
	partialCheckpoint = "new-checkpoint" // a checkpoint while it is written
	partialSegment    = "new-segment"    // the last segment while it is rewritten
)

func segmentName(first uint64) string { return fmt.Sprintf("%s%0*x", segmentPrefix, seqDigits, first) }
func checkpointName(upTo uint64) string {
	return fmt.Sprintf("%s%0*x", checkpointPrefix, seqDigits, upTo)
}

func isSegment(name string) bool    { return hasPrefixAndSeq(name, segmentPrefix) }
func isCheckpoint(name string) bool { return hasPrefixAndSeq(name, checkpointPrefix) }

func hasPrefixAndSeq(name, prefix string) bool {
	return strings.HasPrefix(name, prefix) && len(name) == len(prefix)+seqDigits
}

// seqOf returns the sequence number in the name of a segment or checkpoint; 0 if it is not hexadecimal.
func seqOf(name string) uint64 {
	seq, err := strconv.ParseUint(name[len(segmentPrefix):], 16, 64)
	if err != nil {
		return 0
	}
	return seq
}

package store

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// A segment's head: magic, version u16, two bytes, the store's life, the seq of its first record and the checksum of the record before
// that, a checksum of all that. A checkpoint has the same, with the seq up to which it stands and the checksum of that record.
const (
	segmentMagic    = "SWRLOG\x00\x01"
	checkpointMagic = "SWRCKP\x00\x01"
	version         = 1
	segmentHead     = 8 + 2 + 2 + 16 + 8 + 8 + 8
)

type header struct {
	life life
	seq  uint64
	prev uint64
}

func (h header) text(magic string) []byte {
	b := append(make([]byte, 0, segmentHead), magic...)
	b = binary.LittleEndian.AppendUint16(b, version)
	b = append(b, 0, 0)
	b = append(b, h.life[:]...)
	b = binary.LittleEndian.AppendUint64(b, h.seq)
	b = binary.LittleEndian.AppendUint64(b, h.prev)
	return binary.LittleEndian.AppendUint64(b, sumOf(life{}, b))
}

var errHead = errors.New("no head of this store's files")

// ErrVersion: a later program has written it.
var ErrVersion = errors.New("of a version that this program does not know")

// readHead reads one; a single bit of it that is wrong is mended.
func readHead(text []byte, magic string) (h header, mended bool, err error) {
	if len(text) < segmentHead {
		return h, false, errShort
	}
	t := append([]byte(nil), text[:segmentHead]...)
	good := func() bool { return binary.LittleEndian.Uint64(t[segmentHead-8:]) == sumOf(life{}, t[:segmentHead-8]) }
	if !good() {
	all:
		for at := range t {
			for b := range 8 {
				t[at] ^= 1 << b
				if mended = good(); mended {
					break all
				}
				t[at] ^= 1 << b
			}
		}
		if !mended {
			return h, false, errHead
		}
	}
	if string(t[:8]) != magic {
		return h, false, errHead
	}
	if v := binary.LittleEndian.Uint16(t[8:]); v != version {
		return h, false, fmt.Errorf("version %d: %w", v, ErrVersion)
	}
	copy(h.life[:], t[12:])
	h.seq, h.prev = binary.LittleEndian.Uint64(t[28:]), binary.LittleEndian.Uint64(t[36:])
	return h, mended, nil
}

func segmentName(first uint64) string   { return fmt.Sprintf("log-%016x", first) }
func checkpointName(upTo uint64) string { return fmt.Sprintf("ckp-%016x", upTo) }
func numberIn(name string) (n uint64)   { fmt.Sscanf(name[4:], "%016x", &n); return n }
func isSegment(name string) bool        { return len(name) == 20 && name[:4] == "log-" }
func isCheckpoint(name string) bool     { return len(name) == 20 && name[:4] == "ckp-" }

// part is what was read of a file of records.
type part struct {
	records []Record
	prev    uint64 // checksum of the last
	good    int64  // up to where it can be read
	torn    error  // why not further; nil: to its end
	mended  []int64
}

// readPart reads records from an offset on, the first of them to be seq. It stops at the first that cannot be read.
func readPart(text []byte, from int, l life, seq, prev uint64) (p part) {
	p.prev = prev
	at := from
	for at < len(text) {
		r, sum, size, err := next(text[at:], l, seq, p.prev)
		if err != nil {
			off, bit, is := mend(text[at:], l, seq, p.prev)
			if !is {
				p.torn = err
				break
			}
			text[at+off] ^= bit
			p.mended = append(p.mended, int64(at+off))
			r, sum, size, _ = next(text[at:], l, seq, p.prev)
		}
		p.records = append(p.records, r)
		p.prev, seq, at = sum, seq+1, at+size
	}
	p.good = int64(at)
	return p
}

// proves tells whether there is, behind a place that cannot be read, a record of this store that shows that seq was durable
// when it was written: then the place is damaged, and no torn tail.
func proves(text []byte, l life, seq uint64) bool {
	for at := 0; at+frame <= len(text); at++ {
		if text[at+4] != form {
			continue
		}
		if r, _, _, _, err := read(text[at:], l); err == nil && r.Seq > seq && r.stable >= seq {
			return true
		}
	}
	return false
}

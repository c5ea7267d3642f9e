// Package store is a log that survives a crash: records in segments, each chained to the one before, made durable many at a
// time, and compacted into checkpoints. What it is told is durable is found again, or the store says which file is damaged
// where; what was not is dropped whole.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Kind is what a record is of; what it means is its user's.
type Kind uint8

// Record is an entry of the log.
type Record struct {
	Seq     uint64 // from 1, without gaps
	Kind    Kind
	Payload []byte
	stable  uint64 // all up to it were durable when this was written
}

// The form on disk, little endian: length of the payload u32, form u8, kind u8, seq u64, stable u64, checksum of the record before
// u64, payload, checksum u64 of all that and the life of the store. The chain tells a torn tail from old bytes that look like
// a record, and a segment of another place or life from the one that belongs here.
const (
	form        = 1
	head        = 4 + 1 + 1 + 8 + 8 + 8
	frame       = head + 8
	MostPayload = 1 << 20
)

// life names a store: it is drawn when that is made. Each of its checksums has it in.
type life [16]byte

func sumOf(l life, text []byte) uint64 {
	d := xxhash.New()
	d.Write(l[:])
	d.Write(text)
	return d.Sum64()
}

// write appends a record's form; the sum is what the next is chained to.
func write(to []byte, l life, r Record, prev uint64) (text []byte, sum uint64) {
	from := len(to)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(r.Payload)))
	to = append(to, form, byte(r.Kind))
	to = binary.LittleEndian.AppendUint64(to, r.Seq)
	to = binary.LittleEndian.AppendUint64(to, r.stable)
	to = binary.LittleEndian.AppendUint64(to, prev)
	to = append(to, r.Payload...)
	sum = sumOf(l, to[from:])
	return binary.LittleEndian.AppendUint64(to, sum), sum
}

var (
	errShort = errors.New("it ends in the midst of a record")
	errForm  = errors.New("no record")
	errSum   = errors.New("a record whose checksum is wrong")
	errChain = errors.New("a record that does not belong here")
)

// read reads the record at the beginning of a text, without regard to its place in the chain.
func read(text []byte, l life) (r Record, prev, sum uint64, size int, err error) {
	if len(text) < head {
		return r, 0, 0, 0, errShort
	}
	n := binary.LittleEndian.Uint32(text)
	if text[4] != form || n > MostPayload {
		return r, 0, 0, 0, errForm
	}
	size = frame + int(n)
	if len(text) < size {
		return r, 0, 0, 0, errShort
	}
	sum = binary.LittleEndian.Uint64(text[size-8:])
	if sumOf(l, text[:size-8]) != sum {
		return r, 0, 0, 0, errSum
	}
	r = Record{Kind: Kind(text[5]), Seq: binary.LittleEndian.Uint64(text[6:]), stable: binary.LittleEndian.Uint64(text[14:]), Payload: text[head : size-8]}
	return r, binary.LittleEndian.Uint64(text[22:]), sum, size, nil
}

// next reads the record that is to follow one.
func next(text []byte, l life, seq, prev uint64) (r Record, sum uint64, size int, err error) {
	r, before, sum, size, err := read(text, l)
	if err == nil && (r.Seq != seq || before != prev) {
		err = errChain
	}
	return r, sum, size, err
}

// mostMended bounds what is looked through for a bit.
const mostMended = 4 << 10

// mend finds the one bit which, turned, makes the record at the beginning of a text the one that is to follow. A record that is
// the last of all has nobody behind it who could tell that it was durable, so one bit of it must not look like a torn tail.
func mend(text []byte, l life, seq, prev uint64) (at int, bit byte, is bool) {
	tries := func(from, to int) bool {
		for at = from; at < min(to, len(text)); at++ {
			for b := range 8 {
				bit = 1 << b
				text[at] ^= bit
				_, _, _, err := next(text, l, seq, prev)
				text[at] ^= bit
				if err == nil {
					return true
				}
			}
		}
		return false
	}
	if tries(0, 4) { // the length: where the record ends is not known else
		return at, bit, true
	}
	if len(text) < head {
		return 0, 0, false
	}
	size := frame + int(binary.LittleEndian.Uint32(text))
	return at, bit, size <= mostMended && size <= len(text) && tries(4, size)
}

// Damage is a place where what was durable cannot be read.
type Damage struct {
	File   string
	Offset int64
	Why    error
}

func (d *Damage) Error() string { return fmt.Sprintf("%s, offset %d: %v", d.File, d.Offset, d.Why) }

func (d *Damage) Unwrap() error { return d.Why }

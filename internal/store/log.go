package store

import (
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
)

// Limits of a log.
type Limits struct {
	Segment int64 // bytes after which another is begun
}

// Usual are the limits where none are told.
func Usual() Limits { return Limits{Segment: 16 << 20} }

// Log is an open log. It is for one goroutine at a time; Committer is for many. After an error of the disk it is of no use any
// more: a sync that failed may have lost what it was for, and later ones would not tell. Open finds what is there.
type Log struct {
	disk   Disk
	limits Limits
	life   life
	file   File
	size   int64
	first  uint64 // of the segment that is written
	seq    uint64 // of the last record
	prev   uint64 // its checksum
	stable uint64 // all up to it are durable
	buf    []byte
	failed error
}

// Found is what Open found.
type Found struct {
	Records int      // that were replayed
	Torn    int64    // bytes that were dropped behind the last whole record: they were never durable
	Mended  []string // single bits that were wrong: file and offset
	Removed []string // files that a crash left behind
}

// Open reads a log and has replay told of each record, those of the checkpoint first; then it goes on in a segment of its own.
func Open(d Disk, l Limits, replay func(Record) error) (*Log, Found, error) {
	g := &Log{disk: d, limits: l}
	found, err := g.load(replay, true)
	if err == nil {
		err = g.begin()
	}
	return g, found, err
}

// Look reads a log as Open does, and changes nothing.
func Look(d Disk, replay func(Record) error) (Found, error) {
	return (&Log{disk: d}).load(replay, false)
}

func (g *Log) load(replay func(Record) error, change bool) (found Found, err error) {
	names, err := g.disk.List()
	if err != nil {
		return found, err
	}
	var segments []string
	base := ""
	for _, name := range names {
		switch {
		case isSegment(name):
			segments = append(segments, name)
		case isCheckpoint(name):
			base = name // the last in order
		}
	}
	if base != "" {
		if err := g.loadBase(base, replay, &found); err != nil {
			return found, err
		}
	}
	drop := func(name string) error {
		found.Removed = append(found.Removed, name)
		if !change {
			return nil
		}
		return g.disk.Remove(name)
	}
	for _, name := range names { // half written ones, and those that a checkpoint stands for
		after := slices.IndexFunc(segments, func(s string) bool { return s == name })
		old := isCheckpoint(name) && name < base || after >= 0 && base != "" && numberIn(name) <= g.seq
		if old || !isSegment(name) && !isCheckpoint(name) {
			if err := drop(name); err != nil {
				return found, err
			}
			if after >= 0 {
				segments = slices.Delete(segments, after, after+1)
			}
		}
	}
	for i, name := range segments {
		last, err := g.loadSegment(name, i == len(segments)-1, replay, change, &found)
		if err != nil {
			return found, err
		}
		if last {
			if rest := segments[i+1:]; len(rest) > 0 {
				return found, &Damage{rest[0], 0, errors.New("a segment behind one that is torn")}
			}
		}
	}
	g.stable = g.seq
	return found, nil
}

// loadBase reads a checkpoint. It was whole and durable before it had its name.
func (g *Log) loadBase(name string, replay func(Record) error, found *Found) error {
	text, err := g.disk.Read(name)
	if err != nil {
		return err
	}
	h, mended, err := readHead(text, checkpointMagic)
	if err != nil {
		return &Damage{name, 0, err}
	}
	if h.seq != numberIn(name) {
		return &Damage{name, 0, fmt.Errorf("it is the checkpoint of %d", h.seq)}
	}
	if mended {
		found.Mended = append(found.Mended, name+", head")
	}
	p := readPart(text, segmentHead, h.life, 1, h.prev)
	for _, at := range p.mended {
		found.Mended = append(found.Mended, fmt.Sprintf("%s, offset %d", name, at))
	}
	if n := len(p.records); p.torn != nil || n == 0 || p.records[n-1].Kind != endKind {
		if p.torn == nil {
			p.torn = errShort
		}
		return &Damage{name, p.good, p.torn}
	}
	for _, r := range p.records[:len(p.records)-1] {
		if err := replay(r); err != nil {
			return &Damage{name, 0, err}
		}
		found.Records++
	}
	g.life, g.seq, g.prev = h.life, h.seq, h.prev
	return nil
}

// endKind ends a checkpoint: one without it was not written to its end.
const endKind = Kind(255)

// loadSegment reads one; torn: it ends before its end.
func (g *Log) loadSegment(name string, last bool, replay func(Record) error, change bool, found *Found) (torn bool, err error) {
	text, err := g.disk.Read(name)
	if err != nil {
		return false, err
	}
	h, mended, err := readHead(text, segmentMagic)
	switch {
	case last && (errors.Is(err, errShort) || errors.Is(err, errHead) && allZero(text[segmentHead:])): // a crash while it was begun: records come once its head is durable
		found.Torn += int64(len(text))
		found.Removed = append(found.Removed, name)
		if change {
			return true, g.disk.Remove(name)
		}
		return true, nil
	case err != nil:
		return false, &Damage{name, 0, err}
	}
	if mended {
		found.Mended = append(found.Mended, name+", head")
	}
	if g.seq == 0 && g.life == (life{}) {
		g.life, g.prev = h.life, h.prev
	}
	if h.life != g.life {
		return false, &Damage{name, 0, errors.New("a segment of another store")}
	}
	if h.seq != numberIn(name) || h.seq != g.seq+1 || h.prev != g.prev {
		return false, &Damage{name, 0, fmt.Errorf("a segment of record %d on, record %d was to come: %w", h.seq, g.seq+1, errChain)}
	}
	p := readPart(text, segmentHead, g.life, g.seq+1, g.prev)
	for _, at := range p.mended {
		found.Mended = append(found.Mended, fmt.Sprintf("%s, offset %d", name, at))
	}
	for _, r := range p.records {
		if err := replay(r); err != nil {
			return false, &Damage{name, 0, err}
		}
		found.Records++
	}
	g.seq, g.prev = g.seq+uint64(len(p.records)), p.prev
	if p.torn == nil && !last {
		return false, nil
	}
	if p.torn != nil && (!last || proves(text[p.good:], g.life, g.seq+1)) {
		return false, &Damage{name, p.good, fmt.Errorf("record %d was durable: %w", g.seq+1, p.torn)}
	}
	found.Torn += int64(len(text)) - p.good
	if change && len(p.records) > 0 { // without any it is begun anew under its name
		err = g.anew(name, text[:p.good])
	}
	return true, err
}

// anew writes the last segment once more: what can be read of it need not be durable, where a sync failed before, and would
// be gone at the next crash while what is written from now on is not.
func (g *Log) anew(name string, text []byte) error {
	const beside = "new-segment"
	f, err := g.disk.Create(beside)
	if err != nil {
		return err
	}
	n, err := f.Write(text)
	if err == nil && n < len(text) {
		err = errors.New("a short write")
	}
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	return errors.Join(g.disk.Rename(beside, name), g.disk.Sync())
}

func allZero(text []byte) bool {
	return !slices.ContainsFunc(text, func(b byte) bool { return b != 0 })
}

// begin begins a segment.
func (g *Log) begin() error {
	if g.life == (life{}) {
		rand.Read(g.life[:])
	}
	if g.file != nil {
		if err := g.file.Close(); err != nil {
			return g.fail(err)
		}
		g.file = nil
	}
	f, err := g.disk.Create(segmentName(g.seq + 1))
	if err != nil {
		return g.fail(err)
	}
	g.file, g.first = f, g.seq+1
	text := header{g.life, g.seq + 1, g.prev}.text(segmentMagic)
	if err := g.put(text); err != nil {
		return err
	}
	if err := errors.Join(f.Sync(), g.disk.Sync()); err != nil {
		return g.fail(err)
	}
	g.size = int64(len(text))
	return nil
}

func (g *Log) fail(err error) error {
	if g.failed == nil {
		g.failed = err
	}
	return err
}

func (g *Log) put(text []byte) error {
	n, err := g.file.Write(text)
	if err == nil && n < len(text) {
		err = errors.New("a short write")
	}
	if err != nil {
		return g.fail(err)
	}
	return nil
}

// ErrPayload: a record is too large.
var ErrPayload = fmt.Errorf("a payload of over %d bytes", MostPayload)

// Append writes records and makes them durable, all with one sync. They are numbered from the one that it returns on.
func (g *Log) Append(records []Record) (first uint64, err error) {
	if g.failed != nil {
		return 0, g.failed
	}
	for _, r := range records {
		if len(r.Payload) > MostPayload {
			return 0, ErrPayload
		}
	}
	if g.size >= g.limits.Segment {
		if err := g.begin(); err != nil {
			return 0, err
		}
	}
	first, g.buf = g.seq+1, g.buf[:0]
	seq, prev := g.seq, g.prev
	for _, r := range records {
		seq++
		r.Seq, r.stable = seq, g.stable
		g.buf, prev = write(g.buf, g.life, r, prev)
	}
	if err := g.put(g.buf); err != nil {
		return 0, err
	}
	if err := g.file.Sync(); err != nil {
		return 0, g.fail(err)
	}
	g.seq, g.prev, g.stable, g.size = seq, prev, seq, g.size+int64(len(g.buf))
	return first, nil
}

// Checkpoint writes what stands for all records so far, and removes those. live tells the records; their numbers count for
// nothing. Whatever moment it is killed at, either the old ones or the new one stand.
func (g *Log) Checkpoint(live func(put func(Kind, []byte) error) error) error {
	if g.failed != nil {
		return g.failed
	}
	if g.seq == 0 {
		return nil
	}
	const beside = "new-checkpoint"
	f, err := g.disk.Create(beside)
	if err != nil {
		return g.fail(err)
	}
	upTo, prev, n := g.seq, g.prev, uint64(0)
	buf := header{g.life, upTo, prev}.text(checkpointMagic)
	put := func(k Kind, payload []byte) error {
		if len(payload) > MostPayload {
			return ErrPayload
		}
		n++
		buf, prev = write(buf, g.life, Record{Seq: n, Kind: k, Payload: payload}, prev)
		if len(buf) < 1<<16 && k != endKind {
			return nil
		}
		if m, err := f.Write(buf); err != nil || m < len(buf) {
			return errors.Join(err, errors.New("the checkpoint was not written"))
		}
		buf = buf[:0]
		return nil
	}
	if err = live(put); err == nil {
		err = put(endKind, nil)
	}
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return g.fail(err)
	}
	if err := g.begin(); err != nil { // before the name: the segment behind it is there whenever it is
		return err
	}
	if err := errors.Join(g.disk.Rename(beside, checkpointName(upTo)), g.disk.Sync()); err != nil {
		return g.fail(err)
	}
	names, err := g.disk.List()
	if err != nil {
		return g.fail(err)
	}
	for _, name := range names {
		if isSegment(name) && numberIn(name) <= upTo || isCheckpoint(name) && numberIn(name) < upTo {
			if err := g.disk.Remove(name); err != nil {
				return g.fail(err)
			}
		}
	}
	if err := g.disk.Sync(); err != nil {
		return g.fail(err)
	}
	return nil
}

// Seq is the number of the last record that is durable.
func (g *Log) Seq() uint64 { return g.stable }

// Close closes it.
func (g *Log) Close() error {
	if g.file == nil {
		return nil
	}
	err := g.file.Close()
	g.file, g.failed = nil, errors.New("closed")
	return err
}

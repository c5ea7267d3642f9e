// Package wire is the codec of the simulator's frames: batches of events in, replies of actions out.
package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"swiftreel/choice"
)

// Instance numbers one hosted controller.
type Instance uint16

// SetID numbers a list of engines that a Register event hands over.
type SetID uint16

// RecordKind tells the adapter's own records from those meant for an instance.
type RecordKind uint8

// The kinds of record.
const (
	ForInstance RecordKind = iota
	StartInstance
	StopInstance
	RegisterEngines
)

// Record is one event of a batch.
type Record struct {
	Kind     RecordKind
	Instance Instance
	Set      SetID                // Register, and a list event
	Engines  []choice.EngineEntry // Register
	Settings []byte               // Boot: the settings as JSON text
	Event    choice.Event
}

// Batch is all that happened at one time.
type Batch struct {
	Now     choice.Nanos
	Records []Record
}

const (
	eventSize  = 48
	actionSize = 24
	lineSize   = 22
	headSize   = 12      // the clock and the number of records
	maxFrame   = 1 << 30 // a length beyond this is a broken frame
)

var (
	eventCodes = map[byte]choice.EventKind{
		20: choice.JobArrived, 30: choice.ProgressReported, 40: choice.TimerFired, 60: choice.AttemptEnded, 70: choice.ClientDisconnected,
		90: choice.StreamStarted, 100: choice.GossipReceived, 110: choice.EnginesListed, 120: choice.ProbeCompleted,
	}
	actionCodes = map[choice.ActionKind]byte{
		choice.Dispatch: 10, choice.Throttle: 20, choice.CancelPermanently: 30, choice.CancelAttempt: 40, choice.SetTimer: 50,
		choice.SendProbe: 60, choice.CloseIdle: 70, choice.SendGossip: 80, choice.Log: 90, choice.Fault: 100,
		choice.WatchEngines: 110, choice.ListEngines: 120, choice.SetDispatchOptions: 130,
	}
	resultCodes = map[uint16]choice.Result{
		100: choice.Done, 301: choice.Failed, 302: choice.Full, 303: choice.TimedOut,
		304: choice.Unreachable, 305: choice.Reset, 306: choice.Canceled, 307: choice.Superseded,
	}
	listCodes = map[byte]choice.ListKind{
		0: choice.FullList, 1: choice.ListFailed, 3: choice.ListDelta, 4: choice.CachedList,
	}
)

// ErrFrame is the error of a frame that does not read as one.
var ErrFrame = errors.New("malformed frame")

// ReadBatch reads one batch. io.EOF means that the input ended between two frames.
func ReadBatch(r *bufio.Reader) (Batch, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if err == io.EOF {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("%w: length: %v", ErrFrame, err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < headSize || n > maxFrame {
		return Batch{}, fmt.Errorf("%w: length %d", ErrFrame, n)
	}
	frame, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil || len(frame) != int(n) {
		return Batch{}, fmt.Errorf("%w: %d of %d bytes", ErrFrame, len(frame), n)
	}
	return decode(frame)
}

func decode(frame []byte) (Batch, error) {
	b := Batch{Now: choice.Nanos(binary.BigEndian.Uint64(frame))}
	count := int64(binary.BigEndian.Uint32(frame[8:]))
	if headSize+count*eventSize > int64(len(frame)) {
		return Batch{}, fmt.Errorf("%w: %d records in %d bytes", ErrFrame, count, len(frame))
	}
	tail := frame[headSize+count*eventSize:]
	b.Records = make([]Record, 0, count)
	for i := range int(count) {
		rec, err := decodeEvent(frame[headSize+i*eventSize:][:eventSize], tail)
		if err != nil {
			return Batch{}, fmt.Errorf("%w: record %d: %w", ErrFrame, i, err)
		}
		b.Records = append(b.Records, rec)
	}
	return b, nil
}

// cut takes length entries of the given size from the tail.
func cut(tail, span []byte, size int64) ([]byte, error) {
	from, n := int64(binary.BigEndian.Uint32(span)), int64(binary.BigEndian.Uint32(span[4:]))*size
	if from+n > int64(len(tail)) {
		return nil, fmt.Errorf("tail span %d+%d of %d", from, n, len(tail))
	}
	return tail[from : from+n], nil
}

func f32(b []byte) float64 { return float64(math.Float32frombits(binary.BigEndian.Uint32(b))) }

func loadReport(b []byte) ([]float64, error) {
	if b[0] > 4 {
		return nil, fmt.Errorf("load report of %d values", b[0])
	}
	var load []float64
	for i := range int(b[0]) {
		load = append(load, f32(b[1+4*i:]))
	}
	return load, nil
}

// tableSet reads the group of tables, which the wire states as a float.
func tableSet(b []byte) choice.TableGroup {
	v := f32(b)
	if !(math.Abs(v) < 1<<31) {
		return 0
	}
	return choice.TableGroup(v)
}

func decodeEvent(r, tail []byte) (Record, error) {
	be := binary.BigEndian
	rec := Record{Instance: Instance(be.Uint16(r[1:]))}
	ev := &rec.Event
	known, err := true, error(nil)
	switch r[0] {
	case 10:
		rec.Kind = StartInstance
		*ev = choice.Event{Kind: choice.Started, Seed: be.Uint64(r[3:])}
		rec.Settings, err = cut(tail, r[11:], 1)
		return rec, err
	case 80:
		rec.Kind = StopInstance
		return rec, nil
	case 50:
		rec.Kind, rec.Set = RegisterEngines, SetID(be.Uint16(r[1:]))
		lines, err := cut(tail, r[3:], lineSize)
		for ; len(lines) > 0; lines = lines[lineSize:] {
			rec.Engines = append(rec.Engines, choice.EngineEntry{
				Engine: choice.EngineID(be.Uint32(lines)), Zone: choice.ZoneID(lines[4]),
				Kind: choice.KindID(be.Uint16(lines[5:])), Cell: choice.CellID(be.Uint16(lines[7:])),
				State: choice.EngineState(lines[9]), Size: f32(lines[10:]),
				StartedAt: choice.Nanos(be.Uint64(lines[14:])),
			})
			if lines[9] > byte(choice.Draining) {
				return rec, fmt.Errorf("engine state %d", lines[9])
			}
		}
		return rec, err
	}
	if ev.Kind, known = eventCodes[r[0]]; !known {
		return rec, fmt.Errorf("event code %d", r[0])
	}
	switch ev.Kind {
	case choice.JobArrived, choice.ClientDisconnected, choice.AttemptEnded, choice.ProgressReported, choice.StreamStarted:
		ev.Job = choice.JobID(be.Uint32(r[3:]))
	}
	switch ev.Kind {
	case choice.AttemptEnded, choice.ProgressReported, choice.StreamStarted:
		ev.Seq, ev.Engine = choice.AttemptSeq(be.Uint16(r[7:])), choice.EngineID(be.Uint32(r[9:]))
	}
	switch ev.Kind {
	case choice.JobArrived:
		ev.Type, ev.Tenant = choice.TypeID(r[7]), choice.TenantID(be.Uint32(r[8:]))
		ev.Key, ev.TimeLeft = choice.Key(be.Uint64(r[12:])), choice.Nanos(be.Uint64(r[20:]))
		ev.Cost, ev.MemoryMB = choice.Nanos(be.Uint64(r[28:])), f32(r[36:])
		ev.Tables = tableSet(r[40:])
		ev.CostKnown, ev.IsRepeat, ev.IsWrite = r[44]&1 != 0, r[44]&2 != 0, r[44]&4 != 0
	case choice.ProgressReported:
		ev.Progress, ev.Amount = choice.ProgressKind(r[13]), f32(r[14:])
	case choice.StreamStarted:
		ev.Latency = choice.Nanos(be.Uint64(r[13:]))
	case choice.TimerFired:
		ev.TimerID = choice.TimerID(be.Uint64(r[3:]))
	case choice.AttemptEnded:
		ev.Result, known = resultCodes[be.Uint16(r[13:])]
		ev.Latency, ev.IsFinal, ev.Usage = choice.Nanos(be.Uint64(r[15:])), r[23] != 0, be.Uint32(r[24:])
		ev.Load, err = loadReport(r[28:])
	case choice.ProbeCompleted:
		ev.Engine = choice.EngineID(be.Uint32(r[3:]))
		ev.Result, known = resultCodes[be.Uint16(r[7:])]
		ev.Latency = choice.Nanos(be.Uint64(r[9:]))
		ev.Load, err = loadReport(r[17:])
	case choice.GossipReceived:
		ev.Peer = choice.PeerID(be.Uint32(r[3:]))
		ev.Payload, err = cut(tail, r[7:], 1)
	case choice.EnginesListed:
		ev.List, known = listCodes[r[3]]
		rec.Set = SetID(be.Uint16(r[12:]))
	}
	if !known {
		return rec, fmt.Errorf("unknown result or list code")
	}
	return rec, err
}

// Reply gathers the actions that answer one batch.
type Reply struct {
	records, tail []byte
	count         uint32
}

// Add puts one action of an instance at the end of the reply.
func (p *Reply) Add(inst Instance, a choice.Action) {
	be := binary.BigEndian
	var r [actionSize]byte
	r[0] = actionCodes[a.Kind]
	be.PutUint16(r[1:], uint16(inst))
	be.PutUint32(r[3:], uint32(a.Job))
	switch a.Kind {
	case choice.Dispatch:
		be.PutUint32(r[7:], uint32(a.Engine))
		be.PutUint64(r[11:], uint64(a.Duration))
	case choice.Throttle:
		be.PutUint64(r[7:], uint64(a.Duration))
	case choice.CancelAttempt:
		be.PutUint16(r[7:], uint16(a.Seq))
	case choice.SetDispatchOptions:
		r[7] = a.Priority
		be.PutUint32(r[8:], math.Float32bits(float32(a.MemoryMB)))
	case choice.SetTimer:
		be.PutUint64(r[3:], uint64(a.Duration))
		be.PutUint64(r[11:], uint64(a.TimerID))
	case choice.SendProbe, choice.CloseIdle:
		be.PutUint32(r[3:], uint32(a.Engine))
	case choice.WatchEngines:
		if a.Enabled {
			r[3] = 1
		}
	case choice.SendGossip:
		be.PutUint32(r[3:], uint32(a.Peer))
		p.text(r[7:], a.Text)
	case choice.Log, choice.Fault:
		p.text(r[3:], a.Text)
	}
	p.records = append(p.records, r[:]...)
	p.count++
}

// text puts a text into the tail and its span into a record.
func (p *Reply) text(span []byte, text string) {
	binary.BigEndian.PutUint32(span, uint32(len(p.tail)))
	binary.BigEndian.PutUint32(span[4:], uint32(len(text)))
	p.tail = append(p.tail, text...)
}

// WriteTo writes the reply as one frame and empties it for the next batch.
func (p *Reply) WriteTo(w io.Writer) (int64, error) {
	frame := make([]byte, 8, 8+len(p.records)+len(p.tail))
	binary.BigEndian.PutUint32(frame, uint32(4+len(p.records)+len(p.tail)))
	binary.BigEndian.PutUint32(frame[4:], p.count)
	frame = append(append(frame, p.records...), p.tail...)
	*p = Reply{records: p.records[:0], tail: p.tail[:0]}
	n, err := w.Write(frame)
	return int64(n), err
}

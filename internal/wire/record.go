package wire

import (
	"encoding/binary"
	"fmt"
	"math"

	"swiftreel/choice"
)

// Codes of records.
const (
	codeStart         = 10
	codeArrived       = 20
	codeProgress      = 30
	codeTimer         = 40
	codeEngines       = 50
	codeAttemptEnded  = 60
	codeDisconnected  = 70
	codeStop          = 80
	codeStreamStarted = 90
	codeGossip        = 100
	codeEnginesListed = 110
	codeProbe         = 120
)

const (
	entrySize     = 22 // bytes of an engine in a list
	maxLoadFields = 4  // of a load report
	maxTableGroup = 1 << 31
)

var resultCodes = map[uint16]choice.Result{
	100: choice.Done, 301: choice.Failed, 302: choice.Full, 303: choice.TimedOut,
	304: choice.Unreachable, 305: choice.Reset, 306: choice.Canceled, 307: choice.Superseded,
}

var listCodes = map[byte]choice.ListKind{
	0: choice.FullList, 1: choice.ListFailed, 3: choice.ListDelta, 4: choice.CachedList,
}

// Bits of an arrived job.
const (
	flagCostKnown = 1 << iota
	flagRepeat
	flagWrite
)

// fields are the bytes of one record.
type fields []byte

func (f fields) uint16(at int) uint16 { return binary.BigEndian.Uint16(f[at:]) }

func (f fields) uint32(at int) uint32 { return binary.BigEndian.Uint32(f[at:]) }

func (f fields) uint64(at int) uint64 { return binary.BigEndian.Uint64(f[at:]) }

func (f fields) nanos(at int) choice.Nanos { return choice.Nanos(f.uint64(at)) }

func (f fields) float32(at int) float64 { return float64(math.Float32frombits(f.uint32(at))) }

// span takes entries of a size from the tail; their offset and number stand at a place.
func (f fields) span(at int, tail []byte, size int64) ([]byte, error) {
	from := int64(f.uint32(at))
	length := int64(f.uint32(at+4)) * size
	if from+length > int64(len(tail)) {
		return nil, fmt.Errorf("tail span %d+%d of %d", from, length, len(tail))
	}
	return tail[from : from+length], nil
}

// load reads a load report: the number of its values, and these.
func (f fields) load(at int) ([]float64, error) {
	count := int(f[at])
	if count > maxLoadFields {
		return nil, fmt.Errorf("load report of %d values", count)
	}
	var load []float64
	for i := range count {
		load = append(load, f.float32(at+1+4*i))
	}
	return load, nil
}

func (f fields) result(at int) (choice.Result, error) {
	result, known := resultCodes[f.uint16(at)]
	if !known {
		return 0, fmt.Errorf("result code %d", f.uint16(at))
	}
	return result, nil
}

// tables reads the group of tables, which the wire states as a float.
func (f fields) tables(at int) choice.TableGroup {
	group := f.float32(at)
	if !(math.Abs(group) < maxTableGroup) {
		return 0
	}
	return choice.TableGroup(group)
}

// decodeRecord reads one record: those for the adapter itself here, events of an instance in decodeEvent.
func decodeRecord(raw fields, tail []byte) (Record, error) {
	record := Record{Instance: Instance(raw.uint16(1))}
	var err error
	switch raw[0] {
	case codeStart:
		record.Kind = StartInstance
		record.Event = choice.Event{Kind: choice.Started, Seed: raw.uint64(3)}
		record.Settings, err = raw.span(11, tail, 1)
	case codeStop:
		record.Kind = StopInstance
	case codeEngines:
		record.Kind = RegisterEngines
		record.Set = SetID(raw.uint16(1))
		record.Engines, err = decodeEngines(raw, tail)
	case codeEnginesListed:
		record.Set = SetID(raw.uint16(12))
		record.Event, err = decodeEvent(raw, tail)
	default:
		record.Event, err = decodeEvent(raw, tail)
	}
	return record, err
}

func decodeEngines(raw fields, tail []byte) ([]choice.EngineEntry, error) {
	span, err := raw.span(3, tail, entrySize)
	if err != nil {
		return nil, err
	}
	var engines []choice.EngineEntry
	for entry := fields(span); len(entry) > 0; entry = entry[entrySize:] {
		state := choice.EngineState(entry[9])
		if state > choice.Draining {
			return nil, fmt.Errorf("engine state %d", state)
		}
		engines = append(engines, choice.EngineEntry{
			Engine: choice.EngineID(entry.uint32(0)), Zone: choice.ZoneID(entry[4]),
			Kind: choice.KindID(entry.uint16(5)), Cell: choice.CellID(entry.uint16(7)),
			State: state, Size: entry.float32(10), StartedAt: entry.nanos(14),
		})
	}
	return engines, nil
}

// eventDecoders read the fields of each kind of event.
var eventDecoders = map[byte]func(raw fields, tail []byte) (choice.Event, error){
	codeArrived:       decodeArrived,
	codeProgress:      decodeProgress,
	codeTimer:         decodeTimer,
	codeAttemptEnded:  decodeAttemptEnded,
	codeDisconnected:  decodeDisconnected,
	codeStreamStarted: decodeStreamStarted,
	codeGossip:        decodeGossip,
	codeEnginesListed: decodeEnginesListed,
	codeProbe:         decodeProbe,
}

func decodeEvent(raw fields, tail []byte) (choice.Event, error) {
	decode, known := eventDecoders[raw[0]]
	if !known {
		return choice.Event{}, fmt.Errorf("event code %d", raw[0])
	}
	return decode(raw, tail)
}

func decodeArrived(raw fields, _ []byte) (choice.Event, error) {
	flags := raw[44]
	return choice.Event{
		Kind: choice.JobArrived, Job: choice.JobID(raw.uint32(3)),
		Type: choice.TypeID(raw[7]), Tenant: choice.TenantID(raw.uint32(8)),
		Key: choice.Key(raw.uint64(12)), TimeLeft: raw.nanos(20),
		Cost: raw.nanos(28), MemoryMB: raw.float32(36), Tables: raw.tables(40),
		CostKnown: flags&flagCostKnown != 0, IsRepeat: flags&flagRepeat != 0, IsWrite: flags&flagWrite != 0,
	}, nil
}

// attemptEvent has the fields that all events of an attempt begin with.
func attemptEvent(kind choice.EventKind, raw fields) choice.Event {
	return choice.Event{
		Kind: kind, Job: choice.JobID(raw.uint32(3)), Seq: choice.AttemptSeq(raw.uint16(7)),
		Engine: choice.EngineID(raw.uint32(9)),
	}
}

func decodeProgress(raw fields, _ []byte) (choice.Event, error) {
	ev := attemptEvent(choice.ProgressReported, raw)
	ev.Progress = choice.ProgressKind(raw[13])
	ev.Amount = raw.float32(14)
	return ev, nil
}

func decodeStreamStarted(raw fields, _ []byte) (choice.Event, error) {
	ev := attemptEvent(choice.StreamStarted, raw)
	ev.Latency = raw.nanos(13)
	return ev, nil
}

func decodeAttemptEnded(raw fields, _ []byte) (choice.Event, error) {
	ev := attemptEvent(choice.AttemptEnded, raw)
	var err error
	if ev.Result, err = raw.result(13); err != nil {
		return ev, err
	}
	ev.Latency = raw.nanos(15)
	ev.IsFinal = raw[23] != 0
	ev.Usage = raw.uint32(24)
	ev.Load, err = raw.load(28)
	return ev, err
}

func decodeDisconnected(raw fields, _ []byte) (choice.Event, error) {
	return choice.Event{Kind: choice.ClientDisconnected, Job: choice.JobID(raw.uint32(3))}, nil
}

func decodeTimer(raw fields, _ []byte) (choice.Event, error) {
	return choice.Event{Kind: choice.TimerFired, TimerID: choice.TimerID(raw.uint64(3))}, nil
}

func decodeProbe(raw fields, _ []byte) (choice.Event, error) {
	ev := choice.Event{Kind: choice.ProbeCompleted, Engine: choice.EngineID(raw.uint32(3)), Latency: raw.nanos(9)}
	var err error
	if ev.Result, err = raw.result(7); err != nil {
		return ev, err
	}
	ev.Load, err = raw.load(17)
	return ev, err
}

func decodeGossip(raw fields, tail []byte) (choice.Event, error) {
	ev := choice.Event{Kind: choice.GossipReceived, Peer: choice.PeerID(raw.uint32(3))}
	var err error
	ev.Payload, err = raw.span(7, tail, 1)
	return ev, err
}

func decodeEnginesListed(raw fields, _ []byte) (choice.Event, error) {
	list, known := listCodes[raw[3]]
	if !known {
		return choice.Event{}, fmt.Errorf("list code %d", raw[3])
	}
	return choice.Event{Kind: choice.EnginesListed, List: list}, nil
}

package wire

import (
	"encoding/binary"
	"fmt"
	"math"

	"swiftreel/choice"
)

// The codes of records, in their first byte.
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
	entrySize     = 22      // bytes of an engine in an engine list
	maxLoadFields = 4       // of a load report
	maxTableGroup = 1 << 31 // groups of tables are below this
)

var resultCodes = map[uint16]choice.Result{
	100: choice.Done, 301: choice.Failed, 302: choice.Full, 303: choice.TimedOut,
	304: choice.ConnectionRefused, 305: choice.Reset, 306: choice.Canceled, 307: choice.Superseded,
}

var listCodes = map[byte]choice.ListKind{
	0: choice.FullList, 1: choice.ListFailed, 3: choice.ListDelta, 4: choice.CachedList,
}

// The flags of an arrived job.
const (
	flagCostKnown = 1 << iota
	flagRepeat
	flagWrite
)

// rawRecord is the encoding of one record, or of one entry in the tail. Its methods decode the field at an offset.
type rawRecord []byte

func (r rawRecord) uint16(offset int) uint16 { return binary.BigEndian.Uint16(r[offset:]) }

func (r rawRecord) uint32(offset int) uint32 { return binary.BigEndian.Uint32(r[offset:]) }

func (r rawRecord) uint64(offset int) uint64 { return binary.BigEndian.Uint64(r[offset:]) }

func (r rawRecord) nanos(offset int) choice.Nanos { return choice.Nanos(r.uint64(offset)) }

func (r rawRecord) float32(offset int) float64 {
	return float64(math.Float32frombits(r.uint32(offset)))
}

// span returns the entries of a given size in the tail whose offset and number are encoded at an offset.
func (r rawRecord) span(offset int, tail []byte, size int64) ([]byte, error) {
	start := int64(r.uint32(offset))
	length := int64(r.uint32(offset+4)) * size
	if start+length > int64(len(tail)) {
		return nil, fmt.Errorf("range of tail at offset %d, length %d, exceeds its %d bytes", start, length, len(tail))
	}
	return tail[start : start+length], nil
}

// load decodes a load report: the number of values, then the values.
func (r rawRecord) load(offset int) ([]float64, error) {
	count := int(r[offset])
	if count > maxLoadFields {
		return nil, fmt.Errorf("load report has too many values: %d", count)
	}
	var load []float64
	for i := range count {
		load = append(load, r.float32(offset+1+4*i))
	}
	return load, nil
}

func (r rawRecord) result(offset int) (choice.Result, error) {
	result, known := resultCodes[r.uint16(offset)]
	if !known {
		return 0, fmt.Errorf("unknown result code %d", r.uint16(offset))
	}
	return result, nil
}

// tables decodes a group of tables, which is a float on the wire; 0 if it is out of range.
func (r rawRecord) tables(offset int) choice.TableGroup {
	group := r.float32(offset)
	if !(math.Abs(group) < maxTableGroup) {
		return 0
	}
	return choice.TableGroup(group)
}

// decodeRecord decodes one record. It passes events of an instance on to decodeEvent.
func decodeRecord(raw rawRecord, tail []byte) (Record, error) {
	record := Record{Instance: InstanceID(raw.uint16(1))}
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
		record.List = EngineListID(raw.uint16(1))
		record.Engines, err = decodeEngines(raw, tail)
	case codeEnginesListed:
		record.List = EngineListID(raw.uint16(12))
		record.Event, err = decodeEvent(raw, tail)
	default:
		record.Event, err = decodeEvent(raw, tail)
	}
	return record, err
}

func decodeEngines(raw rawRecord, tail []byte) ([]choice.EngineEntry, error) {
	span, err := raw.span(3, tail, entrySize)
	if err != nil {
		return nil, err
	}
	var engines []choice.EngineEntry
	for entry := rawRecord(span); len(entry) > 0; entry = entry[entrySize:] {
		state := choice.EngineState(entry[9])
		if state > choice.Draining {
			return nil, fmt.Errorf("unknown engine state %d", state)
		}
		engines = append(engines, choice.EngineEntry{
			Engine: choice.EngineID(entry.uint32(0)), Zone: choice.ZoneID(entry[4]),
			Kind: choice.KindID(entry.uint16(5)), Cell: choice.CellID(entry.uint16(7)),
			State: state, Size: entry.float32(10), StartedAt: entry.nanos(14),
		})
	}
	return engines, nil
}

// eventDecoders decode the events of an instance, by code.
var eventDecoders = map[byte]func(raw rawRecord, tail []byte) (choice.Event, error){
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

func decodeEvent(raw rawRecord, tail []byte) (choice.Event, error) {
	decode, known := eventDecoders[raw[0]]
	if !known {
		return choice.Event{}, fmt.Errorf("unknown event code %d", raw[0])
	}
	return decode(raw, tail)
}

func decodeArrived(raw rawRecord, _ []byte) (choice.Event, error) {
	flags := raw[44]
	return choice.Event{
		Kind: choice.JobArrived, Job: choice.JobID(raw.uint32(3)),
		Type: choice.TypeID(raw[7]), Tenant: choice.TenantID(raw.uint32(8)),
		Key: choice.Key(raw.uint64(12)), TimeLeft: raw.nanos(20),
		Cost: raw.nanos(28), MemoryMB: raw.float32(36), Tables: raw.tables(40),
		CostKnown: flags&flagCostKnown != 0, IsRepeat: flags&flagRepeat != 0, IsWrite: flags&flagWrite != 0,
	}, nil
}

// attemptEvent decodes the fields with which all events of an attempt begin.
func attemptEvent(kind choice.EventKind, raw rawRecord) choice.Event {
	return choice.Event{
		Kind: kind, Job: choice.JobID(raw.uint32(3)), Seq: choice.AttemptSeq(raw.uint16(7)),
		Engine: choice.EngineID(raw.uint32(9)),
	}
}

func decodeProgress(raw rawRecord, _ []byte) (choice.Event, error) {
	ev := attemptEvent(choice.ProgressReported, raw)
	ev.Progress = choice.ProgressKind(raw[13])
	ev.Amount = raw.float32(14)
	return ev, nil
}

func decodeStreamStarted(raw rawRecord, _ []byte) (choice.Event, error) {
	ev := attemptEvent(choice.StreamStarted, raw)
	ev.Latency = raw.nanos(13)
	return ev, nil
}

func decodeAttemptEnded(raw rawRecord, _ []byte) (choice.Event, error) {
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

func decodeDisconnected(raw rawRecord, _ []byte) (choice.Event, error) {
	return choice.Event{Kind: choice.ClientDisconnected, Job: choice.JobID(raw.uint32(3))}, nil
}

func decodeTimer(raw rawRecord, _ []byte) (choice.Event, error) {
	return choice.Event{Kind: choice.TimerFired, TimerID: choice.TimerID(raw.uint64(3))}, nil
}

func decodeProbe(raw rawRecord, _ []byte) (choice.Event, error) {
	ev := choice.Event{Kind: choice.ProbeCompleted, Engine: choice.EngineID(raw.uint32(3)), Latency: raw.nanos(9)}
	var err error
	if ev.Result, err = raw.result(7); err != nil {
		return ev, err
	}
	ev.Load, err = raw.load(17)
	return ev, err
}

func decodeGossip(raw rawRecord, tail []byte) (choice.Event, error) {
	ev := choice.Event{Kind: choice.GossipReceived, Peer: choice.PeerID(raw.uint32(3))}
	var err error
	ev.Payload, err = raw.span(7, tail, 1)
	return ev, err
}

func decodeEnginesListed(raw rawRecord, _ []byte) (choice.Event, error) {
	list, known := listCodes[raw[3]]
	if !known {
		return choice.Event{}, fmt.Errorf("unknown engine list code %d", raw[3])
	}
	return choice.Event{Kind: choice.EnginesListed, List: list}, nil
}

package wire

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"swiftreel/choice"
)

func unhex(t *testing.T, parts ...string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.NewReplacer(" ", "").Replace(strings.Join(parts, "")))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func readBatch(frame []byte) (Batch, error) {
	return ReadBatch(bufio.NewReader(bytes.NewReader(frame)))
}

// twoInstances is the example batch for two instances in the documentation of the wire protocol.
const twoInstances = "0000009c 00000001f568bf90 00000003" +
	"14 0003 5d3a91c4 00 00000000 91f03b7c55d20a64 000000000e4e1c00 0000000000b71b00 43c00000 41300000 01 000000" +
	"28 0003 000000000000004d 00000000000000000000000000000000000000000000000000000000000000000000000000" +
	"46 0005 0e6f2b19 0000000000000000000000000000000000000000000000000000000000000000000000000000000000"

func TestReadBatch(t *testing.T) {
	b, err := readBatch(unhex(t, twoInstances))
	if err != nil || b.Now != 0x1f568bf90 || len(b.Records) != 3 {
		t.Fatalf("%+v %v", b, err)
	}
	job := choice.Event{Kind: choice.JobArrived, Job: 0x5d3a91c4, Key: 0x91f03b7c55d20a64, TimeLeft: 240000000,
		Cost: 12000000, MemoryMB: 384, Tables: 11, CostKnown: true}
	if got := b.Records[0]; got.Instance != 3 || !reflect.DeepEqual(got.Event, job) {
		t.Errorf("%+v", got)
	}
	if got := b.Records[1].Event; got.Kind != choice.TimerFired || got.TimerID != 77 {
		t.Errorf("%+v", got)
	}
	if got := b.Records[2]; got.Instance != 5 || got.Event.Kind != choice.ClientDisconnected ||
		got.Event.Job != 0x0e6f2b19 {
		t.Errorf("%+v", got)
	}
}

func TestReadAttemptEndedAndEngineList(t *testing.T) {
	zeros := strings.Repeat("00", 48)
	b, err := readBatch(unhex(t, "00000098 0000000000000005 00000002",
		"3c 0003 5d3a91c4 0001 03124a07 0064 00000000011a49a0 01 00011060 01 41200000 00000000 00000000 00000000 000000",
		"32 0002 00000000 00000002"+zeros[:74],
		"03124a07 01 0002 0000 01 3f800000 0000000000000000", "2c9011f2 01 0000 0007 02 3fc00000 000000016b969d00"))
	if err != nil || len(b.Records) != 2 {
		t.Fatalf("%+v %v", b, err)
	}
	want := choice.Event{Kind: choice.AttemptEnded, Job: 0x5d3a91c4, Seq: 1, Engine: 0x03124a07, Result: choice.Done,
		Latency: 0x11a49a0, IsFinal: true, Usage: 0x11060, Load: []float64{10}}
	if got := b.Records[0].Event; !reflect.DeepEqual(got, want) {
		t.Errorf("%+v", got)
	}
	engines := []choice.EngineEntry{{Engine: 0x03124a07, Zone: 1, Kind: 2, State: choice.Ready, Size: 1},
		{Engine: 0x2c9011f2, Zone: 1, Cell: 7, State: choice.Draining, Size: 1.5, StartedAt: 0x16b969d00}}
	if got := b.Records[1]; got.Kind != RegisterEngines || got.List != 2 || !reflect.DeepEqual(got.Engines, engines) {
		t.Errorf("%+v", got)
	}
}

func TestMalformedFrames(t *testing.T) {
	valid := unhex(t, twoInstances)
	for n := 1; n < len(valid); n++ {
		if _, err := readBatch(valid[:n]); !errors.Is(err, ErrFrame) {
			t.Fatalf("cut at %d: %v", n, err)
		}
	}
	if _, err := readBatch(nil); !errors.Is(err, io.EOF) || errors.Is(err, ErrFrame) {
		t.Errorf("end of input: %v", err)
	}
	for at, value := range map[int]byte{0: 0xff, 15: 9, 16: 251} { // length, count, code
		malformed := bytes.Clone(valid)
		malformed[at] = value
		if _, err := readBatch(malformed); !errors.Is(err, ErrFrame) {
			t.Errorf("byte %d = %d: %v", at, value, err)
		}
	}
}

func TestReply(t *testing.T) {
	var reply Reply
	reply.Add(3, choice.Action{Kind: choice.Dispatch, Job: 0x5d3a91c4, Engine: 0x03124a07, Duration: 80000000})
	reply.Add(3, choice.Action{Kind: choice.SetTimer, Duration: 500000000, TimerID: 77})
	reply.Add(5, choice.Action{Kind: choice.Log, Text: "two servers known"})
	reply.Add(3, choice.Action{Kind: choice.SendGossip, Peer: 0xffffffff, Payload: "hi 7"})
	reply.Add(3, choice.Action{Kind: choice.SetDispatchOptions, Job: 0x5d3a91c4, Priority: 2, MemoryMB: 640})
	var out bytes.Buffer
	if _, err := reply.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	want := unhex(t, "00000091 00000005",
		"0a 0003 5d3a91c4 03124a07 0000000004c4b400 0000000000", "32 0003 000000001dcd6500 000000000000004d 0000000000",
		"5a 0005 00000000 00000011 00000000000000000000000000", "50 0003 ffffffff 00000011 00000004 000000000000000000",
		"82 0003 5d3a91c4 02 44200000 000000000000000000000000",
		"74776f2073657276657273206b6e6f776e 68692037")
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", out.Bytes(), want)
	}
	out.Reset()
	if _, err := reply.WriteTo(&out); err != nil || !bytes.Equal(out.Bytes(), unhex(t, "00000004 00000000")) {
		t.Errorf("an empty reply: %x %v", out.Bytes(), err)
	}
}

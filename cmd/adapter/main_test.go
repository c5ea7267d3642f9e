package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"strings"
	"testing"

	"swiftreel/choice"
)

// record encodes a record of 48 bytes: its code, its instance, and fields as big-endian bytes by offset.
func record(code byte, instance uint16, fields map[int][]byte) []byte {
	raw := make([]byte, 48)
	raw[0] = code
	binary.BigEndian.PutUint16(raw[1:], instance)
	for offset, value := range fields {
		copy(raw[offset:], value)
	}
	return raw
}

func batch(now uint64, tail string, records ...[]byte) []byte {
	body := binary.BigEndian.AppendUint64(nil, now)
	body = binary.BigEndian.AppendUint32(body, uint32(len(records)))
	body = append(append(body, bytes.Join(records, nil)...), tail...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

const settings = `{"balancers": 1, "classes": [{"idempotency": "repeatable", "aim_ns": 1e9}], "unheard_of": {"x": 1}}`

func TestServe(t *testing.T) {
	engines := string(append([]byte{0, 0, 0, 9, 0, 0, 0, 0, 0, 1}, make([]byte, 12)...))
	size := byte(len(settings))
	in := batch(1e9, settings+engines,
		record(10, 4, map[int][]byte{18: {size}}),
		record(50, 0, map[int][]byte{6: {size}, 10: {1}}),
		record(110, 4, map[int][]byte{3: {4}}))
	job := map[int][]byte{3: {0, 0, 0, 7}, 20: {0, 0, 0, 0, 0x77, 0x35, 0x94, 0}}
	in = append(in, batch(2e9, "", record(20, 4, job))...)
	in = append(in, batch(3e9, "", record(80, 4, nil), record(20, 4, job))...)
	var out bytes.Buffer
	if err := serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	timer := append([]byte{50, 0, 4, 0, 0, 0, 0, 1, 0x31, 0x2d, 0, 0, 0, 0, 0, 0, 0, 0, 1}, make([]byte, 5)...)
	dispatch := append([]byte{10, 0, 4, 0, 0, 0, 7, 0, 0, 0, 9}, make([]byte, 13)...)
	frame := func(actions ...[]byte) []byte {
		body := append([]byte{0, 0, 0, byte(len(actions))}, bytes.Join(actions, nil)...)
		return append([]byte{0, 0, 0, byte(len(body))}, body...)
	}
	want := bytes.Join([][]byte{frame(timer), frame(dispatch), frame()}, nil)
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", out.Bytes(), want)
	}
}

func TestServeFailsOnMalformedInput(t *testing.T) {
	for name, in := range map[string][]byte{
		"truncated frame":    {0, 0, 0, 12, 1},
		"malformed settings": batch(1, "{", record(10, 1, map[int][]byte{18: {1}})),
	} {
		if err := serve(bytes.NewReader(in), &bytes.Buffer{}); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestSettingErrorsIncludePath(t *testing.T) {
	for text, want := range map[string]string{
		`{"classes": [{"kinds_only": ["type-a"]}]}`:             "classes.0.kinds_only.0",
		`{"classes": [{}, {"allowed_in": [1.5]}]}`:              "classes.1.allowed_in.0",
		`{"classes": [], "telemetry": {"fields": [3]}}`:         "telemetry.fields.0",
		`{"classes": [], "invariants": {"further_ratio": "x"}}`: "invariants.further_ratio",
		`{"classes": [], "invariants": {"budget_free": -1}}`:    "invariants.budget_free",
	} {
		var raw choice.RawSettings
		if err := json.Unmarshal([]byte(text), &raw); err != nil {
			t.Fatal(err)
		}
		if err := checkSettings(raw); err == nil || !strings.Contains(err.Error(), want+":") {
			t.Errorf("%s: got %v, want an error that names %s", text, err, want)
		}
	}
	var raw choice.RawSettings
	_ = json.Unmarshal([]byte(`{"classes": [{"kinds_only": [0, 2]}], "telemetry": {"fields": ["util"]}}`), &raw)
	if err := checkSettings(raw); err != nil {
		t.Errorf("valid settings: %v", err)
	}
}

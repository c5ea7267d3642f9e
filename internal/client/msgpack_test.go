package client

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

func TestEveryEncodingIsRead(t *testing.T) {
	long := strings.Repeat("x", 40)
	for name, c := range map[string]struct {
		in   string
		kind valueKind
		n    uint64
	}{
		"fixint": {"\x07", kindInt, 7}, "uint8": {"\xcc\x07", kindInt, 7}, "uint16": {"\xcd\x00\x07", kindInt, 7},
		"uint32": {"\xce\x00\x00\x00\x07", kindInt, 7}, "uint64": {"\xcf\x00\x00\x00\x00\x00\x00\x00\x07", kindInt, 7},
		"int8": {"\xd0\x07", kindInt, 7}, "int64": {"\xd3\x00\x00\x00\x00\x00\x00\x00\x07", kindInt, 7},
		"negative": {"\xff", kindNegative, 0}, "int16 below 0": {"\xd1\xff\xff", kindNegative, 0xffff},
		"fixstr": {"\xa2ab", kindStr, 2}, "str8": {"\xd9\x02ab", kindStr, 2}, "str16": {"\xda\x00\x28" + long, kindStr, 40},
		"str32": {"\xdb\x00\x00\x00\x02ab", kindStr, 2}, "bin8": {"\xc4\x02ab", kindBin, 2},
		"bin16": {"\xc5\x00\x02ab", kindBin, 2}, "bin32": {"\xc6\x00\x00\x00\x02ab", kindBin, 2},
		"fixarray": {"\x92\x01\x02", kindArray, 2}, "array16": {"\xdc\x00\x01\x01", kindArray, 1},
		"array32": {"\xdd\x00\x00\x00\x01\x01", kindArray, 1}, "fixmap": {"\x81\x01\x02", kindMap, 1},
		"map16": {"\xde\x00\x01\x01\x02", kindMap, 1}, "map32": {"\xdf\x00\x00\x00\x01\x01\x02", kindMap, 1},
		"nil": {"\xc0", kindNil, 0}, "true": {"\xc3", kindBool, 0}, "float32": {"\xca1234", kindFloat, 4},
		"float64": {"\xcb12345678", kindFloat, 8}, "fixext1": {"\xd4\x01a", kindExt, 2},
		"fixext16": {"\xd8\x01" + long[:16], kindExt, 17}, "ext8": {"\xc7\x02\x01ab", kindExt, 3},
	} {
		h, err := decodeHead([]byte(c.in))
		n, err2 := valueSize([]byte(c.in + "rest"))
		if err != nil || err2 != nil || h.kind != c.kind || h.number != c.n || n != len(c.in) {
			t.Errorf("%s: kind %d n %d size %d of %d, %v %v", name, h.kind, h.number, n, len(c.in), err, err2)
		}
	}
}

func TestValuesOutOfBoundsAreRejectedAtOnce(t *testing.T) {
	for name, in := range map[string]string{
		"a length past the bound": "\xdb\x7f\xff\xff\xff", "a count past the bound": "\xdd\xff\xff\xff\xff",
		"too deep": strings.Repeat("\x91", maxDepth+1), "no format": "\xc1", "a long bin": "\xc6\x00\x04\x00\x00",
	} {
		if _, err := valueSize([]byte(in)); !errors.Is(err, errNotMsgpack) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestARequestIsParsedWithOldAndNewStrings(t *testing.T) {
	fields := []string{"call", "9b1f03aa5c7e2d41", "ttl", "1500", "org", "acme", "rep", "1", "work", "820.5", "est_mb",
		"96", "row", "7f3a", "other", "x"}
	b := AppendCall(nil, 70000, "report", fields, []byte("SELECT 1"))
	m, err := parseMessage(b)
	if err != nil || m.id != 70000 || string(m.method) != "report" || m.isNotification {
		t.Fatalf("%+v %v", m, err)
	}
	r, err := parseRequest(m)
	if err != nil || string(r.jobID) != "9b1f03aa5c7e2d41" || r.timeout.Milliseconds() != 1500 ||
		string(r.tenant) != "acme" || !r.isRetry || r.work.Microseconds() != 820500 || r.memoryMB != 96 ||
		string(r.key) != "7f3a" || string(r.statement) != "SELECT 1" {
		t.Fatalf("%+v %v", r, err)
	}
	if cap(r.statement) == 0 || &r.statement[0] != &b[len(b)-len("SELECT 1")] {
		t.Error("the statement was copied")
	}
	tooLong := strings.Repeat("x", maxIdempotencyKey+1)
	for name, change := range map[string][]string{
		"no call":                            {"ttl", "5"},
		"no ttl":                             {"call", "9b1f03aa5c7e2d41"},
		"call not of hex digits":             {"call", "9b1f03aa5c7e2d4\n", "ttl", "5"},
		"negative ttl":                       {"call", "9b1f03aa5c7e2d41", "ttl", "-5"},
		"work is not a number":               {"call", "9b1f03aa5c7e2d41", "ttl", "5", "work", "NaN"},
		"empty idempotency key":              {"call", "9b1f03aa5c7e2d41", "ttl", "5", "dedupe", ""},
		"idempotency key too long":           {"call", "9b1f03aa5c7e2d41", "ttl", "5", "dedupe", tooLong},
		"idempotency key with a space":       {"call", "9b1f03aa5c7e2d41", "ttl", "5", "dedupe", "a b"},
		"idempotency key that adds a field":  {"call", "9b1f03aa5c7e2d41", "ttl", "5", "dedupe", "a,urgency=3"},
		"idempotency key that ends the line": {"call", "9b1f03aa5c7e2d41", "ttl", "5", "dedupe", "a\r\n"},
	} {
		m, err := parseMessage(AppendCall(nil, 1, "report", change, nil))
		if err != nil {
			t.Fatal(name, err)
		}
		if _, err := parseRequest(m); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func TestAnswersRoundTrip(t *testing.T) {
	rows := bytes.Repeat([]byte("a\tb\n"), 20000)
	b := appendDoneTail(append(appendDoneHead(nil, 300, len(rows)), rows...))
	a, n, err := ParseAnswer(append(b, 0x94))
	if err != nil || n != len(b) || a.ID != 300 || a.Error != "" || !bytes.Equal(a.Body, rows) {
		t.Fatalf("%d of %d, %v", n, len(b), err)
	}
	a, _, err = ParseAnswer(encodeError(7, errorThrottled, fieldRetryAfter, "250"))
	if err != nil || a.ID != 7 || a.Error != "Overloaded" || a.Fields["pushback"] != "250" {
		t.Fatalf("%+v %v", a, err)
	}
	if a, _, err = ParseAnswer(appendHeartbeatAnswer(nil, 8, true)); err != nil || !a.Ready || a.ID != 8 {
		t.Fatalf("%+v %v", a, err)
	}
}

// FuzzMessages checks that no input causes a panic, that every prefix of a message is reported as incomplete, and that
// an encoded message decodes to the same values.
func FuzzMessages(f *testing.F) {
	for seed := range 64 {
		fields := []string{"call", "00000000000000aa", "ttl", "9"}
		call := AppendCall(nil, uint32(seed*seed*9999), "lookup", fields, make([]byte, seed*5))
		call[seed*7%len(call)] ^= byte(seed % 3 * seed)
		f.Add(call)
	}
	f.Add(AppendRevoke(nil, 1<<20))
	f.Add([]byte("\xb0"))                                            // found by fuzzing: a truncated string
	f.Add([]byte("\x94\x010\x910\xd2\xd2\xd2\xd2\xd2\xd2\xd2\xd2A")) // found by fuzzing: an integer in place of the fields
	f.Add([]byte("\x94\x00\xcf\x00\x00\x00\x00\x00\x00\x00\x07\xc4\x01a\x92\xdf\x00\x00\x00\x00\xdb\x00\x00\x00\x01a"))
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := valueSize(b)
		if err != nil {
			if m, err := parseMessage(b); err == nil {
				_, _ = parseRequest(m) // must not panic
			}
			return
		}
		if n > len(b) || n > maxFrame {
			t.Fatalf("size %d of %d", n, len(b))
		}
		for cut := 0; cut < n; cut += 1 + n/97 {
			if _, err := valueSize(b[:cut]); !errors.Is(err, ErrIncomplete) {
				t.Fatalf("cut at %d of %d: %v", cut, n, err)
			}
		}
		_, _, _ = ParseAnswer(b) // must not panic
		m, err := parseMessage(b[:n])
		if err != nil || m.isNotification {
			return
		}
		r, err := parseRequest(m)
		if err != nil {
			return
		}
		fields := []string{"call", string(r.jobID), "ttl", "1"}
		again, err := parseMessage(AppendCall(nil, m.id, string(m.method), fields, r.statement))
		if err != nil || again.id != m.id || !bytes.Equal(again.method, m.method) {
			t.Fatalf("%+v decodes as %+v: %v", m, again, err)
		}
		back, err := parseRequest(again)
		if err != nil || !bytes.Equal(back.statement, r.statement) || !bytes.Equal(back.jobID, r.jobID) {
			t.Fatalf("%+v decodes as %+v: %v", r, back, err)
		}
	})
}

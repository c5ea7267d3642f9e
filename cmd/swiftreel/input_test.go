package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"swiftreel/internal/client"
	"swiftreel/internal/fake"
)

func TestFragmentedCallsAndAClientThatDoesNotRead(t *testing.T) {
	w := startController(t, "e1")
	w.feed.Close() // while the feed is unreachable, the endpoint list stays as it is
	var b []byte
	for id := range uint32(3) {
		fields := []string{"call", fmt.Sprintf("%016x", 1<<40+uint64(id)), "ttl", "20000", "org", "acme", "work", "50"}
		b = client.AppendCall(b, 1000+id, "lookup", fields, []byte("SELECT 1 FROM a_1.b"))
	}
	third := len(b) / 3
	w.client.Conn.Write(b[:2*third]) // two calls in one write, the third byte by byte
	for _, c := range b[2*third:] {
		w.client.Conn.Write([]byte{c})
	}
	for range 3 {
		c := w.nextCommand("fetch")
		c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
		if a, err := w.client.Read(20 * time.Second); err != nil || fmt.Sprintf("%016x", 1<<40+uint64(a.ID)-1000) != c.ID {
			t.Fatal(a, err)
		}
	}
	nonReading := w.dial() // reads nothing of 32 results, then disconnects
	nonReading.Conn.(*net.TCPConn).SetReadBuffer(1 << 12)
	page := strings.Repeat("a\tb\tc\n", 900)
	for i := range 32 {
		_, err := nonReading.Send("lookup", "SELECT 1 FROM a_1.b",
			"call", fmt.Sprintf("%016x", 1<<41+uint64(i)), "ttl", "20000", "org", "acme", "work", "50")
		if err != nil {
			t.Fatal(err)
		}
		c := w.nextCommand("fetch")
		c.from.Answer(c.ID, "data", "sheets=8", page)
		for n := range 7 {
			w.nextCommand("more")
			c.from.Answer(c.ID, "page", fmt.Sprintf("sheet=%d", n+1), page)
		}
		w.nextCommand("done")
	}
	w.serveJobs(3)
	nonReading.Conn.Close()
}

// Covers the table "What bad input gets" in docs/protocol.md for clients: each bad input is answered with an error or
// its connection closed, and none is served.
func TestBadInputFromClients(t *testing.T) {
	w := startController(t, "e1")
	open := w.submit("lookup", "20000")
	c := w.nextCommand("fetch")
	good := []string{"call", "00000000000000aa", "ttl", "2000", "org", "acme", "work", "50"}
	call := func(id uint32, method string, fields ...string) string {
		return string(client.AppendCall(nil, id, method, fields, []byte("SELECT 1 FROM a_1.b")))
	}
	with := func(name, value string) []string {
		fields := slices.Clone(good)
		for i := 0; i < len(fields); i += 2 {
			if fields[i] == name {
				fields[i+1] = value
				return fields
			}
		}
		return append(fields, name, value)
	}
	var many []byte
	for id := range uint32(300) {
		fields := []string{"call", fmt.Sprintf("%016x", 1<<20+id), "ttl", "2000", "org", "acme"}
		many = client.AppendCall(many, id, "lookup", fields, nil)
		many = client.AppendRevoke(many, id)
	}
	const closed, answered, both = 1, 2, 3
	type bad struct {
		name, text string
		want       int
		conn       *fake.Client
	}
	cases := []bad{
		{"nothing said", "", closed, nil},
		{"another protocol", "GET / HTTP/1.1\r\n\r\n", closed, nil},
		{"a count without end", "\x94\x00\x01\xa6lookup\xdd\xff\xff\xff\xff", both, nil},
		{"too deep", "\x91\x91\x91\x91\x91\x91\x91\x91\x91", closed, nil},
		{"a length past the bound", "\x94\x00\x01\xa6lookup\x92\x80\xc6\xff\xff\xff\xff", both, nil},
		{"half a call", call(1, "lookup", good...)[:30], both, nil},
		{"60 MB", "\x94\x00\x01\xa6lookup\x92\x80\xc6\x03\x93\x87\x00" + strings.Repeat("x", 60<<20), both, nil},
		{"an unknown type", call(1, "nothing", good...), answered, nil},
		{"an unknown tenant", call(1, "lookup", with("org", "nobody")...), answered, nil},
		{"no tenant", call(1, "lookup", good[:4]...), answered, nil},
		{"no id", call(1, "lookup", good[2:]...), answered, nil},
		{"an id of other letters", call(1, "lookup", with("call", "00000000000000a\n")...), answered, nil},
		{"no job timeout", call(1, "lookup", append(good[:2:2], good[4:]...)...), answered, nil},
		{"a job timeout of no number", call(1, "lookup", with("ttl", "soon")...), answered, nil},
		{"a job timeout of weeks", call(1, "lookup", with("ttl", "2000000000")...), answered, nil},
		{"a job timeout below 0", call(1, "lookup", with("ttl", "-1")...), answered, nil},
		{"work out of range", call(1, "lookup", with("work", "1e300")...), answered, nil},
		{"memory of no number", call(1, "lookup", with("est_mb", "NaN")...), answered, nil},
		{"memory past every engine", call(1, "lookup", with("est_mb", "900000000")...), answered, nil},
		{"a field twice", call(1, "lookup", append(slices.Clone(good), "ttl", "3000")...), answered, nil},
		{"no group of tables", string(client.AppendCall(nil, 1, "import", good, []byte("SELECT 1"))), answered, nil},
		{"the id of an open call", call(1, "lookup", with("call", c.ID)...), answered, nil},
		{"one number twice", call(1, "lookup", with("call", "00000000000000ab")...) +
			call(1, "lookup", with("call", "00000000000000ac")...), both, nil},
		{"hundreds taken back at once", string(many) + call(400, "nothing"), answered, nil},
	}
	for i := range cases { // concurrently
		cases[i].conn = w.dial()
		defer cases[i].conn.Conn.Close()
		go cases[i].conn.Conn.Write([]byte(cases[i].text))
	}
	sentAt := time.Now()
	for _, bad := range cases {
		a, err := bad.conn.Read(20 * time.Second)
		if name := a.Error; bad.want&answered != 0 && (err != nil || name != "Internal" && name != "Overloaded") {
			t.Errorf("%s: %+v %v", bad.name, a, err)
		}
		if bad.want == both {
			_, err = bad.conn.Read(20 * time.Second)
		}
		if bad.want&closed != 0 && !errors.Is(err, io.EOF) && !strings.Contains(fmt.Sprint(err), "reset") {
			t.Errorf("%s: not closed: %v", bad.name, err)
		}
	}
	if elapsed := time.Since(sentAt); elapsed > 3*time.Second {
		t.Errorf("the last was answered after %v", elapsed)
	}
	c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
	w.expectAnswer(open, "")          // its idle connection was kept
	if n := len(w.commands); n > 60 { // where a read ends between a call and its revoke: fetch, abort, more
		t.Errorf("%d commands to the engine for 300 revoked calls", n)
	}
}

package fake

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"swiftreel/internal/client"
)

// Rude is one visit of a client that does what it should not, of a kind drawn by chance. It tells whether something
// that it sent was served.
func MisbehavingClient(address string, chance *rand.Rand) (served bool) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	id := func() string { return fmt.Sprintf("%016x", chance.Uint64()) }
	call := func(n uint32, method string, fields ...string) []byte {
		return client.AppendCall(nil, n, method, fields, []byte("SELECT * FROM sales_17.orders"))
	}
	var b []byte
	switch chance.IntN(10) {
	case 0: // says nothing
	case 1:
		b = make([]byte, 1+chance.IntN(3000))
		for i := range b {
			b[i] = byte(chance.Uint32())
		}
		b[0] = 0xc1
	case 2:
		b = append([]byte("\x94\x00\x01\xa6lookup\x92\x80\xc6\x03\x93\x87\x00"), strings.Repeat("x", 1<<20)...)
	case 3:
		b = call(1, "lookup", "call", id(), "ttl", "1000", "org", "acme")
		b = b[:1+chance.IntN(len(b)-1)]
	case 4:
		b = call(1, "unknown", "call", id(), "ttl", "1000", "org", "acme")
	case 5:
		b = call(1, "lookup", "call", id(), "ttl", []string{"-1", "x", "1e9", "99999999999", ""}[chance.IntN(5)], "org", "acme")
	case 6:
		b = call(1, "lookup", "call", id(), "ttl", "1000", "org", "nobody")
	case 7:
		for n := range uint32(200) {
			b = append(b, call(n, "lookup", "call", id(), "ttl", "1000", "org", "acme")...)
			b = client.AppendRevoke(b, n)
		}
	case 8:
		b = append(call(1, "lookup", "call", "z", "ttl", "1000"), call(1, "lookup", "ttl", "1000")...)
	case 9:
		for n := range uint32(200) {
			b = append(b, call(n, "nothing")...)
		}
	}
	conn.Write(b)
	conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	got, _ := io.ReadAll(conn)
	for len(got) > 0 {
		a, n, err := client.ParseAnswer(got)
		if err != nil {
			return false
		}
		served = served || a.Error == ""
		got = got[n:]
	}
	return served
}

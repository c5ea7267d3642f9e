package fake

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"swiftreel/internal/client"
)

// misbehavingReadTimeout is how long a misbehaving client reads answers before it disconnects.
const misbehavingReadTimeout = 100 * time.Millisecond

// floodMessages is how many messages a client sends at once to flood the controller.
const floodMessages = 200

// MisbehavingClient connects to a controller, sends invalid or excessive input of a randomly drawn kind, and
// disconnects. It reports whether any of its requests was served.
func MisbehavingClient(address string, random *rand.Rand) (served bool) {
	conn, err := dial(address)
	if err != nil {
		return false
	}
	defer conn.Close()
	text := misbehaviours[random.IntN(len(misbehaviours))](random)
	_, _ = conn.Write(text) // the controller may close the connection meanwhile
	if conn.SetReadDeadline(time.Now().Add(misbehavingReadTimeout)) != nil {
		return false
	}
	received, _ := io.ReadAll(conn) // until the deadline, or until the controller closes the connection
	for len(received) > 0 {
		answer, size, err := client.ParseAnswer(received)
		if err != nil {
			return false
		}
		served = served || answer.Error == ""
		received = received[size:]
	}
	return served
}

// misbehaviours generate input that no client should send.
var misbehaviours = []func(*rand.Rand) []byte{
	func(*rand.Rand) []byte { return nil }, // sends nothing
	invalidBytes,
	func(*rand.Rand) []byte { // a long field that never ends
		return append([]byte("\x94\x00\x01\xa6lookup\x92\x80\xc6\x03\x93\x87\x00"), strings.Repeat("x", 1<<20)...)
	},
	func(random *rand.Rand) []byte { // a truncated request
		text := request(1, "lookup", "call", randomID(random), "ttl", "1000", "org", "acme")
		return text[:1+random.IntN(len(text)-1)]
	},
	func(random *rand.Rand) []byte {
		return request(1, "unknown", "call", randomID(random), "ttl", "1000", "org", "acme")
	},
	func(random *rand.Rand) []byte { // an invalid timeout
		id := randomID(random)
		timeout := []string{"-1", "x", "1e9", "99999999999", ""}[random.IntN(5)]
		return request(1, "lookup", "call", id, "ttl", timeout, "org", "acme")
	},
	func(random *rand.Rand) []byte {
		return request(1, "lookup", "call", randomID(random), "ttl", "1000", "org", "nobody")
	},
	func(random *rand.Rand) []byte { // many jobs, each revoked at once
		var text []byte
		for id := range uint32(floodMessages) {
			text = append(text, request(id, "lookup", "call", randomID(random), "ttl", "1000", "org", "acme")...)
			text = client.AppendRevoke(text, id)
		}
		return text
	},
	func(*rand.Rand) []byte { // invalid fields, and the same message ID twice
		return append(request(1, "lookup", "call", "z", "ttl", "1000"), request(1, "lookup", "ttl", "1000")...)
	},
	func(*rand.Rand) []byte {
		var text []byte
		for id := range uint32(floodMessages) {
			text = append(text, request(id, "nothing")...)
		}
		return text
	},
}

// invalidBytes returns random bytes after a type code that the protocol does not use.
func invalidBytes(random *rand.Rand) []byte {
	text := make([]byte, 1+random.IntN(3000))
	for i := range text {
		text[i] = byte(random.Uint32())
	}
	text[0] = 0xc1
	return text
}

func randomID(random *rand.Rand) string { return fmt.Sprintf("%016x", random.Uint64()) }

func request(id uint32, method string, fields ...string) []byte {
	return client.AppendCall(nil, id, method, fields, []byte("SELECT * FROM sales_17.orders"))
}

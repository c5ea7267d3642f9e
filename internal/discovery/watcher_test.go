package discovery_test

import (
	"fmt"
	"io"
	"log"
	"slices"
	"testing"
	"time"

	"swiftreel/internal/discovery"
	"swiftreel/internal/fake"
)

const hosts = `[{"host":"e1","dial":"127.0.0.1:1","site":"east","class":"std","block":2,"health":"ready","share":4,` +
	`"born_ms":5}]`

func TestEveryEventIsDeliveredOnceAndInOrder(t *testing.T) {
	log.SetOutput(io.Discard)
	source, err := fake.StartDiscovery("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer source.Close()
	delivered := make(chan discovery.Event, 100)
	for range 4 {
		source.AddEvent(false, hosts)
	}
	f := discovery.Watch(source.Address(), 2, func(ev discovery.Event) { delivered <- ev })
	next := func(n uint64) {
		t.Helper()
		select {
		case ev := <-delivered:
			if ev.Number != n || ev.Change.Engines[0].Name != "e1" || ev.Change.Engines[0].StartedAtMS != 5 {
				t.Fatalf("%+v instead of event %d", ev, n)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("no event %d", n)
		}
	}
	next(3)
	next(4)
	event := func(n int) string { return fmt.Sprintf(`{"n":%d,"members":{"hosts":%s}}`+"\n", n, hosts) }
	// An unreadable line, a gap, and gaps shown by the number of the last event alone.
	for i, bad := range []string{"no JSON\n", event(9), "99\n", `{"n":8}` + "\n"} {
		source.Write(event(4) + "\n4\n" + `{"n":4}` + "\n") // delivered before: ignored
		source.Write(bad)
		source.AddEvent(false, hosts) // if this connection is being closed, sent on the next
		next(uint64(5 + i))
	}
	source.DropConnections()
	source.AddEvent(false, hosts)
	next(9)
	moved, err := fake.StartDiscovery("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer moved.Close()
	for range 10 {
		moved.AddEvent(false, hosts)
	}
	again, err := discovery.ParseEvent([]byte(event(9)))
	if err != nil || !f.Reconfigure(moved.Address(), []discovery.Event{again}) {
		t.Fatal("the address has not changed", err)
	}
	next(10)
	source.AddEvent(false, hosts) // at the old address: a duplicate, if it is still connected
	moved.DropConnections()       // the watcher reconnects to the new address
	moved.AddEvent(false, hosts)
	next(11)
	if f.Reconfigure(moved.Address(), nil) {
		t.Error("a move to the same address is reported")
	}
	f.Reconfigure("127.0.0.1:1", nil) // unreachable: the former address is kept while it is connected
	moved.AddEvent(false, hosts)
	next(12)
	f.Reconfigure(source.Address(), nil) // and back
	source.AddEvent(false, hosts)        // 11
	source.AddEvent(false, hosts)        // 12
	source.AddEvent(false, hosts)
	next(13)
	f.Close()
	if subs := moved.DropConnections(); subs[0] != 9 || subs[1] != 10 {
		t.Errorf("the new address was subscribed to from %v", subs)
	}
	subs := source.DropConnections()
	if subs[0] != 2 || !slices.IsSorted(subs) || subs[len(subs)-1] < 8 || len(delivered) > 0 {
		t.Errorf("resumed from %v, %d events delivered again", subs, len(delivered))
	}
}

// FuzzParse checks that parsing does not panic, and that each entry has a name and no negative numbers.
func FuzzParse(f *testing.F) {
	for _, text := range []string{
		`{"n":41,"members":{"seq":7,"whole":false,"hosts":` + hosts + `}}`,
		`{"n":41,"purge":{}}`,
		`{"n":-1}`,
		`{"n":1,"members":{"hosts":[{"host":"","dial":"a:1"},{"host":"e","dial":"nowhere"},` +
			`{"host":"e","born_ms":-1},{"host":"e","share":-1}]}}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		ev, err := discovery.ParseEvent(text)
		if err != nil || ev.Change == nil {
			return
		}
		for _, e := range ev.Change.Engines {
			if e.Name == "" || e.StartedAtMS < 0 || e.Capacity < 0 {
				t.Fatalf("%+v", e)
			}
		}
	})
}

// An invalid entry made the watcher reconnect for ever, from the event before it.
func TestInvalidEntriesAreSkipped(t *testing.T) {
	const unusable = `{"host":"","dial":"a:1"},{"host":"e","dial":"nowhere"},{"host":"e","block":-1},`
	ev, err := discovery.ParseEvent([]byte(`{"n":1,"members":{"hosts":[` + unusable + hosts[1:] + `}}`))
	if err != nil || ev.InvalidEntries != 3 || len(ev.Change.Engines) != 1 || ev.Change.Engines[0].Name != "e1" {
		t.Errorf("%+v, %v", ev, err)
	}
}

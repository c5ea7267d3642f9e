// Command example lets a newcomer try swiftreel: two toy engines and a toy control feed, and a way to send a job.
//
//	go run ./example serve            toys for example/config.json, until interrupted; reads "lose e1" and "back e1"
//	go run ./example send STATEMENT   sends one job to the controller at 127.0.0.1:9090 and prints its answer
//	go run ./example demo             all of it with bin/swiftreel: a job served, one throttled, an engine lost
//	go run ./example sparql           bin/swiftreel beside toy engines of both protocols, to be asked with curl
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"swiftreel/internal/engine"
	"swiftreel/internal/fake"
)

const (
	controller = "127.0.0.1:9090"
	feed       = "127.0.0.1:9379"
	takes      = 100 * time.Millisecond // a toy engine, for any job
)

var addresses = map[string]string{"e1": "127.0.0.1:9101", "e2": "127.0.0.1:9102"}

func main() {
	log.SetFlags(0)
	err := fmt.Errorf("usage: example serve | send [flags] STATEMENT | demo | sparql")
	if len(os.Args) > 1 {
		switch os.Args[1] {
		case "serve":
			err = serve()
		case "send":
			err = send(os.Args[2:])
		case "demo":
			err = demo()
		case "sparql":
			err = sparql()
		}
	}
	if err != nil {
		log.Fatal(err)
	}
}

// toys are the engines that are up, and the feed.
type toys struct {
	feed *fake.Discovery
	mu   sync.Mutex
	up   map[string]*fake.Engine
}

func start() (*toys, error) {
	f, err := fake.StartDiscovery(feed, 2) // the configuration knows event 1
	if err != nil {
		return nil, err
	}
	t := &toys{feed: f, up: map[string]*fake.Engine{}}
	for name := range addresses {
		if err := t.begin(name); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (t *toys) begin(name string) error {
	var mu sync.Mutex
	out := map[string]bool{} // jobs in hand
	e, err := fake.StartEngine(addresses[name], func(s *fake.Session, c engine.Command) {
		mu.Lock()
		defer mu.Unlock()
		switch c.Name {
		case "stats", "alive":
			s.Answer(c.ID, "well", fmt.Sprintf("load=concurrent:%d", len(out)), "")
		case "fetch":
			log.Printf("%s runs %s: %s (%s)", name, c.ID, c.Body, c.Fields)
			out[c.ID] = true
			time.AfterFunc(takes, func() {
				mu.Lock()
				defer mu.Unlock()
				if out[c.ID] {
					s.Answer(c.ID, "data", "sheets=2,toil=100,room=64", "1\tAda\tMadrid\n")
				}
			})
		case "more":
			if !out[c.ID] {
				s.Answer(c.ID, "failed", "", "")
				break
			}
			s.Answer(c.ID, "page", fmt.Sprintf("sheet=%d", c.Number), "2\tBlas\tBilbao\n")
		case "abort", "done":
			delete(out, c.ID)
		}
	})
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.up[name] = e
	t.mu.Unlock()
	return nil
}

func (t *toys) tell(name, state string, born int64) {
	host, _ := json.Marshal([]map[string]any{{"host": name, "dial": addresses[name], "site": "east", "class": "std",
		"block": 0, "health": state, "share": 1, "born_ms": born}})
	log.Printf("feed: %s", t.feed.AddEvent(false, string(host)))
}

// lose ends an engine as a crash does; the feed tells it two seconds later.
func (t *toys) lose(name string) {
	t.mu.Lock()
	e := t.up[name]
	delete(t.up, name)
	t.mu.Unlock()
	if e != nil {
		e.Close()
		log.Printf("%s is lost", name)
		time.AfterFunc(2*time.Second, func() { t.tell(name, "gone", 0) })
	}
}

func (t *toys) back(name string) {
	if err := t.begin(name); err != nil {
		log.Print(err)
		return
	}
	t.tell(name, "ready", time.Now().UnixMilli())
}

func serve() error {
	t, err := start()
	if err != nil {
		return err
	}
	log.Printf("engines %v and feed %s are up; type: lose e1, back e1", addresses, feed)
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		switch words := strings.Fields(lines.Text()); {
		case len(words) == 2 && addresses[words[1]] != "" && words[0] == "lose":
			t.lose(words[1])
		case len(words) == 2 && addresses[words[1]] != "" && words[0] == "back":
			t.back(words[1])
		default:
			log.Print("lose or back, and e1 or e2")
		}
	}
	select {} // no more to read: until interrupted
}

// send sends one job and prints its answer.
func send(args []string) error {
	flags := flag.NewFlagSet("send", flag.ExitOnError)
	kind := flags.String("type", "lookup", "the reservation type")
	left := flags.Int("ttl", 2500, "job timeout in milliseconds")
	work := flags.Int("work", 100, "estimate of the work in milliseconds")
	key := flags.String("key", "", "key of an import")
	flags.Parse(args)
	c, err := fake.Dial(controller)
	if err != nil {
		return err
	}
	defer c.Conn.Close()
	fields := []string{"call", fmt.Sprintf("%016x", rand.Uint64()), "ttl", fmt.Sprint(*left), "org", "acme",
		"work", fmt.Sprint(*work), "est_mb", "64"}
	if *key != "" {
		fields = append(fields, "row", *key)
	}
	if _, err := c.Send(*kind, strings.Join(flags.Args(), " "), fields...); err != nil {
		return err
	}
	at := time.Now()
	a, err := c.Read(time.Duration(*left+1000) * time.Millisecond)
	if err != nil {
		return err
	}
	if took := time.Since(at).Round(time.Millisecond); a.Error != "" {
		log.Printf("%s after %v: %v", a.Error, took, a.Fields)
	} else {
		log.Printf("done after %v:\n%s", took, a.Body)
	}
	return nil
}

// demo shows it all in a few seconds.
func demo() error {
	t, err := start()
	if err != nil {
		return err
	}
	node := exec.Command("bin/swiftreel")
	node.Env = append(os.Environ(), "ROUTER_CONFIG=example/config.json")
	node.Stderr = os.Stderr
	if err := node.Start(); err != nil {
		return err
	}
	ready := func() bool {
		c, err := fake.Dial(controller)
		if err != nil {
			return false
		}
		defer c.Conn.Close()
		is, err := c.Ready()
		return is && err == nil
	}
	for try := 0; !ready(); try++ {
		if try == 50 {
			node.Process.Kill()
			return fmt.Errorf("the controller does not get ready")
		}
		time.Sleep(100 * time.Millisecond)
	}
	log.Print("\n-- a job is served")
	err = send([]string{"SELECT * FROM sales_17.orders"})
	log.Print("\n-- a job whose work cannot end before its job timeout is throttled at once")
	if err == nil {
		err = send([]string{"-work", "60000", "SELECT * FROM sales_17.orders"})
	}
	log.Print("\n-- an engine is lost; jobs go on")
	t.lose("e1")
	for i := 0; i < 4 && err == nil; i++ {
		err = send([]string{"-type", "import", "-ttl", "20000", "-key", "k1", "INSERT INTO sales_17.orders SELECT * FROM staging.x"})
	}
	log.Print("\n-- the controller is told to stop")
	node.Process.Signal(syscall.SIGTERM)
	if ended := node.Wait(); err == nil {
		err = ended
	}
	return err
}

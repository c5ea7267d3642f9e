// Command store shows that the store keeps what it has said is durable, and what it costs: make proof-store. It ends with 1
// where a figure fails.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"swiftreel/internal/recovery"
	"swiftreel/internal/store"
)

const (
	records  = 1_000_000
	alive    = 100 // one of so many
	slowest  = 20 * time.Second
	measured = 2 * time.Second
)

func main() {
	began := time.Now()
	fmt.Printf("machine: %d cores, %s\n", runtime.NumCPU(), runtime.Version())
	ok := tests()
	dir, err := os.MkdirTemp("", "store")
	if err != nil {
		fmt.Println("FAILED:", err)
		os.Exit(1)
	}
	for _, part := range []func(string) error{million, commits} {
		if err := part(dir); err != nil {
			fmt.Println("FAILED:", err)
			ok = false
		}
	}
	os.RemoveAll(dir)
	fmt.Printf("\nin all %v\n", time.Since(began).Round(100*time.Millisecond))
	if !ok {
		os.Exit(1)
	}
}

// tests plays those of the packages, which count what they played.
func tests() bool {
	text, err := exec.Command("go", "test", "-count=1", "-v", "./internal/store", "-args", "-seeds", "1000").CombinedOutput()
	if err == nil {
		var more []byte
		more, err = exec.Command("go", "test", "-count=1", "-v", "./internal/recovery").CombinedOutput()
		text = append(text, more...)
	}
	for line := range strings.Lines(string(text)) {
		if _, figures, is := strings.Cut(line, "_test.go:"); is {
			_, figures, _ = strings.Cut(figures, ": ")
			fmt.Print("  ", figures)
		} else if strings.HasPrefix(line, "---") {
			fmt.Print(line)
		}
	}
	if err != nil {
		fmt.Printf("FAILED: %v: %s\n", err, text)
	}
	return err == nil
}

// million writes as many records of jobs, of which one in a hundred is open in the end, and times a start with and without a
// checkpoint.
func million(dir string) error {
	f, err := store.OpenFolder(filepath.Join(dir, "million"))
	if err != nil {
		return err
	}
	defer f.Close()
	book := recovery.NewBook(1000)
	g, _, err := store.Open(f, store.Usual(), book.Apply)
	if err != nil {
		return err
	}
	var batch []store.Record
	n := 0
	put := func(k store.Kind, v any) error {
		r, err := recovery.Entry(k, v)
		if err != nil {
			return err
		}
		n++
		if batch = append(batch, r); len(batch) == 4096 || n == records {
			_, err = g.Append(batch)
			batch = batch[:0]
		}
		return err
	}
	for job := 0; n < records; job++ {
		call := recovery.Call(fmt.Sprintf("%016x", job))
		steps := []func() error{func() error {
			return put(recovery.TakenKind, recovery.Taken{Call: call, Type: "import", Tenant: "acme", Key: fmt.Sprint("k", job%5000), Effect: recovery.RunOnce})
		}, func() error { return put(recovery.SentKind, recovery.Sent{Call: call, Engine: "e17", At: 1}) },
			func() error {
				return put(recovery.EndedKind, recovery.Ended{Call: call, How: recovery.Ran, Answer: []byte("a\tb\tc\n")})
			},
			func() error { return put(recovery.AnsweredKind, recovery.Answered{Call: call, How: recovery.Done}) }}
		if job%(alive/4) == 0 {
			steps = steps[:2]
		}
		for _, s := range steps {
			if n < records {
				if err := s(); err != nil {
					return err
				}
			}
		}
	}
	if err := g.Close(); err != nil {
		return err
	}
	start := func() (*recovery.Book, *store.Log, time.Duration, error) {
		from, b := time.Now(), recovery.NewBook(1000)
		g, _, err := store.Open(f, store.Usual(), b.Apply)
		return b, g, time.Since(from), err
	}
	book, g, whole, err := start()
	if err != nil {
		return err
	}
	open, _ := book.Size()
	from := time.Now()
	if err := g.Checkpoint(book.Live); err != nil {
		return err
	}
	wrote := time.Since(from)
	if err := g.Close(); err != nil {
		return err
	}
	again, g, short, err := start()
	if err != nil {
		return err
	}
	defer g.Close()
	fmt.Printf("a start from %d records, %d jobs open: %.2f s; a checkpoint of them %.2f s, and a start from that %.2f s\n", records, open, whole.Seconds(), wrote.Seconds(), short.Seconds())
	if o, _ := again.Size(); o != open || open < records/alive/2 {
		return fmt.Errorf("%d jobs are open, %d were", o, open)
	}
	if whole > slowest {
		return fmt.Errorf("it took over %v", slowest)
	}
	a, _ := json.Marshal(book.Open(1))
	b, _ := json.Marshal(again.Open(1))
	if string(a) != string(b) {
		return fmt.Errorf("the checkpoint tells another state")
	}
	return nil
}

// commits times them by how many wait at once, beside the disk's own syncs in the same folder.
func commits(dir string) error {
	h, err := os.Create(filepath.Join(dir, "plain"))
	if err != nil {
		return err
	}
	defer h.Close()
	var syncs []time.Duration
	for from := time.Now(); time.Since(from) < measured; {
		at := time.Now()
		if _, err := h.Write(make([]byte, 300)); err != nil {
			return err
		}
		if err := h.Sync(); err != nil {
			return err
		}
		syncs = append(syncs, time.Since(at))
	}
	slices.Sort(syncs)
	fmt.Printf("the disk's own: 300 bytes and a sync %.0f a second, p50 %v, p99 %v\n", float64(len(syncs))/measured.Seconds(), syncs[len(syncs)/2].Round(time.Microsecond), syncs[len(syncs)*99/100].Round(time.Microsecond))
	one := 0.0
	for _, n := range []int{1, 8, 64} {
		f, err := store.OpenFolder(filepath.Join(dir, fmt.Sprint("commits", n)))
		if err != nil {
			return err
		}
		g, _, err := store.Open(f, store.Usual(), func(store.Record) error { return nil })
		if err != nil {
			return err
		}
		c := store.NewCommitter(g)
		var mu sync.Mutex
		var all []time.Duration
		var wait sync.WaitGroup
		end := time.Now().Add(measured)
		for range n {
			wait.Go(func() {
				var own []time.Duration
				for time.Now().Before(end) {
					at := time.Now()
					if c.Commit(store.Record{Kind: 1, Payload: make([]byte, 250)}) != nil {
						return
					}
					own = append(own, time.Since(at))
				}
				mu.Lock()
				defer mu.Unlock()
				all = append(all, own...)
			})
		}
		wait.Wait()
		calls, _ := c.Figures(50)
		if err := c.Close(); err != nil {
			return err
		}
		f.Close()
		if len(all) == 0 {
			return fmt.Errorf("nothing was committed")
		}
		slices.Sort(all)
		rate := float64(len(all)) / measured.Seconds()
		if one == 0 {
			one = rate
		}
		fmt.Printf("%2d waiting: %6.0f commits a second, p50 %v, p99 %v, %d a sync in the median\n", n, rate, all[len(all)/2].Round(time.Microsecond), all[len(all)*99/100].Round(time.Microsecond), calls)
		if n == 64 && rate < 4*one {
			return fmt.Errorf("64 waiting commit %.0f a second, one %.0f", rate, one)
		}
	}
	return nil
}

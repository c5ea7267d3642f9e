package keep

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/tally"
)

// told is what a process has been told by its operator's file.
type told struct {
	spec  change.Digest
	elder bool
}

// child is a process of the controller.
type child struct {
	cmd     *exec.Cmd
	program change.Program
	file    string // the operator's
	told    told
	began   time.Time
	drains  time.Time // told to end
	ended   chan struct{}
	err     error        // once ended
	report  tally.Report // the last; under the keeper's lock

	mu      sync.Mutex
	address string // of its tally, once it has said so
}

var servingTally = regexp.MustCompile(`msg=serving_tally address=(\S+)`)

// start starts it; what it logs is passed on.
func (c *child) start(env []string, log io.Writer) error {
	c.cmd = exec.Command(c.program.Path)
	c.cmd.Env, c.cmd.Stdout = env, log
	from, to, err := os.Pipe()
	if err != nil {
		return err
	}
	c.cmd.Stderr = to
	err = c.cmd.Start()
	to.Close()
	if err != nil {
		from.Close()
		return err
	}
	go func() {
		defer from.Close()
		lines := bufio.NewReaderSize(from, 64<<10)
		for {
			line, err := lines.ReadString('\n')
			if m := servingTally.FindStringSubmatch(line); m != nil {
				c.mu.Lock()
				c.address = m[1]
				c.mu.Unlock()
			}
			io.WriteString(log, line)
			if err != nil {
				break
			}
		}
		c.err = c.cmd.Wait()
		close(c.ended)
	}()
	return nil
}

func (c *child) over() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

var errNotYet = errors.New("it does not say where it tells its tally yet")

// ask asks it for its tally.
func (c *child) ask(ctx context.Context, h *http.Client) (r tally.Report, err error) {
	c.mu.Lock()
	address := c.address
	c.mu.Unlock()
	if address == "" {
		return r, errNotYet
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/tally", nil)
	if err != nil {
		return r, err
	}
	a, err := h.Do(q)
	if err != nil {
		return r, err
	}
	defer a.Body.Close()
	return r, json.NewDecoder(io.LimitReader(a.Body, mostReport)).Decode(&r)
}

// mostReport bounds a tally's text.
const mostReport = 16 << 20

// ticks a second of the kernel's accounting, as /proc tells it on every Linux this program runs on.
const ticks = 100

// uses reads what a process holds and has used off /proc.
func (c *child) uses() (memoryMB float64, cpu int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the name may hold anything
	f := strings.Fields(rest)
	if len(f) < 22 {
		return 0, 0
	}
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	pages, _ := strconv.ParseInt(f[21], 10, 64)
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20), (user + system) * int64(time.Second) / ticks
}

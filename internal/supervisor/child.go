package supervisor

import (
	"bufio"
	"bytes"
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

	"swiftreel/internal/assignment"
	"swiftreel/internal/change"
	"swiftreel/internal/jobstats"
	"swiftreel/internal/quota"
)

// told is what a process has been told by its operator's file.
type told struct {
	spec      change.Digest
	elder     bool
	plan      change.Digest // of the fleet's owner; none where the spec has one, which stands above
	planUntil int64
}

// want is what a process is to be told.
func want(h change.Held, word assignment.Accepted, elder bool) told {
	t := told{spec: h.Want.Digest(), elder: elder}
	if len(h.Want.Plan) == 0 && word.Plan != "" {
		t.plan, t.planUntil = word.Plan, word.PlanUntil
	}
	return t
}

// covers tells whether what it was told does for what it is to be told: the end of a plan is moved only once half of the
// time to it is over, as each move is a reload.
func (t told) covers(w told, now int64) bool {
	near := w.plan == "" || 2*(t.planUntil-now) >= w.planUntil-now
	t.planUntil, w.planUntil = 0, 0
	return t == w && near
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
	err     error           // once ended
	report  jobstats.Report // the last; under the keeper's lock
	part    [2]int64        // reign and count of the last word whose part it has taken

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
func (c *child) ask(ctx context.Context, h *http.Client) (r jobstats.Report, err error) {
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

// carry tells it what it carries.
func (c *child) carry(ctx context.Context, h *http.Client, word assignment.Accepted) bool {
	c.mu.Lock()
	address := c.address
	c.mu.Unlock()
	if address == "" {
		return false
	}
	p := jobstats.Part{PerMillion: word.Shares[quota.Fleet], Quotas: map[string]int64{}, UntilNS: word.SharesUntil}
	for of, n := range word.Shares {
		if tenant, is := of.Tenant(); is {
			p.Quotas[tenant] = n
		}
	}
	text, err := json.Marshal(p)
	if err != nil {
		return false
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/part", bytes.NewReader(text))
	if err != nil {
		return false
	}
	a, err := h.Do(q)
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusNoContent
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

package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"swiftreel/internal/command"

	"swiftreel/internal/coordinator"
	"swiftreel/internal/leader"
	"swiftreel/internal/operator"
)

// voters asks those who agree on an owner.
type voters struct {
	fleet *operator.Fleet
	http  http.Client
}

func votersOf(file string) (*voters, error) {
	f, err := fleetOf(file)
	if err != nil {
		return nil, err
	}
	if len(f.Voters) == 0 {
		return nil, command.BadInput(fmt.Errorf("/fleet/voters: none are named"))
	}
	return &voters{f, http.Client{Timeout: 2 * askTime}}, nil
}

// ask asks a voter; a body makes it a POST.
func (v *voters) ask(name, path string, body any) ([]byte, error) {
	m, _ := v.fleet.Member(name)
	method, text := http.MethodGet, []byte(nil)
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return nil, err
		}
		method = http.MethodPost
	}
	r, err := http.NewRequest(method, "http://"+m.Address()+path, bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	a, err := v.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	got, err := io.ReadAll(io.LimitReader(a.Body, 16<<20))
	if err == nil && a.StatusCode/100 != 2 {
		err = fmt.Errorf("%s: %s", name, bytes.TrimSpace(got[:min(len(got), 500)]))
	}
	return got, err
}

// views are what the voters tell of themselves, by name.
func (v *voters) views() (views map[string]leader.Status, errs map[string]error) {
	views, errs = map[string]leader.Status{}, map[string]error{}
	for _, name := range v.fleet.Voters {
		var w leader.Status
		text, err := v.ask(name, "/v1/owner", nil)
		if err == nil {
			err = json.Unmarshal(text, &w)
		}
		if err != nil {
			errs[name] = err
		} else {
			views[name] = w
		}
	}
	return views, errs
}

// owner is who owns now; there may be none for a while after one is lost.
func (v *voters) owner(wait time.Duration) (string, error) {
	for stop := time.Now().Add(wait); ; time.Sleep(100 * time.Millisecond) {
		views, errs := v.views()
		for _, name := range v.fleet.Voters {
			if views[name].Active {
				return name, nil
			}
		}
		if time.Now().After(stop) {
			return "", fmt.Errorf("nobody owns the fleet: %d of %d voters answer", len(v.fleet.Voters)-len(errs), len(v.fleet.Voters))
		}
	}
}

// ownerTime is for how long an owner is waited for.
const ownerTime = 10 * time.Second

// number is a member's, never 0.
func number() uint64 { return rand.Uint64()>>1 + 1 }

func ownerCommands() []*cobra.Command {
	var file string
	var forScripts bool
	with := func(use, short, long string, args cobra.PositionalArgs, do func(*cobra.Command, *voters, []string) error) *cobra.Command {
		c := &cobra.Command{Use: use, Short: short, Long: long, Args: args, RunE: func(c *cobra.Command, args []string) error {
			v, err := votersOf(file)
			if err != nil {
				return err
			}
			if err := do(c, v, args); err != nil {
				return command.Failure(command.ExitFailed, err)
			}
			return nil
		}}
		c.Flags().StringVar(&file, "operator", "", "the operator's file; above ROUTER_OPERATOR")
		return c
	}
	show := with("owner", "Who owns the fleet's work, as each voter knows it", "", cobra.NoArgs, func(c *cobra.Command, v *voters, _ []string) error {
		views, errs := v.views()
		if forScripts {
			return command.WriteJSON(c.OutOrStdout(), views)
		}
		w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "VOTER\tOWNER\tREIGN\tACTS\tVOTERS\tNOTE")
		for _, name := range v.fleet.Voters {
			if err := errs[name]; err != nil {
				fmt.Fprintf(w, "%s\t?\t\t\t\t%v\n", name, err)
				continue
			}
			s := views[name]
			note := s.Halted
			if s.ID == 0 {
				note = "of no fleet yet: swiftreel fleet found, or join"
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%v\t%s\n", name, s.Leader, s.Term, s.Active, s.Voters, note)
		}
		return w.Flush()
	})
	show.Flags().BoolVar(&forScripts, "json", false, "for scripts")
	return []*cobra.Command{show,
		with("found", "Have the voters begin to agree, once", "All voters must answer and be of no fleet yet.", cobra.NoArgs, func(_ *cobra.Command, v *voters, _ []string) error {
			views, errs := v.views()
			names, ids := map[uint64]string{}, map[string]uint64{}
			for _, name := range v.fleet.Voters {
				if errs[name] != nil {
					return errs[name]
				}
				if views[name].ID != 0 {
					return fmt.Errorf("%s is a member already, number %d", name, views[name].ID)
				}
				ids[name] = number()
				names[ids[name]] = name
			}
			for _, name := range v.fleet.Voters {
				if _, err := v.ask(name, "/v1/owner/found", map[string]any{"id": ids[name], "names": names}); err != nil {
					return err
				}
			}
			return nil
		}),
		with("step-down", "Have the owner hand over", "", cobra.NoArgs, func(_ *cobra.Command, v *voters, _ []string) error {
			for stop := time.Now().Add(ownerTime); ; time.Sleep(100 * time.Millisecond) {
				name, err := v.owner(ownerTime)
				if err == nil {
					_, err = v.ask(name, "/v1/owner/step-down", struct{}{})
				}
				if err == nil || time.Now().After(stop) { // just begun, it has heard of nobody who could take over yet
					return err
				}
			}
		}),
		recoverCommand(with),
		with("forget VOTER", "Take a voter out that is gone for good", `Without another in its place: fewer are left to agree, and the fleet bears fewer losses. A majority of those left and the lost one
together must be there. Take its name out of fleet.voters as well. To put another machine in its place: join.`, cobra.ExactArgs(1), func(_ *cobra.Command, v *voters, args []string) error {
			var last error
			for stop := time.Now().Add(ownerTime); time.Now().Before(stop); time.Sleep(200 * time.Millisecond) {
				name, err := v.owner(ownerTime)
				if err != nil {
					return err
				}
				views, _ := v.views()
				if own := views[name]; len(own.Voters) > 0 && !isIn(own.Voters, args[0]) {
					return nil // it was agreed, by this or an earlier word
				}
				_, last = v.ask(name, "/v1/owner/forget", args[0]) // one change of members at a time
			}
			return fmt.Errorf("%s is not forgotten: %w", args[0], last)
		}),
		with("join VOTER", "Take a voter in that lost its memory", `Under its name comes a new member: what the lost one had promised is not known to it, so it must not vote as that. It hears the
log until it has caught up, then votes in the place of the lost one. A majority of the others must be there.`, cobra.ExactArgs(1), func(_ *cobra.Command, v *voters, args []string) error {
			id := number()
			if _, err := v.ask(args[0], "/v1/owner/found", map[string]any{"id": id}); err != nil {
				return err
			}
			for stop := time.Now().Add(3 * ownerTime); time.Now().Before(stop); time.Sleep(200 * time.Millisecond) {
				name, err := v.owner(ownerTime)
				if err != nil {
					return err
				}
				if _, err := v.ask(name, "/v1/owner/join", map[string]any{"names": map[uint64]string{id: args[0]}}); err != nil {
					continue // one change of members at a time
				}
				views, _ := v.views()
				if s := views[args[0]]; s.ID == id && len(s.Voters) == len(v.fleet.Voters) && s.RaftLeader != "" && isIn(s.Voters, args[0]) {
					return nil
				}
			}
			return fmt.Errorf("%s has not caught up in its time: try join again", args[0])
		})}
}

// maker makes a command that asks voters.
type maker = func(use, short, long string, args cobra.PositionalArgs, do func(*cobra.Command, *voters, []string) error) *cobra.Command

func recoverCommand(with maker) *cobra.Command {
	var sure bool
	c := with("recover VOTER", "Begin anew with what one voter has kept, after a majority lost its memory", `WARNING. What was agreed since that voter last heard may be lost, and if the others still have their memory somewhere (a machine that
is only cut off, a disk that is only unmounted) two fleets will each have an owner: keepers then take the orders of the one with the later
reign. All voters must answer, fewer than a majority of them with their memory, and this one must know the latest reign.`, cobra.ExactArgs(1),
		func(_ *cobra.Command, v *voters, args []string) error {
			views, errs := v.views()
			remember, term := 0, uint64(0)
			for _, name := range v.fleet.Voters {
				if errs[name] != nil {
					return fmt.Errorf("%s does not answer: %w", name, errs[name])
				}
				w := views[name]
				if term = max(term, w.RaftTerm, uint64(w.Term)); w.ID != 0 {
					remember++
				}
				if w.Term > views[args[0]].Term {
					return fmt.Errorf("%s knows reign %d, %s %d: recover from that", name, w.Term, args[0], views[args[0]].Term)
				}
			}
			switch {
			case 2*remember > len(v.fleet.Voters):
				return fmt.Errorf("%d of %d voters have their memory: they agree by themselves; take the others in by join", remember, len(v.fleet.Voters))
			case views[args[0]].ID == 0:
				return fmt.Errorf("%s has no memory", args[0])
			case !sure:
				return fmt.Errorf("what this loses stands in --help; say --the-others-lost-their-memory")
			}
			for _, a := range coordinator.NewFleet(v.fleet.Members, askTime, askTime).Ask(context.Background()) {
				if a.Err == nil {
					term = max(term, uint64(a.Status.Fence.Term))
				}
			}
			text, err := v.ask(args[0], "/v1/owner/agreed", nil)
			if err != nil {
				return err
			}
			var kept leader.State
			if err := json.Unmarshal(text, &kept); err != nil {
				return err
			}
			names, ids := map[uint64]string{}, map[string]uint64{}
			for _, name := range v.fleet.Voters {
				ids[name] = number()
				names[ids[name]] = name
			}
			for _, name := range v.fleet.Voters {
				if _, err := v.ask(name, "/v1/owner/found", map[string]any{"id": ids[name], "names": names, "again": true, "kept": kept, "term": term + 1}); err != nil {
					return err
				}
			}
			return nil
		})
	c.Flags().BoolVar(&sure, "the-others-lost-their-memory", false, "they did, for certain")
	return c
}

func isIn(list []string, name string) bool {
	for _, s := range list {
		if s == name {
			return true
		}
	}
	return false
}

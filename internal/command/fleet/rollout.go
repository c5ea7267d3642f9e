package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"swiftreel/internal/change"
	"swiftreel/internal/command"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/logging"
	"swiftreel/internal/operator"
	"swiftreel/internal/rollout"
	"swiftreel/internal/schema"
)

// The exit codes of a rollout.
const (
	ExitTakenBack = 4 // the change did worse, or was to go back, and all are on the old version
	ExitStopped   = 5 // stopped: by hand, undecided, or not begun
	ExitFenced    = 6 // another conducts
)

// askTime is how long a keeper may take for an answer.
const askTime = 2 * time.Second

// fleetOf reads the part fleet of an operator's file.
func fleetOf(path string) (*operator.Fleet, error) {
	if path == "" {
		path = os.Getenv("ROUTER_OPERATOR")
	}
	f, err := operator.Load(path)
	if err != nil {
		return nil, command.BadInput(err)
	}
	if f.Fleet == nil {
		return nil, command.BadInput(fmt.Errorf("%s: no part fleet: name the file with --operator or ROUTER_OPERATOR", path))
	}
	return f.Fleet, nil
}

func rolloutCommand() *cobra.Command {
	var folder, file string
	root := &cobra.Command{Use: "rollout", Short: "Take a change through a fleet in stages",
		Long: `Takes a change of settings, plan or program through the controllers that the operator's file names (part fleet),
stage by stage, and takes it back where a stage does worse.

Exit codes of start and resume: 0 on all controllers, 4 taken back, 5 stopped, 6 another conducts, 1 it could not go on.`}
	root.PersistentFlags().StringVar(&folder, "record", "rollout", "the folder where the fleet's changes are recorded")
	root.PersistentFlags().StringVar(&file, "operator", "", "the operator's file; above ROUTER_OPERATOR")
	conductIt := func(begin func(context.Context, *coordinator.Folder, *coordinator.Fleet) error) error {
		logging.Setup(os.Stderr)
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		f, err := fleetOf(file)
		if err != nil {
			return err
		}
		place, err := coordinator.Open(folder)
		if errors.Is(err, coordinator.ErrConducted) {
			return command.Failure(ExitFenced, err)
		} else if err != nil {
			return command.Failure(command.ExitFailed, err)
		}
		defer place.Close()
		fleet := coordinator.NewFleet(f.Members, askTime, askTime)
		if begin != nil {
			if err := begin(ctx, place, fleet); err != nil {
				return command.BadInput(err)
			}
		}
		c, err := coordinator.Take(place, fleet)
		if err != nil {
			return command.Failure(command.ExitFailed, err)
		}
		if err := c.Run(ctx); errors.Is(err, coordinator.ErrFenced) {
			return command.Failure(ExitFenced, err)
		} else if err != nil {
			return command.Failure(command.ExitFailed, fmt.Errorf("not finished, swiftreel rollout resume goes on: %w", err))
		}
		switch s := c.State(); s.Phase {
		case rollout.Back:
			return command.Failure(ExitTakenBack, fmt.Errorf("taken back: %s", s.Outcome))
		case rollout.Stopped:
			return command.Failure(ExitStopped, fmt.Errorf("stopped: %s", s.Outcome))
		}
		return nil
	}
	var take, agreed bool
	root.PersistentFlags().BoolVar(&agreed, "agreed", false, "the fleet's owner conducts, by a record that its voters agree on; --record is not used")
	start := &cobra.Command{Use: "start CHANGE", Short: "Begin a change and conduct it until it ends", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			c, err := change.Load(args[0])
			if err != nil {
				return command.BadInput(err)
			}
			if agreed {
				return toOwner(file, "/v1/owner/change", c)
			}
			return conductIt(func(ctx context.Context, p *coordinator.Folder, f *coordinator.Fleet) error {
				return coordinator.Begin(ctx, p, c, f, take)
			})
		}}
	start.Flags().BoolVar(&take, "take", false, "whoever conducted a change of this number from another folder is gone for good")
	var conductOn bool
	resume := &cobra.Command{Use: "resume", Short: "End a pause; with --conduct, take over a change whose conductor is gone", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if conductOn {
				return conductIt(nil)
			}
			return wish(agreed, file, folder, rollout.AskResume)
		}}
	resume.Flags().BoolVar(&conductOn, "conduct", false, "conduct until it ends")
	root.AddCommand(start, resume, statusCommand(&folder, &file, &agreed), historyCommand(&folder))
	for name, short := range map[rollout.Ask]string{rollout.AskPause: "No further stage until resumed; harm still takes the change back",
		rollout.AskStop: "End the change where it stands", rollout.AskBack: "Take the change back"} {
		root.AddCommand(&cobra.Command{Use: string(name), Short: short, Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error { return wish(agreed, file, folder, name) }})
	}
	root.AddCommand(&cobra.Command{Use: "check CHANGE", Short: "Check a change's file whole: every fault is named with its path", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			got, err := change.Load(args[0])
			var faults *schema.ValidationError
			if errors.As(err, &faults) {
				for _, f := range faults.Problems {
					fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", faults.File, f)
				}
				return command.SilentFailure(command.ExitBadInput, err)
			} else if err != nil {
				return command.BadInput(err)
			}
			return command.WriteJSON(c.OutOrStdout(), got)
		}})
	return root
}

// toOwner asks the owner for something.
func toOwner(file, path string, body any) error {
	v, err := votersOf(file)
	if err != nil {
		return err
	}
	name, err := v.owner(ownerTime)
	if err == nil {
		_, err = v.ask(name, path, body)
	}
	if err != nil {
		return command.Failure(command.ExitFailed, err)
	}
	return nil
}

func wish(agreed bool, file, folder string, a rollout.Ask) error {
	if agreed {
		return toOwner(file, "/v1/owner/wish", coordinator.Wish{Ask: a})
	}
	return coordinator.Look(folder).Ask(a)
}

// agreedRecord reads the change that the owner conducts.
func agreedRecord(file string) (r coordinator.Record, is bool, err error) {
	v, err := votersOf(file)
	if err != nil {
		return r, false, err
	}
	name, err := v.owner(ownerTime)
	if err != nil {
		return r, false, err
	}
	text, err := v.ask(name, "/v1/owner/item?name=change.json", nil)
	if err != nil {
		return r, false, err
	}
	return r, true, json.Unmarshal(text, &r)
}

func statusCommand(folder, file *string, agreed *bool) *cobra.Command {
	var forScripts bool
	c := &cobra.Command{Use: "status", Short: "Where the change stands", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r, is, err := coordinator.Look(*folder).Record()
			if *agreed {
				r, is, err = agreedRecord(*file)
			}
			if err != nil {
				return command.Failure(command.ExitFailed, err)
			}
			if !is {
				return command.BadInput(fmt.Errorf("%s: no change is recorded", *folder))
			}
			if forScripts {
				return command.WriteJSON(c.OutOrStdout(), struct {
					Number int64         `json:"number"`
					Kind   change.Kind   `json:"kind"`
					Title  string        `json:"title"`
					From   change.Digest `json:"from"`
					To     change.Digest `json:"to"`
					Stages [][]string    `json:"stages"`
					State  rollout.State `json:"state"`
				}{r.Change.Number, r.Change.Kind, r.Change.Title, r.From.Digest(), r.To.Digest(), r.Stages, r.State})
			}
			fmt.Fprintf(c.OutOrStdout(), "change %d (%s) %s -> %s: %s", r.Change.Number, r.Change.Kind, r.From.Digest(), r.To.Digest(), r.State.Phase)
			if len(r.Stages) > 0 && !r.State.Phase.Ends() {
				fmt.Fprintf(c.OutOrStdout(), ", stage %d of %d", r.State.Stage+1, len(r.Stages))
			}
			if r.State.Paused {
				fmt.Fprint(c.OutOrStdout(), ", paused")
			}
			fmt.Fprintf(c.OutOrStdout(), "\n  %s\n", r.State.Why)
			for _, name := range sortedKeys(r.State.Drains) {
				fmt.Fprintf(c.OutOrStdout(), "  out of service: %s: %s\n", name, r.State.Drains[name])
			}
			return nil
		}}
	c.Flags().BoolVar(&forScripts, "json", false, "for scripts")
	return c
}

func historyCommand(folder *string) *cobra.Command {
	var forScripts bool
	c := &cobra.Command{Use: "history", Short: "The transitions of all changes recorded", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			list, err := coordinator.Look(*folder).History()
			if err != nil {
				return command.Failure(command.ExitFailed, err)
			}
			if forScripts {
				return command.WriteJSON(c.OutOrStdout(), list)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, s := range list {
				fmt.Fprintf(w, "%s\t%d\t%s\tstage %d\t%v\t%s\n", s.At.Format(time.RFC3339), s.Number, s.Phase, s.Stage+1, s.Fence, s.Why)
			}
			return w.Flush()
		}}
	c.Flags().BoolVar(&forScripts, "json", false, "for scripts")
	return c
}

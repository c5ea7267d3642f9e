package fleet

import (
	"context"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"swiftreel/internal/change"
	"swiftreel/internal/command"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/rollout"
	"swiftreel/internal/schema"
)

// rolloutOptions are the persistent flags of the command rollout.
type rolloutOptions struct {
	folder       string
	operatorFile string
	replicated   bool // the fleet's leader is the coordinator
}

func rolloutCommand() *cobra.Command {
	options := &rolloutOptions{}
	root := &cobra.Command{
		Use:   "rollout",
		Short: "Take a change through a fleet in stages",
		Long: `Takes a change of settings, plan or program through the controllers that the operator's file names (part
fleet), stage by stage, and rolls it back where a stage does worse.

Exit codes of start and resume: 0 on all controllers, 4 rolled back, 5 stopped, 6 another coordinates, 1 it could not go
on.`,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&options.folder, "record", "rollout", "the folder where the fleet's changes are recorded")
	flags.StringVar(&options.operatorFile, "operator", "", operatorFlagUsage)
	flags.BoolVar(&options.replicated, "replicated", false,
		"the fleet's leader coordinates, by a record that its voters replicate; --record is not used")
	formerBoolFlag(flags, &options.replicated, "agreed", "replicated")
	root.AddCommand(
		startCommand(options),
		resumeCommand(options),
		requestCommand(options, "pause", "No further stage until resumed; a regression still rolls the change back",
			rollout.RequestPause),
		requestCommand(options, "stop", "End the change where it stands", rollout.RequestStop),
		requestCommand(options, "rollback", "Roll the change back", rollout.RequestRollback),
		formerName("back", "swiftreel rollout rollback", requestCommand(options, "rollback", "", rollout.RequestRollback)),
		rolloutStatusCommand(options),
		historyCommand(options),
		checkCommand(),
	)
	return root
}

func startCommand(options *rolloutOptions) *cobra.Command {
	var replaceLost bool
	start := &cobra.Command{
		Use:   "start CHANGE",
		Short: "Begin a change and coordinate it until it ends",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			next, err := change.Load(args[0])
			if err != nil {
				return command.BadInput(err)
			}
			if options.replicated {
				return postToLeader(cmd.Context(), options.operatorFile, changePath, next)
			}
			begin := func(ctx context.Context, store *coordinator.RecordStore, fleet *coordinator.FleetClient) error {
				return coordinator.Begin(ctx, store, next, fleet, replaceLost)
			}
			return coordinate(options.operatorFile, options.folder, begin)
		},
	}
	const present = "replace-lost"
	start.Flags().BoolVar(&replaceLost, present, false,
		"whoever coordinated a change of this number from another folder is gone for good")
	formerBoolFlag(start.Flags(), &replaceLost, "take", present)
	return start
}

func resumeCommand(options *rolloutOptions) *cobra.Command {
	var takeOver bool
	resume := &cobra.Command{
		Use:   "resume",
		Short: "End a pause; with --coordinate, take over a change whose coordinator is gone",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if takeOver {
				return coordinate(options.operatorFile, options.folder, nil)
			}
			return options.submit(cmd.Context(), rollout.RequestResume)
		},
	}
	const present = "coordinate"
	resume.Flags().BoolVar(&takeOver, present, false, "coordinate until the change ends")
	formerBoolFlag(resume.Flags(), &takeOver, "conduct", present)
	return resume
}

func requestCommand(options *rolloutOptions, name, short string, request rollout.Request) *cobra.Command {
	return &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return options.submit(cmd.Context(), request)
		},
	}
}

// submit passes an operator's request to the coordinator.
func (o *rolloutOptions) submit(ctx context.Context, request rollout.Request) error {
	if o.replicated {
		return postToLeader(ctx, o.operatorFile, requestPath, coordinator.OperatorRequest{Request: request})
	}
	return coordinator.OpenUnlocked(o.folder).Submit(request)
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check CHANGE",
		Short: "Check a change's file: every fault is named with its path",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			loaded, err := change.Load(args[0])
			var faults *schema.ValidationError
			if errors.As(err, &faults) {
				for _, fault := range faults.Problems {
					fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", faults.File, fault)
				}
				return command.SilentFailure(command.ExitBadInput, err)
			}
			if err != nil {
				return command.BadInput(err)
			}
			return command.WriteJSON(cmd.OutOrStdout(), loaded)
		},
	}
}

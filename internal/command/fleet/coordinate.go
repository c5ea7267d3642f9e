package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"swiftreel/internal/command"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/logging"
	"swiftreel/internal/rollout"
)

// Exit codes of a rollout, in addition to those of package command.
const (
	ExitReverted = 4 // the change regressed or its rollback was requested, and all controllers run the old version
	ExitStopped  = 5 // stopped by an operator, or before anything changed
	ExitFenced   = 6 // another process is the coordinator
)

// beginFunc records a new change in a store.
type beginFunc func(context.Context, *coordinator.RecordStore, *coordinator.FleetClient) error

// coordinate takes over the change that is recorded in a folder and runs it until it ends or a signal arrives. If begin
// is not nil, it first records a new change.
func coordinate(operatorFile, folder string, begin beginFunc) error {
	defer logging.Setup(os.Stderr)()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	fleet, err := loadFleet(operatorFile)
	if err != nil {
		return err
	}
	store, err := coordinator.OpenFolder(folder)
	if errors.Is(err, coordinator.ErrLocked) {
		return command.Failure(ExitFenced, err)
	}
	if err != nil {
		return command.Failure(command.ExitFailed, err)
	}
	defer store.Close()
	client := newFleetClient(fleet)
	if begin != nil {
		if err := begin(ctx, store, client); err != nil {
			return command.BadInput(err)
		}
	}
	coordinating, err := coordinator.TakeOver(store, client)
	if err != nil {
		return command.Failure(command.ExitFailed, err)
	}
	err = coordinating.Run(ctx)
	if errors.Is(err, coordinator.ErrFenced) {
		return command.Failure(ExitFenced, err)
	}
	if err != nil {
		return command.Failure(command.ExitFailed, fmt.Errorf("not finished, swiftreel rollout resume goes on: %w", err))
	}
	return outcome(coordinating.State())
}

// outcome returns the error, with its exit code, of a change that has ended; nil if the change was completed.
func outcome(state rollout.State) error {
	switch state.Phase {
	case rollout.PhaseReverted:
		return command.Failure(ExitReverted, fmt.Errorf("taken back: %s", state.Outcome))
	case rollout.PhaseStopped:
		return command.Failure(ExitStopped, fmt.Errorf("stopped: %s", state.Outcome))
	}
	return nil
}

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

// The exit codes of a rollout, beside those of package command.
const (
	ExitReverted = 4 // the change did worse, or was to be rolled back, and all are on the old version
	ExitStopped  = 5 // by an operator, or before anything changed
	ExitFenced   = 6 // another process coordinates
)

// beginFunc records a new change in a store.
type beginFunc func(context.Context, *coordinator.RecordStore, *coordinator.FleetClient) error

// coordinate carries the change in a folder on until it ends, or a signal ends the process. Where begin is not nil, it
// begins a new change first.
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

// outcome maps the state of a change that has ended to an exit code.
func outcome(state rollout.State) error {
	switch state.Phase {
	case rollout.PhaseReverted:
		return command.Failure(ExitReverted, fmt.Errorf("taken back: %s", state.Outcome))
	case rollout.PhaseStopped:
		return command.Failure(ExitStopped, fmt.Errorf("stopped: %s", state.Outcome))
	}
	return nil
}

package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	tea "charm.land/bubbletea/v2"

	"swiftreel/internal/change"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/operator"
)

const (
	refreshInterval   = time.Second
	supervisorTimeout = 2 * time.Second
)

// watchModel is the state of the terminal user interface.
type watchModel struct {
	store *coordinator.RecordStore
	fleet *coordinator.FleetClient // if nil, only the record is shown
	text  string
}

// refreshedMsg is the message that carries a new table.
type refreshedMsg string

func watch(folder, operatorFile string) error {
	model := watchModel{store: coordinator.OpenUnlocked(folder)}
	if operatorFile != "" {
		file, err := operator.Load(operatorFile)
		if err != nil {
			return err
		}
		if file.Fleet != nil {
			model.fleet = coordinator.NewFleetClient(file.Fleet.Members, supervisorTimeout, refreshInterval)
		}
	}
	_, err := tea.NewProgram(model).Run()
	return err
}

// Init requests the first table without delay.
func (m watchModel) Init() tea.Cmd { return m.refreshAfter(0) }

// Update handles a key or a new table.
func (m watchModel) Update(message tea.Msg) (tea.Model, tea.Cmd) {
	switch message := message.(type) {
	case tea.KeyPressMsg:
		if key := message.String(); key == "q" || key == "ctrl+c" {
			return m, tea.Quit
		}
	case refreshedMsg:
		m.text = string(message)
		return m, m.refreshAfter(refreshInterval)
	}
	return m, nil
}

// View returns the contents of the screen.
func (m watchModel) View() tea.View { return tea.NewView(m.text) }

func (m watchModel) refreshAfter(delay time.Duration) tea.Cmd {
	return func() tea.Msg {
		time.Sleep(delay)
		return refreshedMsg(table(m.store, m.fleet))
	}
}

// table returns the state of the change and the controllers as text, without the controllers if fleet is nil.
func table(store *coordinator.RecordStore, fleet *coordinator.FleetClient) string {
	var text strings.Builder
	record, found, err := store.Record()
	switch {
	case err != nil:
		fmt.Fprintln(&text, err)
	case !found:
		fmt.Fprintln(&text, "no change is recorded")
	default:
		fmt.Fprintf(&text, "change %d %s: %s, stage %d of %d\n%s\n\n", record.Change.Number, record.Change.Title,
			record.State.Phase, record.State.Stage+1, len(record.Stages), record.State.Reason)
	}
	printLastSample(&text, store)
	if fleet != nil {
		versions := map[change.Digest]string{}
		if found {
			versions[record.FromSpec.Digest()] = "old"
			versions[record.ToSpec.Digest()] = "new"
		}
		printControllers(&text, fleet, versions)
	}
	return text.String()
}

func printLastSample(out io.Writer, store *coordinator.RecordStore) {
	samples, err := store.Samples()
	if err != nil || len(samples) == 0 {
		return // the line is omitted
	}
	last := samples[len(samples)-1]
	fmt.Fprintf(out, "last look: odds of harm %.3g; new %d jobs, %d missed; old %d jobs, %d missed\n\n",
		last.EValue, last.New.Jobs, last.New.Missed, last.Old.Jobs, last.Old.Missed)
}

// printControllers polls the fleet and prints a line for each controller. versions maps the specs of the change to
// their names.
func printControllers(out io.Writer, fleet *coordinator.FleetClient, versions map[change.Digest]string) {
	const padding = 2
	w := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	fmt.Fprintln(w, "CONTROLLER\tVERSION\tRUNS\tSERVES\tOWED\tORDER\tENDS\tNOTE")
	for i, reply := range fleet.Poll(context.Background()) {
		status := reply.Status
		runs := versions[status.RunningSpec]
		note := status.Failure
		switch {
		case reply.Err != nil:
			runs = "?"
			note = reply.Err.Error()
		case runs == "":
			runs = "other"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%v\t%d\t%s\n", fleet.Members[i].Name, status.Version, runs, status.Serving,
			status.PendingAnswers, status.Fence, status.Crashes, note)
	}
	_ = w.Flush() // writes to memory
}

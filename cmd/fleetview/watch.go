package main

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	tea "charm.land/bubbletea/v2"

	"swiftreel/internal/coordinator"
	"swiftreel/internal/operator"
)

// every is from one look to the next.
const every = time.Second

// view is what is shown.
type view struct {
	folder *coordinator.Folder
	fleet  *coordinator.Fleet // nil: the record alone is shown
	text   string
}

type shown string

func watch(folder, file string) error {
	v := view{folder: coordinator.Look(folder)}
	if file != "" {
		f, err := operator.Load(file)
		if err != nil {
			return err
		}
		if f.Fleet != nil {
			v.fleet = coordinator.NewFleet(f.Fleet.Members, 2*time.Second, every)
		}
	}
	_, err := tea.NewProgram(v).Run()
	return err
}

// Init begins with a look.
func (v view) Init() tea.Cmd { return v.look(0) }

// Update takes a key or what a look has shown.
func (v view) Update(m tea.Msg) (tea.Model, tea.Cmd) {
	switch m := m.(type) {
	case tea.KeyPressMsg:
		if s := m.String(); s == "q" || s == "ctrl+c" {
			return v, tea.Quit
		}
	case shown:
		v.text = string(m)
		return v, v.look(every)
	}
	return v, nil
}

// View is the screen.
func (v view) View() tea.View { return tea.NewView(v.text) }

func (v view) look(after time.Duration) tea.Cmd {
	return func() tea.Msg {
		time.Sleep(after)
		return shown(table(v.folder, v.fleet))
	}
}

// table is the change and its controllers.
func table(folder *coordinator.Folder, fleet *coordinator.Fleet) string {
	var b strings.Builder
	r, is, err := folder.Record()
	switch {
	case err != nil:
		fmt.Fprintln(&b, err)
	case !is:
		fmt.Fprintln(&b, "no change is recorded")
	default:
		fmt.Fprintf(&b, "change %d %s: %s, stage %d of %d\n%s\n\n", r.Change.Number, r.Change.Title, r.State.Phase, r.State.Stage+1, len(r.Stages), r.State.Why)
	}
	if points, _ := folder.Points(); len(points) > 0 {
		p := points[len(points)-1]
		fmt.Fprintf(&b, "last look: odds of harm %.3g; new %d jobs, %d missed; old %d jobs, %d missed\n\n", p.Odds, p.New.Jobs, p.New.Missed, p.Old.Jobs, p.Old.Missed)
	}
	if fleet == nil {
		return b.String()
	}
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CONTROLLER\tVERSION\tRUNS\tSERVES\tOWED\tORDER\tENDS\tNOTE")
	for i, a := range fleet.Ask(context.Background()) {
		runs, note := "other", a.Status.Failure
		switch {
		case a.Err != nil:
			runs, note = "?", a.Err.Error()
		case is && a.Status.RunningSpec == r.To.Digest():
			runs = "new"
		case is && a.Status.RunningSpec == r.From.Digest():
			runs = "old"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%v\t%d\t%s\n", fleet.Members[i].Name, a.Status.Version, runs, a.Status.Serving, a.Status.OwedAnswers, a.Status.Fence, a.Status.Crashes, note)
	}
	w.Flush()
	return b.String()
}

package command

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"swiftreel/internal/solve"
)

// barLength is the number of characters of the usage bar of an engine.
const barLength = 30

// Units of values and shares in plans.
const (
	perMillion        = 1e6
	perMillionPercent = perMillion / 100 // converts shares to percent
)

// renderAnswer writes an answer as tables. types are the names of the job types, one column each.
func renderAnswer(out io.Writer, types []string, answer solve.Answer, took time.Duration) error {
	var text bytes.Buffer // writes to it cannot fail
	table := tabwriter.NewWriter(&text, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "%s by %s in %v\n", answer.Status, answer.Method, took.Round(time.Millisecond))
	if len(answer.Steps) == 0 {
		renderConflicts(table, answer.Conflicts)
	} else {
		renderObjective(table, answer)
		renderSteps(table, types, answer.Steps)
		renderBinding(table, answer.Binding)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := out.Write(text.Bytes())
	return err
}

func renderConflicts(table io.Writer, conflicts []solve.Conflict) {
	for i, conflict := range conflicts {
		proved := "proved: without any one of them the others fit"
		if !conflict.Proved {
			proved = "not all proved in time"
		}
		_, _ = fmt.Fprintf(table, "\nconflict %d, %d ms from now (%s):\n", i+1, conflict.FromMS, proved)
		for _, member := range conflict.Requirements {
			_, _ = fmt.Fprintf(table, "  %s\n    it fits with: %s\n", member.Requirement, member.Change)
		}
	}
}

// renderObjective writes the three components of the objective with their bounds.
func renderObjective(table io.Writer, a solve.Answer) {
	_, _ = fmt.Fprintf(table, "billed value a second\t%.6f\tat most %.6f\tgap %.4f%%\tproved %v\n",
		float64(a.Value)/perMillion, float64(a.Bound)/perMillion, 100*a.Gap, a.Proved.Value)
	_, _ = fmt.Fprintf(table, "cost of a second, millionths\t%d\tat least %d\t\tproved %v\n",
		a.Cost, a.CostBound, a.Proved.Cost)
	_, _ = fmt.Fprintf(table, "greatest use of an engine\t%.2f%%\tat least %.2f%%\t\tproved %v\n",
		float64(a.MaxUtilization)/100, float64(a.MaxUtilizationBound)/100, a.Proved.MaxUtilization)
}

func renderSteps(table io.Writer, types []string, steps []solve.Step) {
	for _, step := range steps {
		if len(steps) > 1 {
			_, _ = fmt.Fprintf(table, "\nfrom %d ms on: billed value %.6f a second\n",
				step.FromMS, float64(step.Value)/perMillion)
		}
		renderEngines(table, types, step)
		renderTotals(table, step)
	}
}

// renderEngines writes a table with one row for each engine: the threads of each job type and a usage bar.
func renderEngines(table io.Writer, types []string, step solve.Step) {
	type cell struct{ engine, jobType string }
	threads := map[cell]int64{}
	for _, t := range step.Threads {
		threads[cell{t.Engine, t.Type}] += t.Threads
	}
	_, _ = fmt.Fprint(table, "\nengine")
	for _, name := range types {
		_, _ = fmt.Fprint(table, "\t", name)
	}
	_, _ = fmt.Fprintln(table, "\tthreads\tuse")
	for _, use := range step.Use {
		_, _ = fmt.Fprint(table, use.Engine)
		for _, name := range types {
			_, _ = fmt.Fprint(table, "\t", threads[cell{use.Engine, name}])
		}
		used := int(barLength * use.Threads / max(1, use.Usable))
		bar := strings.Repeat("#", used) + strings.Repeat(".", barLength-used)
		_, _ = fmt.Fprintf(table, "\t%d of %d\t%s\n", use.Threads, use.Usable, bar)
	}
}

// renderTotals writes the threads of each job type and each tenant.
func renderTotals(table io.Writer, step solve.Step) {
	_, _ = fmt.Fprintln(table, "\ntype\tthreads given\tasked for")
	for _, served := range step.Served {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\n", served.Type, served.Granted, served.Requested)
	}
	_, _ = fmt.Fprintln(table, "\ntenant\tthreads\tshare")
	for _, share := range step.Shares {
		percent := float64(share.PerMillion) / perMillionPercent
		_, _ = fmt.Fprintf(table, "%s\t%d\t%.2f%%\n", share.Tenant, share.Threads, percent)
	}
}

// renderBinding writes the binding limits, and the gain from one more unit of each.
func renderBinding(table io.Writer, list []solve.Binding) {
	if len(list) == 0 {
		return
	}
	_, _ = fmt.Fprintf(table, "\nwhat binds\tone more unit\tbrings a second\n")
	for _, binding := range list {
		estimate := ""
		if !binding.Exact {
			estimate = " at most, about"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.6f%s\n", binding.What, binding.Unit, float64(binding.Gain)/perMillion, estimate)
	}
}

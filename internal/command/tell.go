package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"swiftreel/internal/solve"
)

// mostBar is the length of a full engine's bar.
const mostBar = 30

// tell writes an answer for a person.
func tell(out io.Writer, p *solve.Problem, a solve.Answer, took time.Duration) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "%s by %s in %v\n", a.Status, a.Method, took.Round(time.Millisecond))
	if len(a.Steps) == 0 {
		for i, c := range a.Conflicts {
			proved := "proved: without any one of them the others fit"
			if !c.Proved {
				proved = "not all proved in time"
			}
			fmt.Fprintf(w, "\nconflict %d, %d ms from now (%s):\n", i+1, c.FromMS, proved)
			for _, m := range c.Demands {
				fmt.Fprintf(w, "  %s\n    it fits with: %s\n", m.Demand, m.Change)
			}
		}
		return w.Flush()
	}
	fmt.Fprintf(w, "billed value a second\t%.6f\tat most %.6f\tgap %.4f%%\tproved %v\n", float64(a.Value)/1e6, float64(a.Bound)/1e6, 100*a.Gap, a.Proved.Value)
	fmt.Fprintf(w, "cost of a second, millionths\t%d\tat least %d\t\tproved %v\n", a.Cost, a.CostBound, a.Proved.Cost)
	fmt.Fprintf(w, "greatest use of an engine\t%.2f%%\tat least %.2f%%\t\tproved %v\n", float64(a.Evenness)/100, float64(a.EvennessBound)/100, a.Proved.Evenness)
	for _, s := range a.Steps {
		if len(a.Steps) > 1 {
			fmt.Fprintf(w, "\nfrom %d ms on: billed value %.6f a second\n", s.FromMS, float64(s.Value)/1e6)
		}
		table(w, p, s)
	}
	if len(a.Binding) > 0 {
		fmt.Fprintf(w, "\nwhat binds\tone more unit\tbrings a second\n")
		for _, b := range a.Binding {
			sure := ""
			if !b.Exact {
				sure = " at most, about"
			}
			fmt.Fprintf(w, "%s\t%s\t%.6f%s\n", b.What, b.Unit, float64(b.Gain)/1e6, sure)
		}
	}
	return w.Flush()
}

// table is engines down, types across, a bar of each one's use beside it; then types and tenants.
func table(w io.Writer, p *solve.Problem, s solve.Step) {
	on := map[[2]string]int64{}
	for _, t := range s.Threads {
		on[[2]string{t.Engine, t.Type}] += t.Threads
	}
	fmt.Fprint(w, "\nengine")
	for _, t := range p.Types {
		fmt.Fprint(w, "\t", t.Name)
	}
	fmt.Fprintln(w, "\tthreads\tuse")
	for _, u := range s.Use {
		fmt.Fprint(w, u.Engine)
		for _, t := range p.Types {
			fmt.Fprint(w, "\t", on[[2]string{u.Engine, t.Name}])
		}
		full := int(mostBar * u.Threads / max(1, u.Usable))
		fmt.Fprintf(w, "\t%d of %d\t%s%s\n", u.Threads, u.Usable, strings.Repeat("#", full), strings.Repeat(".", mostBar-full))
	}
	fmt.Fprintln(w, "\ntype\tthreads given\tasked for")
	for _, t := range s.Served {
		fmt.Fprintf(w, "%s\t%d\t%d\n", t.Type, t.Granted, t.Requested)
	}
	fmt.Fprintln(w, "\ntenant\tthreads\tshare")
	for _, t := range s.Shares {
		fmt.Fprintf(w, "%s\t%d\t%.2f%%\n", t.Tenant, t.Threads, float64(t.PerMillion)/1e4)
	}
}

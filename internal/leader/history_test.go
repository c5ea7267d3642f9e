package leader

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// register is an item of what is agreed: written by owners, read by who may act.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if in := input.(string); in != "" { // a write; it may have come to nothing where its outcome is not known
			return true, in
		}
		return state == output, state
	},
	Equal: func(a, b any) bool { return a == b },
}

// history plays a world and tells whether what was written and read has an order in time.
func history(t *testing.T, seed uint64, broken func(*world)) bool {
	w := newWorld(t, seed, 3)
	broken(w)
	w.start()
	var ops []porcupine.Operation
	open := map[string]int{} // by value, until known
	values := 0
	w.done = func(id uint64, d Result) {
		value := fmt.Sprint(id, " ", d.CommandID)
		if i, is := open[value]; is {
			if delete(open, value); d.Err != nil { // it changed nothing, for certain
				ops[i].Input = nil
			} else {
				ops[i].Return = w.now*1000 + 500
			}
		}
	}
	w.acting = func(id uint64, v *voter) {
		switch w.r.IntN(30) {
		case 0:
			values++
			value := fmt.Sprint(id, " ", 1_000_000+values)
			out, err := v.core.Propose(uint64(1_000_000+values), v.core.ActiveTerm(w.local(v)), "register", []byte(value))
			if err == nil {
				open[value] = len(ops)
				ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: value, Call: w.now * 1000, Output: "", Return: 1 << 62})
				w.does(id, out)
			}
		case 1, 2, 3:
			got := string(v.core.State().Items["register"])
			ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: "", Call: w.now*1000 + 1, Output: got, Return: w.now*1000 + 2})
		}
	}
	for w.now < 20e9 {
		w.one()
		w.trouble()
	}
	ops = slices.DeleteFunc(ops, func(o porcupine.Operation) bool { return o.Input == nil })
	if len(ops) < 20 {
		return true // trouble from end to end
	}
	return porcupine.CheckOperationsTimeout(register, ops, 20*time.Second) != porcupine.Illegal
}

func TestWhatIsAgreedHasAnOrder(t *testing.T) {
	for seed := range uint64(30) {
		if !history(t, seed, func(*world) {}) {
			t.Fatalf("seed %d", seed)
		}
	}
	for seed := range uint64(400) {
		if !history(t, seed, func(w *world) { w.noLease = true }) {
			return
		}
	}
	t.Error("without the lease no history is out of order: the check sees nothing")
}

// How much TestTimesWithoutAnOwner plays; make proof-owner plays more.
var (
	runs  = flag.Int("runs", 10, "owners lost in each way")
	hours = flag.Int("hours", 0, "of virtual time without trouble")
)

// Times without an owner, in virtual time: the real core, links that lose 2 of 100 messages. make proof-owner prints them.
func TestTimesWithoutAnOwner(t *testing.T) {
	for _, how := range []string{"killed", "stopped", "cut off", "stepped down"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			var gaps []int64
			for seed := range uint64(*runs) {
				w := newWorld(t, seed, 5)
				w.start()
				owner := func(not uint64) uint64 {
					for _, id := range w.ids {
						if v := w.voters[id]; id != not && v.core != nil && v.stall <= w.now && v.core.ActiveTerm(w.local(v)) != 0 {
							return id
						}
					}
					return 0
				}
				for owner(0) == 0 || w.now < 5e9 {
					w.one()
				}
				id := owner(0)
				for ; id == 0; id = owner(0) {
					w.one()
				}
				v, from := w.voters[id], w.now
				switch how {
				case "killed":
					v.core, v.down = nil, w.now+60e9
				case "stopped":
					v.stall = w.now + 60e9
				case "cut off":
					for _, n := range w.ids {
						w.cut[[2]uint64{id, n}], w.cut[[2]uint64{n, id}] = true, true
					}
				default:
					out, is := v.core.TransferLeadership("")
					if !is {
						continue
					}
					w.does(id, out)
				}
				for owner(map[bool]uint64{false: id}[how == "stepped down"]) == 0 { // one that nobody could take over from may own again
					if w.one(); w.now > from+60e9 {
						t.Fatalf("%s, seed %d: nobody takes over", how, seed)
					}
				}
				if w.broken != "" {
					t.Fatalf("%s, seed %d: %s", how, seed, w.broken)
				}
				gaps = append(gaps, (w.now-from)/1e6)
			}
			slices.Sort(gaps)
			p50, p99 := gaps[len(gaps)/2], gaps[len(gaps)*99/100]
			t.Logf("owner %-12s %d times: median %4d ms, p99 %4d ms until another may act", how, len(gaps), p50, p99)
			if how == "stepped down" && p50 > 1000 || p99 > 8000 {
				t.Errorf("%s: %d ms, %d ms", how, p50, p99)
			}
		})
	}
	t.Run("nothing wrong", func(t *testing.T) {
		t.Parallel()
		changes := 0
		for seed := range uint64(*hours) {
			w := newWorld(t, seed, 5)
			w.loss = 5
			w.start()
			for w.now < 3600e9 {
				w.one()
			}
			changes += len(w.owners) - 1
		}
		t.Logf("owners changed %d times in %d hours with nothing wrong but 5%% of messages lost", changes, *hours)
		if changes > 2**hours {
			t.Errorf("%d changes in %d hours", changes, *hours)
		}
	})
}

package leader

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// register models a replicated item that active leaders write and read.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if in := input.(string); in != "" { // a write; if its outcome is unknown, it may have had no effect
			return true, in
		}
		return state == output, state
	},
	Equal: func(a, b any) bool { return a == b },
}

// historyRecorder records the reads and writes of the members of a simulation.
type historyRecorder struct {
	simulation *simulation
	operations []porcupine.Operation
	open       map[string]int   // writes of unknown outcome, by value
	activeAt   map[uint64]int64 // when a member was last seen active, by ID
	written    int
}

const unknownEnd = int64(1) << 62

func (h *historyRecorder) onResult(id uint64, result Result) {
	value := fmt.Sprint(id, " ", result.CommandID)
	i, isOpen := h.open[value]
	if !isOpen {
		return
	}
	delete(h.open, value)
	if result.Err != nil { // the write certainly had no effect
		h.operations[i].Input = nil
		return
	}
	h.operations[i].Return = h.simulation.now*1000 + 500
}

// onActive reads and writes at random. It always reads if the member was not active in the previous step, because a
// member that resumes after a stall may act on outdated state.
func (h *historyRecorder) onActive(id uint64, m *simulatedMember) {
	wasActive := h.activeAt[id] == h.simulation.now-simulationStep
	h.activeAt[id] = h.simulation.now
	if !wasActive {
		h.read(m)
	}
	switch h.simulation.random.IntN(30) {
	case 0:
		h.write(id, m)
	case 1, 2, 3:
		h.read(m)
	}
}

func (h *historyRecorder) write(id uint64, m *simulatedMember) {
	h.written++
	commandID := uint64(1_000_000 + h.written)
	value := fmt.Sprint(id, " ", commandID)
	out, err := m.core.Propose(commandID, h.simulation.activeTerm(m), "register", []byte(value))
	if err != nil {
		return
	}
	h.open[value] = len(h.operations)
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: len(h.operations),
		Input:    value,
		Call:     h.simulation.now * 1000,
		Output:   "",
		Return:   unknownEnd,
	})
	h.simulation.carryOut(id, out)
}

func (h *historyRecorder) read(m *simulatedMember) {
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: len(h.operations),
		Input:    "",
		Call:     h.simulation.now*1000 + 1,
		Output:   string(m.core.State().Items["register"]),
		Return:   h.simulation.now*1000 + 2,
	})
}

// isLinearizable runs a simulation with faults and reports whether its history of reads and writes is linearizable.
func isLinearizable(t *testing.T, seed uint64, inject func(*simulation)) bool {
	t.Helper()
	s := newSimulation(t, seed, 3)
	inject(s)
	s.start()
	history := &historyRecorder{simulation: s, open: map[string]int{}, activeAt: map[uint64]int64{}}
	s.onResult = history.onResult
	s.onActive = history.onActive
	for s.now < 20e9 {
		s.step()
		s.injectFault()
	}
	operations := slices.DeleteFunc(history.operations, func(o porcupine.Operation) bool { return o.Input == nil })
	if len(operations) < 20 {
		return true // too few operations, as faults lasted for most of the run
	}
	return porcupine.CheckOperationsTimeout(register, operations, 20*time.Second) != porcupine.Illegal
}

func TestItemsAreLinearizable(t *testing.T) {
	for seed := range uint64(30) {
		if !isLinearizable(t, seed, func(*simulation) {}) {
			t.Fatalf("seed %d", seed)
		}
	}
	for seed := range uint64(400) {
		if !isLinearizable(t, seed, func(s *simulation) { s.ignoreLease = true }) {
			return
		}
	}
	t.Error("no violation is detected without the lease")
}

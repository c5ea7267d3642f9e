package quota

import "testing"

// fleetTargets returns targets for the fleet's threads of two members.
func fleetTargets(a, b int64) map[string]Shares {
	return map[string]Shares{"a": {FleetThreads: a}, "b": {FleetThreads: b}}
}

// A record whose commit timed out may still be committed later. Even if the targets return to the committed record,
// another record must be committed before the next grant.
func TestAnUncertainRecordIsReplaced(t *testing.T) {
	l := NewLedger(Record{}, 5000, 0)
	targets := fleetTargets(700_000, 300_000)
	record, isChanged := l.NextRecord(targets, 1)
	l.Commit(record)
	if !isChanged {
		t.Error("the first record is not committed")
	}
	if _, isChanged := l.NextRecord(targets, 2); isChanged {
		t.Error("a committed record is committed again")
	}
	if _, isChanged := l.NextRecord(map[string]Shares{"a": {FleetThreads: 300_000}}, 3); !isChanged {
		t.Error("a change is not committed")
	}
	l.MarkUncertain() // the commit timed out, and the targets return to the earlier ones
	record, isChanged = l.NextRecord(targets, 4)
	if !isChanged {
		t.Error("the uncertain record is not replaced")
	}
	l.Commit(record)
	if got := l.Grant("a", targets["a"], 5, 1)[FleetThreads]; got != 700_000 {
		t.Errorf("%d is granted after the commit", got)
	}
}

// convergenceRun simulates a leader's rounds with two members that accept every assignment.
type convergenceRun struct {
	ledger   *Ledger
	sequence int64
}

// round runs one round and returns the shares granted to b. Members that do not reply confirm nothing.
func (c *convergenceRun) round(now int64, targets map[string]Shares, doReply bool) Shares {
	if doReply && c.sequence > 0 {
		c.ledger.Confirm("a", c.sequence-1)
		c.ledger.Confirm("b", c.sequence)
	}
	if record, isChanged := c.ledger.NextRecord(targets, now); isChanged {
		c.ledger.Commit(record)
	}
	if doReply {
		c.ledger.Grant("a", targets["a"], now, c.sequence+1)
	}
	c.sequence += 2
	return c.ledger.Grant("b", targets["b"], now, c.sequence)
}

// Grants reach the targets once the shares in use have expired or their return has been confirmed.
func TestSharesConverge(t *testing.T) {
	c := &convergenceRun{ledger: NewLedger(Record{}, 5000, 0)}
	if got := c.round(1000, fleetTargets(900_000, 100_000), true); got[FleetThreads] != 100_000 {
		t.Errorf("%v", got)
	}
	if got := c.round(2000, fleetTargets(100_000, 900_000), true); got[FleetThreads] != 100_000 {
		t.Errorf("granted before the other member has returned its share: %v", got)
	}
	if got := c.round(3000, fleetTargets(100_000, 900_000), true); got[FleetThreads] != 900_000 {
		t.Errorf("not granted although the share has been returned: %v", got)
	}
	// The share of a member that does not reply is granted to another one only after it has expired.
	c.round(4000, fleetTargets(800_000, 200_000), true)
	c.round(5000, fleetTargets(800_000, 200_000), true)
	for now := int64(6000); now < 5000+5250; now += 1000 {
		if got := c.round(now, fleetTargets(0, FullShare), false); got[FleetThreads] != 200_000 {
			t.Errorf("at %d: %v", now, got)
		}
	}
	if got := c.round(5000+5251, fleetTargets(0, FullShare), false); got[FleetThreads] != FullShare {
		t.Errorf("%v, %v", got, c.ledger.record)
	}
}

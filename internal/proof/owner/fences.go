package main

import (
	"errors"
	"fmt"
	"strings"

	"swiftreel/internal/change"
)

// checkFences checks that each supervisor accepted orders with increasing fences, and that all orders of a term come
// from one leader. It counts the terms and the plans that controllers accepted.
func (r *clusterRun) checkFences() error {
	texts := r.killedLogs
	for _, member := range r.cluster.Members {
		texts = append(texts, member.Supervisor.Log())
	}
	leaders := map[int64]string{} // leader by term
	for _, text := range texts {
		r.planCount += strings.Count(text, "msg=plan_taken")
		if err := checkOrders(text, leaders); err != nil {
			return err
		}
	}
	r.terms = len(leaders)
	if r.terms == 0 {
		return errors.New("no order was accepted")
	}
	return nil
}

// checkOrders checks the orders in one supervisor's log. leaders holds the leader of each term and is added to.
func checkOrders(text string, leaders map[int64]string) error {
	var last change.Fence
	for line := range strings.Lines(text) {
		_, fields, isOrder := strings.Cut(line, "msg=order_accepted fence=")
		if !isOrder {
			continue
		}
		var fence change.Fence
		var by string
		_, err := fmt.Sscanf(fields, "%d.%d.%d ordered_by=%s", &fence.Number, &fence.Term, &fence.Revision, &by)
		if err != nil {
			return err
		}
		if fence.Compare(last) <= 0 {
			return fmt.Errorf("order %v was accepted after %v", fence, last)
		}
		_, name, _ := strings.Cut(by, "@")
		if known := leaders[fence.Term]; known != "" && known != name {
			return fmt.Errorf("orders of term %d come from %s and from %s", fence.Term, known, name)
		}
		last = fence
		leaders[fence.Term] = name
	}
	return nil
}

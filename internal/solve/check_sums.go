package solve

import (
	"fmt"
	"math/big"
)

// checkSums checks that value, cost and crossing bytes per second of the fully used fleet do not exceed maxSum.
func (c *checker) checkSums() {
	limit := big.NewInt(maxSum)
	threads, cost := c.fleetTotals()
	crossingCost := int64(0) // per GB, of the most expensive zone
	for _, z := range c.problem.Zones {
		crossingCost = max(crossingCost, z.CrossingCostPerGB)
	}
	for i, t := range c.problem.Types {
		at := fmt.Sprintf("/types/%d", i)
		rate := big.NewInt(jobsPerThread(t))
		value := product(rate, big.NewInt(t.Value), threads)
		if value.Cmp(limit) > 0 {
			c.fault(
				at+"/value",
				"%d a job is too large: the fleet's value a second would pass 2^60 millionths",
				t.Value,
			)
		}
		bytesOfThread := product(rate, big.NewInt(t.AnswerBytes))
		bytesOfThread.Div(bytesOfThread, big.NewInt(1_000_000)).Add(bytesOfThread, big.NewInt(1))
		bytes := product(bytesOfThread, threads)
		if bytes.Cmp(limit) > 0 {
			c.fault(
				at+"/answer_bytes",
				"%d a job is too large: the fleet's bytes a second would pass 2^60",
				t.AnswerBytes,
			)
		}
		total := product(bytes, big.NewInt(crossingCost))
		total.Div(total, big.NewInt(bytesPerGB)).Add(total, cost)
		if total.Cmp(limit) > 0 {
			c.fault(at, "costs are too large: the fleet's cost a second would pass 2^60")
		}
	}
	c.checkDemandSums(limit)
}

// fleetTotals returns the threads of all engines, and their cost per second.
func (c *checker) fleetTotals() (threads, cost *big.Int) {
	threads = new(big.Int)
	cost = new(big.Int)
	for _, e := range c.problem.Engines {
		ofEngine := product(big.NewInt(e.Cores), big.NewInt(c.problem.threadsPerCore()))
		threads.Add(threads, ofEngine)
		cost.Add(cost, product(ofEngine, big.NewInt(e.Cost)))
	}
	return threads, cost
}

// checkDemandSums checks that the value of each demand does not exceed the limit.
func (c *checker) checkDemandSums(limit *big.Int) {
	for i, d := range c.problem.Demand {
		for _, t := range c.problem.Types {
			if t.Name != d.Type {
				continue
			}
			value := product(big.NewInt(d.JobsPer1000S*1000), big.NewInt(max(1, t.Value)))
			if value.Cmp(limit) > 0 {
				c.fault(fmt.Sprintf("/demand/%d/jobs_per_1000s", i),
					"%d is too large: its value a second would pass 2^60 millionths", d.JobsPer1000S)
			}
		}
	}
}

// product returns the product of the factors as a new number.
func product(factors ...*big.Int) *big.Int {
	result := big.NewInt(1)
	for _, f := range factors {
		result.Mul(result, f)
	}
	return result
}

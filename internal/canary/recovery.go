package canary

// Recovery tells whether all do again as they did before the first stage, over the last looks.
type Recovery struct {
	looks [5]arm
	n     int
}

// Look takes a look in, and tells.
func (r *Recovery) Look(l Limits, b *Base, list []Seen) bool {
	r.looks[r.n%len(r.looks)] = total(list)
	r.n++
	var was, now arm
	for _, w := range b.All {
		c := count(*w, missed, [2]int{})
		was = arm{was.bad + c.bad, was.all + c.all}
	}
	for _, a := range r.looks {
		now = arm{now.bad + a.bad, now.all + a.all}
	}
	if r.n < len(r.looks) || now.all < 20 {
		return false
	}
	return now.bad/now.all <= was.bad/max(1, was.all)+float64(l.SharedPerMille)/2000
}

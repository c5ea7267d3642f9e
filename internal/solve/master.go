package solve

import (
	"math"
	"slices"

	"swiftreel/internal/ilp"
)

// aim is what a stage wants most.
type aim uint8

// The aims, in the order of the stages.
const (
	aimShort aim = iota // the floors met: the least threads short of them
	aimValue
	aimCost // the least
)

// cluster is engines alike in all, also in what they may run now.
type cluster struct {
	group   *group
	engines []int
	threads int64
}

// master is the program over patterns: how many engines of a cluster run which counts of pieces, and what wants are
// given of that. Where there are few patterns all stand in it; else they come as their worth shows.
type master struct {
	m        *model
	h        *holds
	clusters []cluster
	prog     *ilp.Program
	cols     []meaning // of the program's columns
	known    []map[string]int
	whole    bool  // all patterns are in it
	compact  bool  // instead of patterns, threads by engine and piece
	limit    int64 // a bound known beforehand
	aim      aim
	dear     int64 // what a unit of cost takes off the objective
	missing  int64 // and a thread short of a floor; 0: none may be

	convex, memory, link, quota, floors, budget, outside int32 // first rows of each sort
	cost, value                                          int32
}

// meaning is what a column stands for: a pattern of a cluster, or threads of a want, or threads short of a floor.
type meaning struct {
	cluster int // -1: no pattern
	counts  []int64
	want    int // -1: no want
	part    bool
}

// mostWhole is up to how many patterns all are written out.
const mostWhole = 3000

func (m *model) clusters(h *holds, single bool) (list []cluster) {
	for gi := range m.groups {
		g := &m.groups[gi]
		for _, i := range g.engines {
			threads := m.cap(i, h)
			if threads <= 0 {
				continue
			}
			at := slices.IndexFunc(list, func(c cluster) bool { return !single && c.group == g && c.threads == threads })
			if at < 0 {
				at, list = len(list), append(list, cluster{group: g, threads: threads})
			}
			list[at].engines = append(list[at].engines, i)
		}
	}
	return list
}

func newMaster(m *model, h *holds) *master { return makeMaster(m, h, false) }

// newCompact is the program without patterns, whole at any size: threads by engine and piece. Its bounds are weaker, but
// branch and bound over it ends.
func newCompact(m *model, h *holds) *master { return makeMaster(m, h, true) }

func makeMaster(m *model, h *holds, compact bool) *master {
	s := &master{m: m, h: h, clusters: m.clusters(h, compact), prog: &ilp.Program{}, compact: compact, limit: math.MaxInt64}
	rows := func(n int, row func(i int) ilp.Row) (first int32) {
		first = int32(len(s.prog.Rows))
		for i := range n {
			s.prog.Rows = append(s.prog.Rows, row(i))
		}
		return first
	}
	most := func(v, otherwise int64) int64 {
		if v < 0 {
			return otherwise
		}
		return v
	}
	s.convex = rows(len(s.clusters), func(i int) ilp.Row {
		if compact {
			return ilp.Row{Bound: s.clusters[i].threads}
		}
		return ilp.Row{Bound: int64(len(s.clusters[i].engines)), Convex: true}
	})
	if compact {
		s.memory = rows(len(s.clusters), func(i int) ilp.Row { return ilp.Row{Bound: s.clusters[i].group.memory} })
	}
	s.link = rows(len(m.pieces), func(int) ilp.Row { return ilp.Row{} })
	s.quota = rows(len(m.p.Tenants), func(i int) ilp.Row { return ilp.Row{Bound: most(h.quota[i], m.asked(-1, i))} })
	s.floors = rows(len(h.floors), func(i int) ilp.Row {
		return ilp.Row{Sense: ilp.GreaterOrEqual, Bound: h.floors[i].threads}
	})
	s.budget = rows(len(m.p.Zones), func(i int) ilp.Row { return ilp.Row{Bound: most(h.budget[i], m.mostBytes())} })
	s.outside = rows(len(m.p.Types), func(i int) ilp.Row { return ilp.Row{Bound: most(h.outside[i], m.fleet)} })
	s.cost = rows(1, func(int) ilp.Row { return ilp.Row{Bound: most(h.cost, m.mostCost())} })
	s.value = rows(1, func(int) ilp.Row { return ilp.Row{Sense: ilp.GreaterOrEqual, Bound: h.value} })
	s.addWants()
	s.addPatterns()
	return s
}

func (s *master) addWants() {
	m := s.m
	for i, w := range m.wants {
		typ := m.pieces[w.piece].typ
		rows := []int32{s.link + int32(w.piece), s.quota + int32(w.tenant)}
		by := []int64{1, 1}
		for k, f := range s.h.floors {
			if f.typ == typ || f.tenant == w.tenant {
				rows, by = append(rows, s.floors+int32(k)), append(by, 1)
			}
		}
		rows = append(rows, s.value)
		add := func(most, worth int64, part bool) {
			if most > 0 {
				s.prog.Columns = append(s.prog.Columns, ilp.Column{Upper: most, Rows: rows, Coefficients: append(slices.Clone(by), worth)})
				s.cols = append(s.cols, meaning{cluster: -1, want: i, part: part})
			}
		}
		add(w.full, m.worth[typ], false)
		add(w.threads-w.full, w.partial, true)
	}
	for k, f := range s.h.floors {
		s.prog.Columns = append(s.prog.Columns, ilp.Column{Upper: f.threads, Rows: []int32{s.floors + int32(k)}, Coefficients: []int64{1}})
		s.cols = append(s.cols, meaning{cluster: -1, want: -1})
	}
}

// most is how many threads of a piece a cluster's engine could use, the engine being empty.
func (s *master) most(c *cluster, k int) int64 {
	m, g := s.m, c.group
	pc := m.pieces[k]
	if !g.takes[k] || (s.h.outside[pc.typ] == 0 && !m.placed(pc.typ, g)) {
		return 0
	}
	asked := int64(0)
	for _, w := range m.wants {
		if w.piece == k {
			asked += w.threads
		}
	}
	most := min(asked, c.threads)
	if each := m.memory[pc.typ]; each > 0 {
		most = min(most, g.memory/each)
	}
	return most
}

// addPatterns writes all patterns out where they are few, else those of one piece each.
func (s *master) addPatterns() {
	s.known = make([]map[string]int, len(s.clusters))
	for c := range s.clusters {
		s.known[c] = map[string]int{}
	}
	if s.compact {
		s.whole = true
		for c := range s.clusters {
			for k := range s.m.pieces {
				if s.most(&s.clusters[c], k) > 0 {
					counts := make([]int64, len(s.m.pieces))
					counts[k] = 1
					s.pattern(c, counts)
				}
			}
		}
		return
	}
	left := mostWhole
	for c := range s.clusters {
		if left = s.each(c, left, func([]int64) {}); left < 0 {
			break
		}
	}
	s.whole = left >= 0
	for c := range s.clusters {
		if s.whole {
			s.each(c, mostWhole, func(counts []int64) { s.pattern(c, counts) })
			continue
		}
		for k := range s.m.pieces {
			if n := s.most(&s.clusters[c], k); n > 0 {
				counts := make([]int64, len(s.m.pieces))
				counts[k] = n
				s.pattern(c, counts)
			}
		}
	}
}

// each goes through the patterns of a cluster but the empty one, and tells how many of left remain; below 0: too many.
func (s *master) each(c, left int, tell func([]int64)) int {
	m, cl := s.m, &s.clusters[c]
	counts := make([]int64, len(m.pieces))
	var at func(k int, threads, memory int64)
	at = func(k int, threads, memory int64) {
		if left < 0 {
			return
		}
		if k == len(counts) {
			if threads < cl.threads {
				left--
				tell(counts)
			}
			return
		}
		each := m.memory[m.pieces[k].typ]
		for n := range s.most(cl, k) + 1 {
			if n > threads || n*each > memory {
				break
			}
			counts[k] = n
			at(k+1, threads-n, memory-n*each)
		}
		counts[k] = 0
	}
	at(0, cl.threads, cl.group.memory)
	return left
}

// pattern adds a pattern, or finds it; its column is told.
func (s *master) pattern(c int, counts []int64) int {
	key := make([]byte, 0, 3*len(counts))
	for _, n := range counts {
		key = append(key, byte(n), byte(n>>8), byte(n>>16))
	}
	if j, is := s.known[c][string(key)]; is {
		return j
	}
	m, cl := s.m, &s.clusters[c]
	col := ilp.Column{Upper: int64(len(cl.engines)), BranchFirst: true}
	put := func(row int32, by int64) {
		if by == 0 {
			return
		}
		if i := slices.Index(col.Rows, row); i >= 0 {
			col.Coefficients[i] += by
			return
		}
		col.Rows, col.Coefficients = append(col.Rows, row), append(col.Coefficients, by)
	}
	put(s.convex+int32(c), 1)
	for k, n := range counts {
		pc := m.pieces[k]
		if s.compact && n > 0 {
			put(s.memory+int32(c), m.memory[pc.typ])
			col.Upper = s.most(cl, k)
		}
		put(s.link+int32(k), -n)
		put(s.budget+int32(pc.zone), n*cl.group.bytes[k])
		put(s.cost, n*cl.group.cost[k])
		if !m.placed(pc.typ, cl.group) {
			put(s.outside+int32(pc.typ), n)
		}
	}
	j := len(s.cols)
	s.known[c][string(key)] = j
	s.prog.Columns = append(s.prog.Columns, col)
	s.cols = append(s.cols, meaning{cluster: c, counts: slices.Clone(counts), want: -1})
	s.price(j)
	return j
}

// costOf is the cost of a pattern's column.
func (s *master) costOf(j int) int64 {
	col := &s.prog.Columns[j]
	if i := slices.Index(col.Rows, s.cost); i >= 0 {
		return col.Coefficients[i]
	}
	return 0
}

// price gives a column its worth in the stage at hand.
func (s *master) price(j int) {
	col, of := &s.prog.Columns[j], s.cols[j]
	switch {
	case of.cluster >= 0:
		col.Objective = -s.dear * s.costOf(j)
	case of.want >= 0:
		if col.Objective = 0; s.aim == aimValue {
			col.Objective = col.Coefficients[len(col.Coefficients)-1]
		}
	default:
		col.Objective, col.Upper = -s.missing, 0 // floors hold
		if s.aim == aimShort {
			col.Objective = -1
		}
		if s.aim == aimShort || s.missing > 0 {
			col.Upper = s.h.floors[col.Rows[0]-s.floors].threads
		}
	}
}

// turn sets the stage.
func (s *master) turn(to aim, value, cost int64) {
	if s.aim, s.dear = to, 0; to == aimCost {
		s.dear = 1
	}
	s.prog.Rows[s.value].Bound = value
	if cost >= 0 {
		s.prog.Rows[s.cost].Bound = cost
	}
	for j := range s.cols {
		s.price(j)
	}
}

// read turns columns' values into a solution, without what no want is given; the dearest engines give first.
func (s *master) read(x []int64) *solution {
	m, out := s.m, s.m.empty()
	spare := make([]int64, len(m.pieces))
	next := make([]int, len(s.clusters))
	for j, n := range x {
		of := s.cols[j]
		if of.want >= 0 {
			out.given[of.want] += n
			spare[m.wants[of.want].piece] -= n
		}
		if of.cluster < 0 {
			continue
		}
		if s.compact && n > 0 {
			i := s.clusters[of.cluster].engines[0]
			if out.on[i] == nil {
				out.on[i] = make([]int64, len(m.pieces))
			}
			for k, c := range of.counts {
				out.on[i][k] += c * n
				spare[k] += c * n
			}
			continue
		}
		for range n {
			i := s.clusters[of.cluster].engines[next[of.cluster]]
			next[of.cluster]++
			out.on[i] = slices.Clone(of.counts)
			for k, c := range of.counts {
				spare[k] += c
			}
		}
	}
	for k := range spare {
		for spare[k] > 0 {
			worst := -1
			for i, on := range out.on {
				if on != nil && on[k] > 0 && (worst < 0 || m.groups[m.groupOf[i]].cost[k] > m.groups[m.groupOf[worst]].cost[k]) {
					worst = i
				}
			}
			n := min(spare[k], out.on[worst][k])
			out.on[worst][k] -= n
			spare[k] -= n
		}
	}
	return out
}

// write turns a solution into columns' values; patterns it needs are added. nil: it does not fit the clusters.
func (s *master) write(from *solution) []int64 {
	x := make([]int64, len(s.cols))
	for j, of := range s.cols {
		if of.want >= 0 {
			w := s.m.wants[of.want]
			if n := from.given[of.want]; of.part {
				x[j] = max(0, n-w.full)
			} else {
				x[j] = min(n, w.full)
			}
		}
	}
	for j, of := range s.cols {
		if of.cluster < 0 && of.want < 0 { // short of a floor
			f := s.h.floors[s.prog.Columns[j].Rows[0]-s.floors]
			x[j] = f.threads
			for i, w := range s.m.wants {
				if f.typ == s.m.pieces[w.piece].typ || f.tenant == w.tenant {
					x[j] -= from.given[i]
				}
			}
			x[j] = max(0, x[j])
		}
	}
	for c, cl := range s.clusters {
		if s.compact {
			for j, of := range s.cols {
				if on := from.on[cl.engines[0]]; of.cluster == c && on != nil {
					x[j] = on[slices.Index(of.counts, 1)]
				}
			}
			continue
		}
		for _, i := range cl.engines {
			if on := from.on[i]; on != nil && slices.Max(append(slices.Clone(on), 0)) > 0 {
				j := s.pattern(c, on)
				for len(x) <= j {
					x = append(x, 0)
				}
				x[j]++
			}
		}
	}
	return append(x, make([]int64, len(s.cols)-len(x))...)
}

package engine

import (
	"bytes"
	"time"

	"swiftreel/internal/counters"
)

// Notes of a dispatch come so often at most, but for some at once.
const (
	notesAtOnce = 32
	notesEvery  = 10 * time.Millisecond
)

type state uint8

const (
	waiting state = iota // for its connection
	sending              // being written
	out
	over
)

// Dispatch is one that was started and whose end has not been told.
type Dispatch struct {
	pool    *Pool
	id      string
	reply   func(Reply)
	started time.Time // when it was ordered
	until   time.Time // not sent later; zero: no such bound
	probe   bool
	moved   int // to another connection, with no byte out
	text    []byte

	lane  Lane
	conn  *conn // state and what follows: guarded by the pool's lock
	state state
	wrote time.Time

	notes int
	done  Reply // gathered by the connection's reader
	pages [][]byte
	want  int
	held  int // bytes of pages
}

// proceed goes on from an assignment: one to a connection still being made is sent by that once it is up, even
// if that is by now.
func (d *Dispatch) proceed(next state) {
	switch next {
	case sending:
		d.conn.send(d)
	case over:
		counters.Increment("engine_conns_full")
		d.finish(Reply{Outcome: Full}) // it never ran, and the engine refused nothing
	}
}

// finish tells the end. Whoever sets the state to over calls it, once.
func (d *Dispatch) finish(r Reply) { d.reply(r) }

// Release gives back what a result's pages hold.
func (p *Pool) Release(pages [][]byte) {
	n := 0
	for _, page := range pages {
		n += len(page)
	}
	p.bounds.ResultBytes.Release(n)
}

// end frees the dispatch's place, if it is still out, and tells its end.
func (d *Dispatch) end(r Reply) {
	d.pool.mu.Lock()
	was := d.state
	if was != over {
		d.conn.release(d)
		if d.close(r.Outcome); r.Outcome != Done { // it may be sent anew, and an answer to this come twice
			d.conn.remember(d.id)
		}
	}
	d.pool.mu.Unlock()
	if was != over {
		d.finish(r)
	}
}

// close marks a dispatch as over; pages that nobody gets are given back. The lock is held.
func (d *Dispatch) close(end End) {
	if d.state = over; end != Done {
		d.pool.bounds.ResultBytes.Release(d.held)
		d.held = 0
	}
}

// take is told each answer in order, by the connection's reader.
func (d *Dispatch) take(a answer) {
	load, _ := a.field("load")
	switch word := string(a.word); {
	case d.probe && word == "well":
		if load == "" && len(a.fields) == 0 {
			load = string(a.body)
		}
		d.end(Reply{Outcome: Done, Load: load})
	case d.probe && word == "ill":
		d.end(Reply{Outcome: Failed, Load: load})
	case d.probe:
		d.end(Reply{Outcome: Failed})
	case word == "news":
		if d.notes++; time.Duration(d.notes-notesAtOnce)*notesEvery > time.Since(d.started) {
			d.spoilt("news_without_end")
		} else if note, is := a.field("note"); is {
			if v, is := a.number("val"); is {
				d.reply(Reply{Notice: note, Amount: v})
			}
		}
	case word == "data":
		d.first(a, load)
	case word == "page" && d.pages != nil:
		d.further(a)
	case word == "full":
		d.end(Reply{Outcome: Full, Load: load})
	case word == "moot":
		d.end(Reply{Outcome: Moot, Load: load})
	case word == "failed":
		d.end(Reply{Outcome: Failed, Load: load})
	default:
		d.spoilt(word)
	}
}

// first takes the answer that says how many pages there are, and holds the first.
func (d *Dispatch) first(a answer, load string) {
	sheets, is := a.number("sheets")
	switch {
	case !is || sheets < 1 || sheets > maxPages || sheets != float64(int(sheets)):
		d.spoilt("sheets")
	case !a.numberOrNone("toil") || !a.numberOrNone("room"):
		d.spoilt("toil_or_room")
	case d.pages != nil && len(d.pages) == int(sheets) && bytes.Equal(d.pages[0], a.body):
		counters.Increment("answers_again")
	case d.pages != nil:
		d.spoilt("data_twice")
	default:
		d.pages, d.want = make([][]byte, int(sheets)), int(sheets)
		d.done = Reply{Outcome: Done, Load: load}
		d.done.WorkMS, _ = a.number("toil")
		d.done.MemoryMB, _ = a.number("room")
		d.page(0, a.body)
	}
}

// further takes a page that was asked for. The same once more harms nothing.
func (d *Dispatch) further(a answer) {
	n, is := a.number("sheet")
	switch {
	case !is || n < 1 || n >= float64(len(d.pages)) || n != float64(int(n)):
		d.spoilt("sheet")
	case d.pages[int(n)] == nil:
		d.page(int(n), a.body)
	case bytes.Equal(d.pages[int(n)], a.body):
		counters.Increment("answers_again")
	default:
		d.spoilt("page_twice")
	}
}

// page takes one page into hand; the first asks for all others at once, the last ends the dispatch.
func (d *Dispatch) page(n int, body []byte) {
	if !wholeRows(body) {
		d.spoilt("rows")
		return
	}
	d.pool.mu.Lock()
	over, large := d.state == over, d.held+len(body) > maxResult
	fits := !over && !large && d.pool.bounds.ResultBytes.Reserve(len(body))
	if fits {
		d.held += len(body)
	}
	d.pool.mu.Unlock()
	if large {
		d.spoilt("result_over_its_size")
	} else if !fits && !over && d.Cancel(func() {}) { // no fault of the engine's
		counters.Increment("results_without_memory")
		d.finish(Reply{Outcome: Failed})
	}
	if !fits {
		return
	}
	d.pages[n] = append(make([]byte, 0, len(body)), body...)
	if d.want--; d.want > 0 {
		if n == 0 {
			var b []byte
			for i := 1; i < len(d.pages); i++ {
				b = appendCommand(b, "more", []byte(d.id), i)
			}
			d.conn.write(b)
		}
		return
	}
	if len(d.pages) > 1 {
		d.conn.write(appendCommand(nil, "done", []byte(d.id), -1))
	}
	d.done.Pages = d.pages
	d.end(d.done)
}

// spoilt ends a dispatch whose answer cannot be used: it may have run. A connection that carried such an answer is
// of no further use for others either.
func (d *Dispatch) spoilt(what string) {
	p := d.pool
	p.mu.Lock()
	was := d.state
	if was != over {
		d.conn.release(d)
		d.close(Failed)
		d.conn.cut = true
		p.shut(d.conn) // its reader settles the rest
	}
	p.mu.Unlock()
	if was != over {
		p.bad.CountAndWarn("answers_bad", "answer_bad", "engine", d.conn.host, "reason", what)
		d.finish(Reply{Outcome: Failed})
	}
}

// Cancel tells the engine that nobody waits any more. False means that the end was told, or is being told. Else
// done is called once nothing of it can be out: when the engine has read so, or the connection has ended.
func (d *Dispatch) Cancel(done func()) bool {
	p := d.pool
	p.mu.Lock()
	was, c := d.state, d.conn
	if was == over {
		p.mu.Unlock()
		return false
	}
	c.release(d)
	d.close(Open)
	aborts := was != waiting && !d.probe && !c.closed
	if aborts {
		c.remember(d.id)
		c.aborts[d.id] = done
	} else if was != waiting && c.heard.Before(d.wrote) {
		p.doubt(c.host, d.wrote)
	}
	p.mu.Unlock()
	if !aborts {
		done()
		return true
	}
	// An engine answers for a page of what it no longer knows, and reads in order: that proves the abort read.
	at := time.Now()
	c.write(appendCommand(appendCommand(nil, "abort", []byte(d.id), -1), "more", []byte(d.id), 1))
	after(p.bounds.DialTimeout, func() { c.silent(d.id, at) })
	return true
}

// SetPriority gives a dispatch that is out a new priority.
func (d *Dispatch) SetPriority(priority uint8) {
	d.pool.mu.Lock()
	is, c := d.state == out, d.conn
	d.pool.mu.Unlock()
	if is {
		c.write(appendCommand(nil, "renice", []byte(d.id), int(priority)))
	}
}

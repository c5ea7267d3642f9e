package engine

import (
	"bytes"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
)

// Notes on a dispatch may come at once up to a number, then at intervals.
const (
	noteBurst       = 32
	minNoteInterval = 10 * time.Millisecond
)

// receive takes the answers to a dispatch in order. Only the connection's reader calls it.
func (d *Dispatch) receive(received answer) {
	load, _ := received.field("load")
	if d.isProbe {
		d.receiveHealth(received, load)
		return
	}
	switch kind := string(received.kind); {
	case kind == answerNews:
		d.receiveNote(received)
	case kind == answerData:
		d.receiveFirstPage(received, load)
	case kind == answerPage && d.pages != nil:
		d.receivePage(received)
	case kind == answerFull:
		d.end(backend.Reply{Outcome: backend.Full, Load: load})
	case kind == answerSuperseded:
		d.end(backend.Reply{Outcome: backend.Superseded, Load: load})
	case kind == answerFailed:
		d.end(backend.Reply{Outcome: backend.Failed, Load: load})
	default:
		d.cutOff(kind)
	}
}

func (d *Dispatch) receiveHealth(a answer, load string) {
	switch string(a.kind) {
	case answerWell:
		if load == "" && len(a.fields) == 0 {
			load = string(a.body)
		}
		d.end(backend.Reply{Outcome: backend.Done, Load: load})
	case answerIll:
		d.end(backend.Reply{Outcome: backend.Failed, Load: load})
	default:
		d.end(backend.Reply{Outcome: backend.Failed})
	}
}

func (d *Dispatch) receiveNote(a answer) {
	d.noteCount++
	if time.Duration(d.noteCount-noteBurst)*minNoteInterval > time.Since(d.orderedAt) {
		d.cutOff("news_flood")
		return
	}
	note, hasNote := a.field("note")
	amount, hasAmount := a.number("val")
	if hasNote && hasAmount {
		d.reply(backend.Reply{Notice: note, Amount: amount})
	}
}

// receiveFirstPage takes the answer that says how many pages there are, and holds the first.
func (d *Dispatch) receiveFirstPage(received answer, load string) {
	pageCount, isInteger := received.integer("sheets")
	isRepeat := d.pages != nil && len(d.pages) == pageCount && bytes.Equal(d.pages[0], received.body)
	switch {
	case !isInteger || pageCount < 1 || pageCount > maxPages:
		d.failMalformed("sheets")
	case !received.isNumberOrAbsent("toil") || !received.isNumberOrAbsent("room"):
		d.failMalformed("toil_or_room")
	case isRepeat:
		counters.Increment("answers_duplicate")
	case d.pages != nil:
		d.failMalformed("conflicting_data")
	default:
		d.pages = make([][]byte, pageCount)
		d.missingPages = pageCount
		d.result = backend.Reply{Outcome: backend.Done, Load: load}
		d.result.WorkMS, _ = received.number("toil")
		d.result.MemoryMB, _ = received.number("room")
		d.addPage(0, received.body)
	}
}

// receivePage takes a page that was asked for. A repeat of one is harmless.
func (d *Dispatch) receivePage(a answer) {
	number, isInteger := a.integer("sheet")
	switch {
	case !isInteger || number < 1 || number >= len(d.pages):
		d.failMalformed("sheet")
	case d.pages[number] == nil:
		d.addPage(number, a.body)
	case bytes.Equal(d.pages[number], a.body):
		counters.Increment("answers_duplicate")
	default:
		d.failMalformed("conflicting_page")
	}
}

// addPage adds a page to the result. The first one asks for all others at once, the last one ends the dispatch.
func (d *Dispatch) addPage(number int, body []byte) {
	if !hasCompleteRows(body) {
		d.failMalformed("rows")
		return
	}
	if !d.reserve(len(body)) {
		return
	}
	d.pages[number] = append(make([]byte, 0, len(body)), body...)
	d.missingPages--
	if d.missingPages > 0 {
		if number == 0 {
			d.requestPages()
		}
		return
	}
	if len(d.pages) > 1 {
		d.conn.write(appendCommand(nil, commandDone, d.id))
	}
	d.result.Pages = d.pages
	d.end(d.result)
}

// reserve takes memory for a page from the bounds. If it returns false the dispatch has ended.
func (d *Dispatch) reserve(size int) bool {
	d.pool.mu.Lock()
	isOver := d.state == stateEnded
	isTooLarge := d.reservedBytes+size > maxResult
	isReserved := !isOver && !isTooLarge && d.pool.bounds.ResultBytes.Reserve(size)
	if isReserved {
		d.reservedBytes += size
	}
	d.pool.mu.Unlock()
	switch {
	case isReserved:
	case isTooLarge:
		d.failMalformed("result_too_large")
	case !isOver && d.Cancel(func() {}): // the engine is not to blame
		counters.Increment("results_without_memory")
		d.notifyEnd(backend.Reply{Outcome: backend.Failed})
	}
	return isReserved
}

// requestPages asks for all pages but the first.
func (d *Dispatch) requestPages() {
	var commands []byte
	for number := 1; number < len(d.pages); number++ {
		commands = appendNumberCommand(commands, commandMore, d.id, number)
	}
	d.conn.write(commands)
}

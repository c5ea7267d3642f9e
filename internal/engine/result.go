package engine

import (
	"bytes"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
)

// An engine may send noticeBurst notices on a dispatch at once, and further ones minNoticeInterval apart on average.
const (
	noticeBurst       = 32
	minNoticeInterval = 10 * time.Millisecond
)

// receive handles the answers to a dispatch, in order. Only the connection's reader calls it.
func (d *Dispatch) receive(received answer) {
	load, _ := received.field("load")
	if d.isProbe {
		d.receiveHealth(received, load)
		return
	}
	switch kind := string(received.kind); {
	case kind == answerNotice:
		d.receiveNotice(received)
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
		d.closeForInvalidAnswer(kind)
	}
}

func (d *Dispatch) receiveHealth(a answer, load string) {
	switch string(a.kind) {
	case answerHealthy:
		if load == "" && len(a.fields) == 0 {
			load = string(a.body)
		}
		d.end(backend.Reply{Outcome: backend.Done, Load: load})
	case answerUnhealthy:
		d.end(backend.Reply{Outcome: backend.Failed, Load: load})
	default:
		d.end(backend.Reply{Outcome: backend.Failed})
	}
}

func (d *Dispatch) receiveNotice(a answer) {
	d.noticeCount++
	if time.Duration(d.noticeCount-noticeBurst)*minNoticeInterval > time.Since(d.decidedAt) {
		d.closeForInvalidAnswer("news_flood")
		return
	}
	note, hasNote := a.field("note")
	amount, hasAmount := a.number("val")
	if hasNote && hasAmount {
		d.reply(backend.Reply{Notice: note, NoticeAmount: amount})
	}
}

// receiveFirstPage handles the answer that holds the first page and the number of pages.
func (d *Dispatch) receiveFirstPage(received answer, load string) {
	pageCount, isInteger := received.integer("sheets")
	isRepeat := d.pages != nil && len(d.pages) == pageCount && bytes.Equal(d.pages[0], received.body)
	switch {
	case !isInteger || pageCount < 1 || pageCount > maxPages:
		d.failInvalidResult("sheets")
	case !received.isNumberOrAbsent("toil") || !received.isNumberOrAbsent("room"):
		d.failInvalidResult("toil_or_room")
	case isRepeat:
		counters.Increment("answers_duplicate")
	case d.pages != nil:
		d.failInvalidResult("conflicting_data")
	default:
		d.pages = make([][]byte, pageCount)
		d.missingPages = pageCount
		d.result = backend.Reply{Outcome: backend.Done, Load: load}
		d.result.WorkMS, _ = received.number("toil")
		d.result.MemoryMB, _ = received.number("room")
		d.addPage(0, received.body)
	}
}

// receivePage handles a requested page. An identical repeat is harmless.
func (d *Dispatch) receivePage(a answer) {
	number, isInteger := a.integer("sheet")
	switch {
	case !isInteger || number < 1 || number >= len(d.pages):
		d.failInvalidResult("sheet")
	case d.pages[number] == nil:
		d.addPage(number, a.body)
	case bytes.Equal(d.pages[number], a.body):
		counters.Increment("answers_duplicate")
	default:
		d.failInvalidResult("conflicting_page")
	}
}

// addPage adds a page to the result. The first page triggers the request for all others; the last one ends the
// dispatch.
func (d *Dispatch) addPage(number int, body []byte) {
	if !hasCompleteRows(body) {
		d.failInvalidResult("rows")
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

// reserve reserves memory for a page. If it returns false, the dispatch has ended.
func (d *Dispatch) reserve(size int) bool {
	d.pool.mu.Lock()
	isOver := d.state == stateEnded
	isTooLarge := d.reservedBytes+size > maxResultBytes
	isReserved := !isOver && !isTooLarge && d.pool.limits.ResultBytes.Grow(d.reservedBytes, size)
	if isReserved {
		d.reservedBytes += size
	}
	d.pool.mu.Unlock()
	switch {
	case isReserved:
	case isTooLarge:
		d.failInvalidResult("result_too_large")
	case !isOver && d.Cancel(func() {}): // a shortage on this side, not an error of the engine
		counters.Increment("results_without_memory")
		d.notifyEnd(backend.Reply{Outcome: backend.NoMemory})
	}
	return isReserved
}

// requestPages requests all pages but the first.
func (d *Dispatch) requestPages() {
	var commands []byte
	for number := 1; number < len(d.pages); number++ {
		commands = appendNumberCommand(commands, commandMore, d.id, number)
	}
	d.conn.write(commands)
}

package choice

import "slices"

// What controllers say to each other, as bytes: a first byte and then entries. When it is said, and what follows from
// it, is decided in choice.go.

// wordHead is what a message costs in bytes beside its text; wordEach is what an entry takes without the groups of tables
// held, wordMost a text.
const wordHead, wordEach, wordMost = 8, 4, 253

// mapText begins a map. A word begins with the jobs taken since the last, at most mapText-1.
const mapText = 255

// unknown stands in a map where fewer than fewOutcomes were told; unsaid for the groups held, which a map names each
// heldEvery rounds only, as they cost more than all else.
const unknown, unsaid = 15, 15

// mark stands for an engine. Two engines that share one are taken for one, which both then look as full as together.
type mark uint16

func (e *engine) mark() mark { return mark(uint32(e.Engine) * 2654435761 >> 16) }

// entry is what is said of an engine.
type entry struct {
	mark    mark
	threads byte // out there
	ends    byte // word: dispatches that failed x 4 + done ones; map: part of them that failed, x 14, or unknown
	held    []byte
	says    bool // held is said
}

// mark stands for a group of tables that a load holds. Of two that share one, readers keep away alike.
func (t TableGroup) mark() byte { return byte(uint64(t) * 0x9E3779B97F4A7C15 >> 56) }

// word is what a sibling last said. It holds wordMost/wordEach entries at most.
type word struct {
	entries []entry
	at      Nanos
}

// ourWord is where our jobs are out and how dispatches ended since the last word.
func (c *Controller) ourWord() string {
	var entries []entry
	for _, e := range c.engines {
		if ends := min(3, e.failed)<<2 | min(3, e.done); e.threads > 0 || ends > 0 {
			n := entry{e.mark(), byte(min(e.threads, 255)), byte(ends), nil, true}
			for _, f := range e.flights {
				if f.job.typ.holds {
					n.held = append(n.held, f.job.tables.mark())
				}
			}
			entries = append(entries, n)
		}
	}
	text, _ := encode(byte(min(c.untold, mapText-1)), entries)
	return text
}

// fleetMap is what all words since a time told of each engine, of as many as a message holds, in turn.
func (c *Controller) fleetMap(since Nanos) string {
	threads, held := map[mark]int{}, map[mark][]byte{}
	for _, w := range c.words {
		for _, n := range w.entries {
			if w.at >= since {
				threads[n.mark], held[n.mark] = threads[n.mark]+int(n.threads), append(held[n.mark], n.held...)
			}
		}
	}
	var entries []entry
	c.next = min(c.next, len(c.engines)-1)
	for _, e := range c.engines[c.next:] {
		n := entry{e.mark(), byte(min(threads[e.mark()], 255)), unknown, held[e.mark()], c.round%heldEvery == 0}
		if all := e.toldFailed + e.toldDone; all >= fewOutcomes {
			n.ends = byte(14 * e.toldFailed / all)
		}
		entries = append(entries, n)
	}
	text, n := encode(mapText, entries)
	if c.next += n; c.next >= len(c.engines) {
		c.next, c.round = 0, c.round+1
	}
	return text
}

// about is what entries say of an engine.
func about(e *engine, entries []entry) (entry, bool) {
	for _, n := range entries {
		if n.mark == e.mark() {
			return n, true
		}
	}
	return entry{}, false
}

// encode writes a word or map, and tells how many entries it holds; what is over its size is left out.
func encode(first byte, entries []entry) (string, int) {
	text := []byte{first}
	for i, n := range entries {
		held, count := n.held[:min(len(n.held), unsaid-1)], byte(unsaid)
		if count = byte(len(held)); !n.says {
			held, count = nil, unsaid
		}
		if len(text)+wordEach+len(held) > wordMost {
			return string(text), i
		}
		text = append(append(text, byte(n.mark>>8), byte(n.mark), n.threads, n.ends<<4|count), held...)
	}
	return string(text), len(entries)
}

// decode reads one. What has another form is nothing that a controller said: ok is false.
func decode(text []byte) (first byte, entries []entry, ok bool) {
	if len(text) == 0 || len(text) > wordMost {
		return 0, nil, false
	}
	for rest := text[1:]; len(rest) > 0; {
		if len(rest) < wordEach {
			return 0, nil, false
		}
		n := entry{mark(rest[0])<<8 | mark(rest[1]), rest[2], rest[3] >> 4, nil, rest[3]&15 != unsaid}
		if rest = rest[wordEach:]; n.says {
			held := int(text[len(text)-len(rest)-1] & 15)
			if len(rest) < held {
				return 0, nil, false
			}
			n.held, rest = slices.Clone(rest[:held]), rest[held:]
		}
		entries = append(entries, n)
	}
	return text[0], entries, true
}

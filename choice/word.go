package choice

// What controllers say to each other, as bytes: a first byte and then entries of wordEach bytes. When it is said, and
// what follows from it, is decided in choice.go.

// wordHead is what a message costs in bytes beside its text; wordEach is what an entry takes, wordMost a text.
const wordHead, wordEach, wordMost = 8, 4, 253

// mapText begins a map. A word begins with the jobs taken since the last, at most mapText-1.
const mapText = 255

// unknown stands in a map where too few outcomes were told, under fewOutcomes.
const unknown, fewOutcomes = 255, 4

// mark stands for an engine. Two engines that share one are taken for one, which both then look as full as together.
type mark uint16

func (e *engine) mark() mark { return mark(uint32(e.Engine) * 2654435761 >> 16) }

// entry is what is said of an engine.
type entry struct {
	mark    mark
	threads byte // out there
	ends    byte // word: dispatches that failed x 16 + done ones; map: part of them that failed, x 254, or unknown
}

// word is what a sibling last said. It holds wordMost/wordEach entries at most.
type word struct {
	entries []entry
	at      Nanos
}

// ourWord is where our jobs are out and how dispatches ended since the last word.
func (c *Controller) ourWord() string {
	var entries []entry
	for _, e := range c.engines {
		if ends := min(15, e.failed)<<4 | min(15, e.done); e.threads > 0 || ends > 0 {
			entries = append(entries, entry{e.mark(), byte(min(e.threads, 255)), byte(ends)})
		}
	}
	return encode(byte(min(c.untold, mapText-1)), entries)
}

// fleetMap is what all words since a time told of each engine, of as many as a message holds, in turn.
func (c *Controller) fleetMap(since Nanos) string {
	threads := map[mark]int{}
	for _, w := range c.words {
		for _, n := range w.entries {
			if w.at >= since {
				threads[n.mark] += int(n.threads)
			}
		}
	}
	var entries []entry
	for range min(len(c.engines), wordMost/wordEach) {
		c.next = (c.next + 1) % len(c.engines)
		e := c.engines[c.next]
		n := entry{e.mark(), byte(min(threads[e.mark()], 255)), unknown}
		if all := e.toldFailed + e.toldDone; all >= fewOutcomes {
			n.ends = byte(254 * e.toldFailed / all)
		}
		entries = append(entries, n)
	}
	return encode(mapText, entries)
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

// encode writes a word or map; what is over its size is left out.
func encode(first byte, entries []entry) string {
	text := []byte{first}
	for _, n := range entries[:min(len(entries), wordMost/wordEach)] {
		text = append(text, byte(n.mark>>8), byte(n.mark), n.threads, n.ends)
	}
	return string(text)
}

// decode reads one. What has another form is nothing that a controller said: ok is false.
func decode(text []byte) (first byte, entries []entry, ok bool) {
	if len(text) == 0 || len(text) > wordMost || len(text)%wordEach != 1 {
		return 0, nil, false
	}
	for rest := text[1:]; len(rest) > 0; rest = rest[wordEach:] {
		entries = append(entries, entry{mark(rest[0])<<8 | mark(rest[1]), rest[2], rest[3]})
	}
	return text[0], entries, true
}

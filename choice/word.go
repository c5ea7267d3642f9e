package choice

import "slices"

// What controllers say to each other, as bytes: a first byte and then entries. When it is said, and what follows from
// it, is decided in choice.go.

// wordHead is what a message costs in bytes beside its text; wordEach is what an entry takes without the groups of tables
// held, wordMost a text.
const messageOverhead, entrySize, maxMessageSize = 8, 4, 253

// mapText begins a map. A word begins with the jobs taken since the last, at most mapText-1.
const mapMarker = 255

// unknown stands in a map where fewer than fewOutcomes were told; unsaid for the groups held, which a map names each
// heldEvery rounds only, as they cost more than all else.
const unknownFailures, omittedTables = 15, 15

// mark stands for an engine. Two engines that share one are taken for one, which both then look as full as together.
type engineHash uint16

func (e *engine) gossipHash() engineHash { return engineHash(uint32(e.Engine) * 2654435761 >> 16) }

// entry is what is said of an engine.
type gossipEntry struct {
	engine    engineHash
	threads   byte // out there
	outcomes  byte // word: dispatches that failed x 4 + done ones; map: part of them that failed, x 14, or unknown
	tables    []byte
	hasTables bool // held is said
}

// mark stands for a group of tables that a load holds. Of two that share one, readers keep away alike.
func (t TableGroup) hash() byte { return byte(uint64(t) * 0x9E3779B97F4A7C15 >> 56) }

// word is what a sibling last said. It holds wordMost/wordEach entries at most.
type peerMessage struct {
	entries    []gossipEntry
	receivedAt Nanos
}

// ourWord is where our jobs are out and how dispatches ended since the last word.
func (c *Controller) ownMessage() string {
	var entries []gossipEntry
	for _, e := range c.engines {
		if ends := min(3, e.newFailures)<<2 | min(3, e.newSuccesses); e.ownThreads > 0 || ends > 0 {
			n := gossipEntry{e.gossipHash(), byte(min(e.ownThreads, 255)), byte(ends), nil, true}
			for _, f := range e.attempts {
				if f.job.jobType.locksTables {
					n.tables = append(n.tables, f.job.tables.hash())
				}
			}
			entries = append(entries, n)
		}
	}
	text, _ := encodeGossip(byte(min(c.untold, mapMarker-1)), entries)
	return text
}

// fleetMap is what all words since a time told of each engine, of as many as a message holds, in turn.
func (c *Controller) fleetMap(since Nanos) string {
	threads, held := map[engineHash]int{}, map[engineHash][]byte{}
	for _, w := range c.words {
		for _, n := range w.entries {
			if w.receivedAt >= since {
				threads[n.engine], held[n.engine] = threads[n.engine]+int(n.threads), append(held[n.engine], n.tables...)
			}
		}
	}
	var entries []gossipEntry
	c.next = min(c.next, len(c.engines)-1)
	for _, e := range c.engines[c.next:] {
		n := gossipEntry{e.gossipHash(), byte(min(threads[e.gossipHash()], 255)), unknownFailures, held[e.gossipHash()], c.round%tablesEveryRounds == 0}
		if all := e.siblingFailures + e.siblingSuccesses; all >= minSiblingOutcomes {
			n.outcomes = byte(14 * e.siblingFailures / all)
		}
		entries = append(entries, n)
	}
	text, n := encodeGossip(mapMarker, entries)
	if c.next += n; c.next >= len(c.engines) {
		c.next, c.round = 0, c.round+1
	}
	return text
}

// about is what entries say of an engine.
func entryFor(e *engine, entries []gossipEntry) (gossipEntry, bool) {
	for _, n := range entries {
		if n.engine == e.gossipHash() {
			return n, true
		}
	}
	return gossipEntry{}, false
}

// encode writes a word or map, and tells how many entries it holds; what is over its size is left out.
func encodeGossip(first byte, entries []gossipEntry) (string, int) {
	text := []byte{first}
	for i, n := range entries {
		held, count := n.tables[:min(len(n.tables), omittedTables-1)], byte(omittedTables)
		if count = byte(len(held)); !n.hasTables {
			held, count = nil, omittedTables
		}
		if len(text)+entrySize+len(held) > maxMessageSize {
			return string(text), i
		}
		text = append(append(text, byte(n.engine>>8), byte(n.engine), n.threads, n.outcomes<<4|count), held...)
	}
	return string(text), len(entries)
}

// decode reads one. What has another form is nothing that a controller said: ok is false.
func decodeGossip(text []byte) (first byte, entries []gossipEntry, ok bool) {
	if len(text) == 0 || len(text) > maxMessageSize {
		return 0, nil, false
	}
	for rest := text[1:]; len(rest) > 0; {
		if len(rest) < entrySize {
			return 0, nil, false
		}
		n := gossipEntry{engineHash(rest[0])<<8 | engineHash(rest[1]), rest[2], rest[3] >> 4, nil, rest[3]&15 != omittedTables}
		if rest = rest[entrySize:]; n.hasTables {
			held := int(text[len(text)-len(rest)-1] & 15)
			if len(rest) < held {
				return 0, nil, false
			}
			n.tables, rest = slices.Clone(rest[:held]), rest[held:]
		}
		entries = append(entries, n)
	}
	return text[0], entries, true
}

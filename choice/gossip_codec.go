package choice

import "slices"

// The encoding of messages between controllers: a first byte, then entries of engines. When they are sent, and what
// follows from them, is decided in gossip.go.

const (
	messageOverhead = 8   // bytes that a message costs beside its text
	entrySize       = 4   // bytes of an entry without its tables
	maxMessageSize  = 253 // bytes of a message

	// mapMarker is the first byte of a map. That of a message is the jobs admitted since the last, at most
	// mapMarker-1.
	mapMarker = 255

	// unknownFailures stands in a map's entry where fewer than minSiblingOutcomes were reported, else the failed
	// part of them times maxFailures.
	unknownFailures = 15
	maxFailures     = 14

	// omittedTables is the count of tables in an entry that does not tell of tables.
	omittedTables = 15
)

// engineHash identifies an engine in gossip. Engines that share one count as one, as loaded as both together.
type engineHash uint16

func (e *engine) gossipHash() engineHash { return engineHash(uint32(e.Engine) * 2654435761 >> 16) }

// hash identifies a group of tables in gossip. Groups that share one are avoided alike.
func (t TableGroup) hash() byte { return byte(uint64(t) * 0x9E3779B97F4A7C15 >> 56) }

// gossipEntry is the report of an engine.
type gossipEntry struct {
	engine    engineHash
	threads   byte // out there
	outcomes  byte // in a message: failures and successes, see packOutcomes; in a map: see unknownFailures
	tables    []byte
	hasTables bool // tables are reported
}

// packOutcomes encodes up to 3 failures and 3 successes.
func packOutcomes(failures, successes int) byte { return byte(min(3, failures)<<2 | min(3, successes)) }

func (n gossipEntry) failures() byte { return n.outcomes >> 2 }

func (n gossipEntry) successes() byte { return n.outcomes & 3 }

// entryFor returns the entry of an engine, if there is one.
func entryFor(e *engine, entries []gossipEntry) (gossipEntry, bool) {
	i := slices.IndexFunc(entries, func(n gossipEntry) bool { return n.engine == e.gossipHash() })
	if i < 0 {
		return gossipEntry{}, false
	}
	return entries[i], true
}

// encodeGossip encodes a message or map, and returns how many entries fit.
func encodeGossip(first byte, entries []gossipEntry) (message string, encoded int) {
	text := []byte{first}
	for i, n := range entries {
		tables := n.tables[:min(len(n.tables), omittedTables-1)]
		count := byte(len(tables))
		if !n.hasTables {
			tables = nil
			count = omittedTables
		}
		if len(text)+entrySize+len(tables) > maxMessageSize {
			return string(text), i
		}
		text = append(text, byte(n.engine>>8), byte(n.engine), n.threads, n.outcomes<<4|count)
		text = append(text, tables...)
	}
	return string(text), len(entries)
}

// decodeGossip decodes a message or map. A malformed one was not sent by a controller: ok is false.
func decodeGossip(text []byte) (first byte, entries []gossipEntry, ok bool) {
	if len(text) == 0 || len(text) > maxMessageSize {
		return 0, nil, false
	}
	for remaining := text[1:]; len(remaining) > 0; {
		if len(remaining) < entrySize {
			return 0, nil, false
		}
		n := gossipEntry{
			engine:   engineHash(remaining[0])<<8 | engineHash(remaining[1]),
			threads:  remaining[2],
			outcomes: remaining[3] >> 4,
		}
		count := int(remaining[3] & 15)
		remaining = remaining[entrySize:]
		if n.hasTables = count != omittedTables; n.hasTables {
			if len(remaining) < count {
				return 0, nil, false
			}
			n.tables = slices.Clone(remaining[:count])
			remaining = remaining[count:]
		}
		entries = append(entries, n)
	}
	return text[0], entries, true
}

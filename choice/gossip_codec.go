package choice

import "slices"

// The encoding of gossip: a header byte, then one entry per engine. A message reports the attempts of one
// controller; a map aggregates the messages of all. gossip.go decides when messages and maps are sent and
// what they change.

const (
	messageOverhead = 8   // bytes by which a message costs more than its length
	entrySize       = 4   // bytes of an entry without its tables
	maxMessageSize  = 253 // bytes of a message or map

	// mapMarker is the header of a map. The header of a message is the number of jobs admitted since the last
	// message, at most mapMarker-1.
	mapMarker = 255

	// An entry of a map holds the failed part of an engine's reported outcomes, times maxFailures, or
	// unknownFailures if fewer than minPeerOutcomes were reported.
	unknownFailures = 15
	maxFailures     = 14

	// omittedTables stands for the number of tables in an entry that does not report tables.
	omittedTables = 15
)

// engineHash identifies an engine in gossip. Engines with the same hash are treated as one, with the load of
// both.
type engineHash uint16

func (e *engine) gossipHash() engineHash { return engineHash(uint32(e.Engine) * 2654435761 >> 16) }

// hash identifies a group of tables in gossip. Groups with the same hash are locked together.
func (t TableGroup) hash() byte { return byte(uint64(t) * 0x9E3779B97F4A7C15 >> 56) }

// gossipEntry is the report about one engine.
type gossipEntry struct {
	engine    engineHash
	threads   byte   // of the sender's attempts there; in a map: of all controllers' attempts
	outcomes  byte   // as packed by packOutcomes; in a map: see unknownFailures
	tables    []byte // hashes of the groups of tables that loads lock
	hasTables bool   // tables are reported
}

// packOutcomes encodes the numbers of failures and successes, each at most 3, in 2 bits each.
func packOutcomes(failures, successes int) byte { return byte(min(3, failures)<<2 | min(3, successes)) }

func (g gossipEntry) failures() byte { return g.outcomes >> 2 }

func (g gossipEntry) successes() byte { return g.outcomes & 3 }

// entryFor returns the entry for an engine, if there is one.
func entryFor(e *engine, entries []gossipEntry) (gossipEntry, bool) {
	i := slices.IndexFunc(entries, func(entry gossipEntry) bool {
		return entry.engine == e.gossipHash()
	})
	if i < 0 {
		return gossipEntry{}, false
	}
	return entries[i], true
}

// encodeGossip encodes a message or map, and returns the number of entries that fit into it.
func encodeGossip(header byte, entries []gossipEntry) (message string, encoded int) {
	encoding := []byte{header}
	for i, entry := range entries {
		tables := entry.tables[:min(len(entry.tables), omittedTables-1)]
		count := byte(len(tables))
		if !entry.hasTables {
			tables = nil
			count = omittedTables
		}
		if len(encoding)+entrySize+len(tables) > maxMessageSize {
			return string(encoding), i
		}
		encoding = append(encoding,
			byte(entry.engine>>8), byte(entry.engine), entry.threads, entry.outcomes<<4|count)
		encoding = append(encoding, tables...)
	}
	return string(encoding), len(entries)
}

// decodeGossip decodes a message or map; ok is false for a malformed one, which no controller sends.
func decodeGossip(encoding []byte) (header byte, entries []gossipEntry, ok bool) {
	if len(encoding) == 0 || len(encoding) > maxMessageSize {
		return 0, nil, false
	}
	for remaining := encoding[1:]; len(remaining) > 0; {
		if len(remaining) < entrySize {
			return 0, nil, false
		}
		entry := gossipEntry{
			engine:   engineHash(remaining[0])<<8 | engineHash(remaining[1]),
			threads:  remaining[2],
			outcomes: remaining[3] >> 4,
		}
		count := int(remaining[3] & 15)
		remaining = remaining[entrySize:]
		if entry.hasTables = count != omittedTables; entry.hasTables {
			if len(remaining) < count {
				return 0, nil, false
			}
			entry.tables = slices.Clone(remaining[:count])
			remaining = remaining[count:]
		}
		entries = append(entries, entry)
	}
	return encoding[0], entries, true
}

package choice

// gossipState is the state of the gossip with peers. Collectors are the controllers that receive the messages
// of all; one of them sends maps, which aggregate these messages, to all controllers.
type gossipState struct {
	messages      []peerMessage // last received from each controller, by PeerID; nil: gossip is off
	messagePoints float64       // points left for messages
	mapPoints     float64       // points left for maps

	lastPayload    string // of the last message sent, without its header
	lastMessageAt  Nanos  // when it was sent
	unreportedJobs int    // jobs admitted since then

	lastOwnMapAt      Nanos // when this controller last sent a map
	lastMapReceivedAt Nanos
	mapRound          int // number of times that maps have covered all engines
	nextEngine        int // index of the first engine in the next map
}

// peerMessage is the last message from a controller: at most maxMessageSize/entrySize entries.
type peerMessage struct {
	entries    []gossipEntry
	receivedAt Nanos
}

// collectorCount returns the number of collectors.
func (c *Controller) collectorCount() int { return min(gossipCollectors, c.settings.controllers) }

// collectorID returns the PeerID of the collector with an index among the collectors.
func (c *Controller) collectorID(index int) int {
	return index * c.settings.controllers / c.collectorCount()
}

// collectorIndex returns this controller's index among the collectors, or -1 if it is none.
func (c *Controller) collectorIndex() int {
	for index := range c.collectorCount() {
		if c.collectorID(index) == c.settings.ownIndex {
			return index
		}
	}
	return -1
}

// ownMessage encodes the threads of this controller's attempts and the outcomes since the last message, by
// engine.
func (c *Controller) ownMessage() string {
	var entries []gossipEntry
	for _, e := range c.engines {
		outcomes := packOutcomes(e.newFailures, e.newSuccesses)
		if e.ownThreads <= 0 && outcomes == 0 {
			continue
		}
		entry := gossipEntry{
			engine: e.gossipHash(), threads: byte(min(e.ownThreads, 255)), outcomes: outcomes, hasTables: true,
		}
		for _, a := range e.attempts {
			if a.job.jobType.locksTables {
				entry.tables = append(entry.tables, a.job.tables.hash())
			}
		}
		entries = append(entries, entry)
	}
	// Entries that do not fit are left out.
	message, _ := encodeGossip(byte(min(c.gossip.unreportedJobs, mapMarker-1)), entries)
	return message
}

// recordGossipSent records that a gossip message was sent, with its payload and its cost in points.
func (c *Controller) recordGossipSent(payload string, cost float64) {
	c.gossip.lastPayload = payload
	c.gossip.lastMessageAt = c.now
	c.gossip.messagePoints -= cost
	c.gossip.unreportedJobs = 0
	for _, e := range c.engines {
		e.gossipedThreads = e.ownThreads
		e.newFailures = 0
		e.newSuccesses = 0
	}
}

// sendToCollectors sends a message to all collectors; this controller may be one of them.
func (c *Controller) sendToCollectors(message string) {
	for index := range c.collectorCount() {
		to := c.collectorID(index)
		if to == c.settings.ownIndex {
			c.receiveGossip(to, []byte(message))
			continue
		}
		c.emit(Action{Kind: SendGossip, Peer: PeerID(to), Payload: message})
	}
}

// fleetMap encodes the sums of all messages since a time. A map holds only some of the engines, so successive
// maps cover the engines in turn.
func (c *Controller) fleetMap(since Nanos) string {
	threads := map[engineHash]int{}
	tables := map[engineHash][]byte{}
	for _, message := range c.gossip.messages {
		if message.receivedAt < since {
			continue
		}
		for _, entry := range message.entries {
			threads[entry.engine] += int(entry.threads)
			tables[entry.engine] = append(tables[entry.engine], entry.tables...)
		}
	}
	c.gossip.nextEngine = min(c.gossip.nextEngine, len(c.engines)-1)
	var entries []gossipEntry
	for _, e := range c.engines[c.gossip.nextEngine:] {
		hash := e.gossipHash()
		entries = append(entries, gossipEntry{
			engine: hash, threads: byte(min(threads[hash], 255)), outcomes: e.encodedFailureRate(),
			tables: tables[hash], hasTables: c.gossip.mapRound%roundsPerTableMap == 0,
		})
	}
	message, encoded := encodeGossip(mapMarker, entries)
	c.gossip.nextEngine += encoded
	if c.gossip.nextEngine >= len(c.engines) {
		c.gossip.nextEngine = 0
		c.gossip.mapRound++
	}
	return message
}

// encodedFailureRate returns the failed part of an engine's reported outcomes, as encoded in a map.
func (e *engine) encodedFailureRate() byte {
	total := e.peerFailures + e.peerSuccesses
	if total < minPeerOutcomes {
		return unknownFailures
	}
	return byte(maxFailures * e.peerFailures / total)
}

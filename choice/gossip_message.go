package choice

// gossipState is the state of the gossip between controllers.
type gossipState struct {
	messages      []peerMessage // of siblings, by number, at those who collect them; nil: no gossip
	messageTokens float64       // points for messages
	mapTokens     float64       // points for maps

	lastPayload    string // of our last message
	lastMessageAt  Nanos  // likewise
	unreportedJobs int    // admitted since then

	lastOwnMapAt      Nanos
	lastMapReceivedAt Nanos
	mapRound          int // of maps over all engines
	nextEngine        int // the index of the next map's first
}

// peerMessage is what a sibling last sent: at most maxMessageSize/entrySize entries.
type peerMessage struct {
	entries    []gossipEntry
	receivedAt Nanos
}

// collectors are the controllers that collect messages; one of them sends maps.
func (c *Controller) collectors() int { return min(gossipCollectors, c.settings.controllers) }

// collector is the number of the controller with a place among them.
func (c *Controller) collector(place int) int { return place * c.settings.controllers / c.collectors() }

// collectorPlace is our place among them, or -1.
func (c *Controller) collectorPlace() int {
	for place := range c.collectors() {
		if c.collector(place) == c.settings.ownIndex {
			return place
		}
	}
	return -1
}

// ownMessage encodes where our attempts are, and the outcomes since the last message.
func (c *Controller) ownMessage() string {
	var entries []gossipEntry
	for _, e := range c.engines {
		outcomes := packOutcomes(e.newFailures, e.newSuccesses)
		if e.ownThreads <= 0 && outcomes == 0 {
			continue
		}
		n := gossipEntry{engine: e.gossipHash(), threads: byte(min(e.ownThreads, 255)), outcomes: outcomes, hasTables: true}
		for _, a := range e.attempts {
			if a.job.jobType.locksTables {
				n.tables = append(n.tables, a.job.tables.hash())
			}
		}
		entries = append(entries, n)
	}
	message, _ := encodeGossip(byte(min(c.gossip.unreportedJobs, mapMarker-1)), entries) // what does not fit is left out
	return message
}

// markReported records that a message with a payload was sent, and its cost in points.
func (c *Controller) markReported(payload string, cost float64) {
	c.gossip.lastPayload = payload
	c.gossip.lastMessageAt = c.now
	c.gossip.messageTokens -= cost
	c.gossip.unreportedJobs = 0
	for _, e := range c.engines {
		e.gossipedThreads = e.ownThreads
		e.newFailures = 0
		e.newSuccesses = 0
	}
}

// sendToCollectors sends a message to all collectors, of which we may be one.
func (c *Controller) sendToCollectors(message string) {
	for place := range c.collectors() {
		to := c.collector(place)
		if to == c.settings.ownIndex {
			c.receiveGossip(to, []byte(message))
			continue
		}
		c.emit(Action{Kind: SendGossip, Peer: PeerID(to), Payload: message})
	}
}

// fleetMap encodes what all messages since a time report, for as many engines as a map holds, in turn.
func (c *Controller) fleetMap(since Nanos) string {
	threads := map[engineHash]int{}
	tables := map[engineHash][]byte{}
	for _, message := range c.gossip.messages {
		if message.receivedAt < since {
			continue
		}
		for _, n := range message.entries {
			threads[n.engine] += int(n.threads)
			tables[n.engine] = append(tables[n.engine], n.tables...)
		}
	}
	c.gossip.nextEngine = min(c.gossip.nextEngine, len(c.engines)-1)
	var entries []gossipEntry
	for _, e := range c.engines[c.gossip.nextEngine:] {
		id := e.gossipHash()
		entries = append(entries, gossipEntry{
			engine: id, threads: byte(min(threads[id], 255)), outcomes: e.mapFailures(),
			tables: tables[id], hasTables: c.gossip.mapRound%tablesEveryRounds == 0,
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

// mapFailures is the failed part of an engine's reported outcomes, as encoded in a map.
func (e *engine) mapFailures() byte {
	all := e.siblingFailures + e.siblingSuccesses
	if all < minSiblingOutcomes {
		return unknownFailures
	}
	return byte(maxFailures * e.siblingFailures / all)
}

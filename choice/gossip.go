package choice

import "math"

const (
	gossipCollectors     = 3    // controllers that collect messages and broadcast maps
	gossipPointsPerJob   = 0.01 // points earned per admitted job: for messages, and at most for maps
	minMapPointsShare    = 0.25 // least part of these points, earned for maps while engines have capacity
	gossipPriceUnitBytes = 256  // bytes per unit of the gossip price
	roundsPerTableMap    = 3    // one in this many rounds of maps includes locked tables, which cost most

	maxMessagePoints, maxSavedMaps      = 0.1, 20.0               // cap on points for messages; on saved maps
	gossipRepeatInterval, gossipTTL     = 4 * second, 10 * second // a message is repeated after; expires after
	mapInterval, collectorTakeoverDelay = 100 * ms, second        // between maps; until the next one takes over
	peerOutcomeDecay, minPeerOutcomes   = 0.95, 4                 // decay factor per map; fewer are not reported
)

// sendGossip sends this controller's load and outcomes to the collectors when they change. One collector
// broadcasts a map of all reports, as often as points earned by admitted jobs allow. Lost content is sent
// again with a later message.
func (c *Controller) sendGossip() {
	message, bytePrice := c.ownMessage(), c.settings.gossipPrice/gossipPriceUnitBytes
	payload := message[1:] // without the job count
	changed := payload != c.gossip.lastPayload || c.now-c.gossip.lastMessageAt >= gossipRepeatInterval
	cost := bytePrice * float64((messageOverhead+len(message))*c.collectorCount())
	if c.gossip.messagePoints >= cost && changed {
		c.recordGossipSent(payload, cost)
		c.sendToCollectors(message)
	}
	mapSize := min(maxMessageSize, entrySize*len(c.engines))
	cost = bytePrice * float64((messageOverhead+mapSize)*(c.settings.controllers-1))
	c.gossip.mapPoints = min(c.gossip.mapPoints, maxSavedMaps*cost)
	if c.gossip.mapPoints >= cost && len(c.engines) > 0 && c.isMapDue() {
		c.gossip.lastOwnMapAt = c.now
		c.gossip.mapPoints -= cost
		mapPayload := c.fleetMap(c.now - gossipTTL)
		c.receiveGossip(c.settings.ownIndex, []byte(mapPayload))
		c.emit(Action{Kind: SendGossip, Peer: math.MaxUint32, Payload: mapPayload})
	}
}

// isMapDue reports whether this controller is a collector and no collector before it sends maps.
func (c *Controller) isMapDue() bool {
	index := c.collectorIndex()
	return index >= 0 && c.now-c.gossip.lastMapReceivedAt >= Nanos(index)*collectorTakeoverDelay &&
		c.now-c.gossip.lastOwnMapAt >= mapInterval
}

// receiveGossip handles a message or a map. A map replaces missing load reports and carries the outcomes of
// peers.
func (c *Controller) receiveGossip(peer int, message []byte) {
	header, entries, ok := decodeGossip(message)
	if !ok || peer >= len(c.gossip.messages) {
		return
	}
	isMap := header == mapMarker
	if isMap && peer != c.settings.ownIndex {
		c.gossip.lastMapReceivedAt = c.now
	} else if !isMap {
		points := gossipPointsPerJob * min(1, max(minMapPointsShare, c.fleet.contention/pressureEndContention))
		c.gossip.messages[peer] = peerMessage{entries, c.now}
		c.gossip.mapPoints += points * float64(header)
	}
	for _, e := range c.engines {
		if entry, found := entryFor(e, entries); found && isMap {
			c.applyMapEntry(e, entry)
		} else if found {
			e.peerFailures += float64(entry.failures())
			e.peerSuccesses += float64(entry.successes())
		}
	}
}

func (c *Controller) applyMapEntry(e *engine, entry gossipEntry) {
	if entry.hasTables {
		e.lockedTables, e.lockedTablesAt = entry.tables, c.now
	}
	e.peerFailures *= peerOutcomeDecay
	e.peerSuccesses *= peerOutcomeDecay
	if entry.outcomes != unknownFailures {
		e.failureRate = float64(entry.outcomes) / maxFailures
	}
	if c.now-e.lastReportAt >= reportTTL {
		c.setPeerThreads(e, float64(entry.threads)-e.gossipedThreads)
	}
}

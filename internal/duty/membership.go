package duty

import (
	"math/bits"
	"slices"
	"time"
)

// tickMembership pings the next peer, asks others to ping a peer that has not answered, updates
// the states of peers, and sends findings to random peers.
func (d *Detector) tickMembership(out *Actions) {
	if len(d.peers) == 0 {
		return
	}
	d.pendingPings = slices.DeleteFunc(d.pendingPings, func(ping pendingPing) bool {
		return d.now-ping.sentAt > 2*d.cfg.PingInterval
	})
	for i := range d.pendingPings {
		ping := &d.pendingPings[i]
		if ping.requester != 0 || ping.askedOthers || d.now-ping.sentAt < d.cfg.AckTimeout {
			continue
		}
		ping.askedOthers = true
		for _, helper := range d.randomPeers(d.cfg.IndirectPings, ping.target) {
			d.send(out, helper, Note{Kind: PingRequest, Seq: ping.seq, Target: ping.target.id})
		}
	}
	for _, p := range d.peers {
		if p.state == Suspect && d.now-p.changedAt >= d.cfg.SuspectTimeout {
			d.setPeerState(p, p.incarnation, Dead)
		}
	}
	if d.now < d.nextPeriod {
		return
	}
	// Suspect the peers of the last period that gave no sign of life, directly or indirectly.
	for _, ping := range d.pendingPings {
		if ping.requester == 0 && ping.target.state == Alive && ping.target.lastSign < ping.sentAt {
			d.counts.Suspected++
			d.setPeerState(ping.target, ping.target.incarnation, Suspect)
		}
	}
	d.pendingPings = slices.DeleteFunc(d.pendingPings, func(ping pendingPing) bool { return ping.requester == 0 })
	d.nextPeriod = d.now + d.cfg.PingInterval
	if p := d.nextPingTarget(); p != nil {
		d.seq++
		d.pendingPings = append(d.pendingPings, pendingPing{seq: d.seq, target: p, sentAt: d.now})
		d.send(out, p, Note{Kind: Ping, Seq: d.seq})
	}
	for _, p := range d.randomPeers(d.cfg.Fanout, nil) {
		d.send(out, p, Note{Kind: Gossip})
	}
}

// nextPingTarget returns the next peer to ping: each once per round, in random order. Dead peers
// are included at a longer interval, so that one that was only unreachable is found again.
func (d *Detector) nextPingTarget() *peer {
	for range d.pingOrder {
		if d.nextPing == 0 {
			d.rng.Shuffle(len(d.pingOrder), func(i, j int) { d.pingOrder[i], d.pingOrder[j] = d.pingOrder[j], d.pingOrder[i] })
		}
		p := d.pingOrder[d.nextPing]
		d.nextPing = (d.nextPing + 1) % len(d.pingOrder)
		if p.state != Dead || d.now-p.changedAt >= d.cfg.DeadPingInterval {
			if p.state == Dead {
				p.changedAt = d.now
			}
			return p
		}
	}
	return nil
}

// randomPeers returns up to n distinct random peers that are not dead, without except.
func (d *Detector) randomPeers(n int, except *peer) (chosen []*peer) {
	if len(d.peers) == 0 {
		return nil
	}
	for attempt := range 4*n + 4 {
		p := d.peers[d.rng.IntN(len(d.peers))]
		if p != except && p.state != Dead && !slices.Contains(chosen, p) {
			chosen = append(chosen, p)
		}
		if len(chosen) == n || attempt > 8*len(d.peers) {
			break
		}
	}
	return chosen
}

// send adds updates, payload and findings to a note and appends it to out, if the budget allows.
func (d *Detector) send(out *Actions, to *peer, note Note) {
	if !d.noteBudget.take(d.now, d.cfg.MaxNoteRate, 2*d.cfg.MaxNoteRate) {
		d.counts.Dropped++
		return
	}
	note.From, note.Incarnation, note.SentMillis = d.self, d.incarnation, millis(d.now)
	// The receiver's own state comes first: only the receiver can refute it.
	if to.state == Suspect || to.state == Dead {
		note.Updates = append(note.Updates, Update{to.id, to.incarnation, to.state})
	}
	var updated []*peer
	for _, p := range d.peers {
		if p.sendsLeft > 0 && p != to {
			updated = append(updated, p)
		}
	}
	slices.SortStableFunc(updated, func(a, b *peer) int { return b.sendsLeft - a.sendsLeft })
	for _, p := range updated[:min(len(updated), maxUpdates-len(note.Updates))] {
		p.sendsLeft--
		note.Updates = append(note.Updates, Update{p.id, p.incarnation, p.state})
	}
	if d.payload != nil {
		note.Payload = d.payload(d.now, min(MaxPayloadBytes, freeBytes(len(note.Updates), d.cfg.Authenticated)-1))
	}
	note.Findings = d.nextFindings(note.maxFindings(d.cfg.Authenticated))
	d.counts.Notes++
	out.Notes = append(out.Notes, OutgoingNote{to.Name, note})
}

// nextFindings returns the next findings to send, up to capacity: first this sidecar's own that
// were sent least often, then all others in turn. Findings too old to defer the probe of another
// sidecar are left out.
func (d *Detector) nextFindings(capacity int) (findings []Finding) {
	isRecent := func(srv *server) bool { return srv.foundAt >= 0 && d.now-srv.foundAt < 4*d.cfg.ProbeInterval }
	var ownFindings []*server
	for _, srv := range d.servers {
		if srv.isOwn && isRecent(srv) && srv.sends < d.sendLimit() {
			ownFindings = append(ownFindings, srv)
		}
	}
	slices.SortStableFunc(ownFindings, func(a, b *server) int { return a.sends - b.sends })
	included := make(map[*server]bool, capacity)
	for _, srv := range ownFindings[:min(len(ownFindings), capacity)] {
		srv.sends++
		included[srv] = true
		findings = append(findings, Finding{srv.id, srv.state, d.now - srv.foundAt})
	}
	for range d.servers {
		if len(findings) >= capacity {
			break
		}
		d.lastFinding = (d.lastFinding + 1) % len(d.servers)
		if srv := d.servers[d.lastFinding]; isRecent(srv) && !included[srv] {
			findings = append(findings, Finding{srv.id, srv.state, d.now - srv.foundAt})
		}
	}
	return findings
}

// sendLimit returns how often an update or finding is sent so that it reaches all sidecars:
// repeatFactor times the logarithm of their number.
func (d *Detector) sendLimit() int { return repeatFactor * (bits.Len(uint(len(d.peers)+1)) + 1) }

// setPeerState sets the state of a peer and schedules it for sending.
func (d *Detector) setPeerState(p *peer, incarnation uint64, state PeerState) {
	if p.state != state {
		p.changedAt = d.now
		if p.state == Dead || state == Dead {
			d.ranksOutdated = true
		}
	}
	p.state, p.incarnation, p.sendsLeft = state, incarnation, d.sendLimit()
}

// applyUpdate applies an update received from a peer. A later incarnation overrides an earlier one;
// within an incarnation the worse state overrides. An update that declares this sidecar
// suspected or dead is refuted by a new incarnation.
func (d *Detector) applyUpdate(update Update) {
	if update.ID == d.self {
		if update.State != Alive && update.Incarnation >= d.incarnation {
			d.incarnation = update.Incarnation + 1
			d.counts.Refuted++
		}
		return
	}
	p := d.peersByID[update.ID]
	if p == nil {
		return
	}
	if update.Incarnation > p.incarnation || update.Incarnation == p.incarnation && update.State > p.state {
		d.setPeerState(p, update.Incarnation, update.State)
	}
}

// millis returns t in milliseconds, modulo 2^32.
func millis(t time.Duration) uint32 { return uint32(t / time.Millisecond) }

// excessTransitTime returns how much longer a note was in transit than the fastest one from p.
// Notes that the network delays or repeats would otherwise present old findings as current.
func (d *Detector) excessTransitTime(p *peer, n *Note) time.Duration {
	offset := millis(d.now) - n.SentMillis
	if excess := int32(offset - p.clockOffsetMillis); p.hasClockOffset && n.Incarnation <= p.incarnation && excess >= 0 {
		return time.Duration(excess) * time.Millisecond
	}
	p.clockOffsetMillis, p.hasClockOffset = offset, true
	return 0
}

// Receive processes a note. What it says about unknown peers, and about servers that are not
// on this sidecar's list, is ignored.
func (d *Detector) Receive(now time.Duration, n *Note) (out Actions) {
	d.now = now
	p := d.peersByID[n.From]
	if p == nil {
		d.counts.UnknownSender++
		return out
	}
	d.counts.Received++
	excess := d.excessTransitTime(p, n)
	// A note is a sign of life, unless it is from an earlier incarnation than the known one.
	if n.Incarnation >= p.incarnation {
		p.lastSign = max(p.lastSign, now-excess)
		if n.Incarnation > p.incarnation {
			d.setPeerState(p, n.Incarnation, Alive)
		}
	}
	for _, update := range n.Updates {
		d.applyUpdate(update)
	}
	for _, finding := range n.Findings {
		finding.Age += excess
		d.mergeFinding(finding)
	}
	switch n.Kind {
	case Ping:
		d.send(&out, p, Note{Kind: Ack, Seq: n.Seq})
	case PingRequest:
		if target := d.peersByID[n.Target]; target != nil && target != p && len(d.pendingPings) < 4*d.cfg.IndirectPings+8 {
			d.seq++
			d.pendingPings = append(d.pendingPings, pendingPing{seq: d.seq, target: target, sentAt: now, requester: p.id, requesterSeq: n.Seq})
			d.send(&out, target, Note{Kind: Ping, Seq: d.seq})
		}
	case Ack:
		for i, ping := range d.pendingPings {
			targetID := p.id
			if n.Target != 0 {
				targetID = n.Target
			}
			if ping.seq != n.Seq || ping.target.id != targetID {
				continue
			}
			ping.target.lastSign = now
			d.pendingPings = slices.Delete(d.pendingPings, i, i+1)
			if ping.requester != 0 {
				if requester := d.peersByID[ping.requester]; requester != nil {
					d.send(&out, requester, Note{Kind: Ack, Seq: ping.requesterSeq, Target: ping.target.id})
				}
			} else if ping.target.state == Suspect && n.Target == 0 && n.Incarnation > ping.target.incarnation {
				d.setPeerState(ping.target, n.Incarnation, Alive)
			}
			break
		}
	}
	return out
}

// mergeFinding stores a finding from a peer if it is newer than the one known here. Its age
// counts as at least one ageUnit, to allow for the transit time of the note.
func (d *Detector) mergeFinding(finding Finding) {
	srv := d.serversByID[finding.Server]
	if srv == nil {
		return
	}
	foundAt := d.now - max(finding.Age, ageUnit)
	if srv.foundAt < 0 && foundAt < 0 {
		foundAt = 0
	}
	if foundAt > srv.foundAt {
		srv.state, srv.foundAt, srv.isOwn = finding.State, foundAt, false
	}
}

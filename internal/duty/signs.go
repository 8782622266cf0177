package duty

import (
	"math/bits"
	"slices"
	"time"
)

// signs asks the next peer for a sign, has others ask one that gave none, and tells some
// what was found.
func (d *Duty) signs(out *Out) {
	if len(d.peers) == 0 {
		return
	}
	d.open = slices.DeleteFunc(d.open, func(a asked) bool {
		return d.now-a.at > 2*d.cfg.Period
	})
	for n := range d.open {
		a := &d.open[n]
		if a.forID != 0 || a.helped || d.now-a.at < d.cfg.AckWait {
			continue
		}
		a.helped = true
		for _, h := range d.some(d.cfg.Helpers, a.whom) {
			d.send(out, h, Note{Kind: Ask, Seq: a.seq, Whom: a.whom.id})
		}
	}
	for _, p := range d.peers {
		if p.life == Suspect && d.now-p.at >= d.cfg.Suspect {
			d.become(p, p.inc, Dead)
		}
	}
	if d.now < d.due {
		return
	}
	// Those of the last period that gave no sign, directly or through others.
	for _, a := range d.open {
		if a.forID == 0 && a.whom.life == Alive && a.whom.sign < a.at {
			d.counts.Suspected++
			d.become(a.whom, a.whom.inc, Suspect)
		}
	}
	d.open = slices.DeleteFunc(d.open, func(a asked) bool { return a.forID == 0 })
	d.due = d.now + d.cfg.Period
	if p := d.turnOf(); p != nil {
		d.seq++
		d.open = append(d.open, asked{seq: d.seq, whom: p, at: d.now})
		d.send(out, p, Note{Kind: Ping, Seq: d.seq})
	}
	for _, p := range d.some(d.cfg.Spread, nil) {
		d.send(out, p, Note{Kind: Tell})
	}
}

// turnOf is the next peer to be asked: each once in a round, in an order of its own. The
// dead have a turn too, seldom: one that was cut off is found again when it can be.
func (d *Duty) turnOf() *peer {
	for range d.order {
		if d.next == 0 {
			d.rng.Shuffle(len(d.order), func(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] })
		}
		p := d.order[d.next]
		d.next = (d.next + 1) % len(d.order)
		if p.life != Dead || d.now-p.at >= d.cfg.Remember {
			if p.life == Dead {
				p.at = d.now
			}
			return p
		}
	}
	return nil
}

// some are so many living peers, drawn.
func (d *Duty) some(n int, but *peer) (all []*peer) {
	if len(d.peers) == 0 {
		return nil
	}
	for at := range 4*n + 4 {
		p := d.peers[d.rng.IntN(len(d.peers))]
		if p != but && p.life != Dead && !slices.Contains(all, p) {
			all = append(all, p)
		}
		if len(all) == n || at > 8*len(d.peers) {
			break
		}
	}
	return all
}

// send adds news and findings to a note, if the budget has room for it.
func (d *Duty) send(out *Out, to *peer, n Note) {
	if !d.notes.take(d.now, d.cfg.Notes, 2*d.cfg.Notes) {
		d.counts.Unsent++
		return
	}
	n.From, n.Inc, n.Sent = d.self, d.inc, millis(d.now)
	// What is said of the one it goes to, first: it alone can refute it.
	if to.life == Suspect || to.life == Dead {
		n.News = append(n.News, News{to.id, to.inc, to.life})
	}
	var fresh []*peer
	for _, p := range d.peers {
		if p.told > 0 && p != to {
			fresh = append(fresh, p)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *peer) int { return b.told - a.told })
	for _, p := range fresh[:min(len(fresh), newsMost-len(n.News))] {
		p.told--
		n.News = append(n.News, News{p.id, p.inc, p.life})
	}
	if d.part != nil {
		n.Part = d.part(d.now, min(PartMost, room(len(n.News), d.cfg.Keyed)-1))
	}
	n.Found = d.findings(n.room(d.cfg.Keyed))
	d.counts.Notes++
	out.Notes = append(out.Notes, Outgoing{to.Name, n})
}

// findings are what is told next: what this sidecar saw itself and told least often, then
// the rest in turn. What is too old to keep anybody from looking is not told.
func (d *Duty) findings(room int) (all []Found) {
	useful := func(n *node) bool { return n.seen >= 0 && d.now-n.seen < 4*d.cfg.Every }
	var own []*node
	for _, n := range d.nodes {
		if n.own && useful(n) && n.told < d.often() {
			own = append(own, n)
		}
	}
	slices.SortStableFunc(own, func(a, b *node) int { return a.told - b.told })
	taken := make(map[*node]bool, room)
	for _, n := range own[:min(len(own), room)] {
		n.told++
		taken[n] = true
		all = append(all, Found{n.id, n.state, d.now - n.seen})
	}
	for range d.nodes {
		if len(all) >= room {
			break
		}
		d.turn = (d.turn + 1) % len(d.nodes)
		if n := d.nodes[d.turn]; useful(n) && !taken[n] {
			all = append(all, Found{n.id, n.state, d.now - n.seen})
		}
	}
	return all
}

// often is how often a thing is told, so that it reaches all: some times the logarithm.
func (d *Duty) often() int { return newsFor * (bits.Len(uint(len(d.peers)+1)) + 1) }

// become notes what a peer is, and that it is to be told.
func (d *Duty) become(p *peer, inc uint64, l Life) {
	if p.life != l {
		p.at = d.now
		if p.life == Dead || l == Dead {
			d.dirty = true
		}
	}
	p.life, p.inc, p.told = l, inc, d.often()
}

// hear takes what somebody says of a peer. A later incarnation is always news; of one
// incarnation what is worse is.
func (d *Duty) hear(w News) {
	if w.Who == d.self {
		if w.Life != Alive && w.Inc >= d.inc {
			d.inc = w.Inc + 1
			d.counts.Refuted++
		}
		return
	}
	p := d.byID[w.Who]
	if p == nil {
		return
	}
	if w.Inc > p.inc || w.Inc == p.inc && w.Life > p.life {
		d.become(p, w.Inc, w.Life)
	}
}

func millis(t time.Duration) uint32 { return uint32(t / time.Millisecond) }

// late is by how much longer than the quickest a note was on its way. Guards against notes
// that are held up or sent again by the network: what they tell as just seen is not.
func (d *Duty) late(p *peer, n *Note) time.Duration {
	ahead := millis(d.now) - n.Sent
	if by := int32(ahead - p.ahead); p.heard && n.Inc <= p.inc && by >= 0 {
		return time.Duration(by) * time.Millisecond
	}
	p.ahead, p.heard = ahead, true
	return 0
}

// Receive takes a note. What it says of peers that this sidecar was not told of, and of
// nodes that its own list does not name, is left.
func (d *Duty) Receive(now time.Duration, n *Note) (out Out) {
	d.now = now
	p := d.byID[n.From]
	if p == nil {
		d.counts.Strange++
		return out
	}
	d.counts.Heard++
	late := d.late(p, n)
	// A sign of life, unless it is of a start before the one that is known.
	if n.Inc >= p.inc {
		p.sign = max(p.sign, now-late)
		if n.Inc > p.inc {
			d.become(p, n.Inc, Alive)
		}
	}
	for _, w := range n.News {
		d.hear(w)
	}
	for _, f := range n.Found {
		f.Age += late
		d.take(f)
	}
	switch n.Kind {
	case Ping:
		d.send(&out, p, Note{Kind: Ack, Seq: n.Seq})
	case Ask:
		if q := d.byID[n.Whom]; q != nil && q != p && len(d.open) < 4*d.cfg.Helpers+8 {
			d.seq++
			d.open = append(d.open, asked{seq: d.seq, whom: q, at: now, forID: p.id, forSeq: n.Seq})
			d.send(&out, q, Note{Kind: Ping, Seq: d.seq})
		}
	case Ack:
		for i, a := range d.open {
			whom := p.id
			if n.Whom != 0 {
				whom = n.Whom
			}
			if a.seq != n.Seq || a.whom.id != whom {
				continue
			}
			a.whom.sign = now
			d.open = slices.Delete(d.open, i, i+1)
			if a.forID != 0 {
				if q := d.byID[a.forID]; q != nil {
					d.send(&out, q, Note{Kind: Ack, Seq: a.forSeq, Whom: a.whom.id})
				}
			} else if a.whom.life == Suspect && n.Whom == 0 && n.Inc > a.whom.inc {
				d.become(a.whom, n.Inc, Alive)
			}
			break
		}
	}
	return out
}

// take takes what somebody found, if it is newer than what is known here. What is told as
// seen just now may have been on its way: it counts as a unit old at the least.
func (d *Duty) take(f Found) {
	n := d.byNod[f.Node]
	if n == nil {
		return
	}
	seen := d.now - max(f.Age, ageUnit)
	if n.seen < 0 && seen < 0 {
		seen = 0
	}
	if seen > n.seen {
		n.state, n.seen, n.own = f.State, seen, false
	}
}

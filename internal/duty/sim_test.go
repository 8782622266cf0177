package duty

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chalkrack/internal/lab/virtual"
)

// sim simulates sidecars and servers in virtual time, with a network that loses, delays,
// duplicates and partitions notes. The tests judge the probes that it records at the servers.
type sim struct {
	virtual.Clock
	rng     *rand.Rand
	cfg     Config
	peers   []*sidecar
	byName  map[string]*sidecar
	servers []Server
	loss    float64
	cut     func(from, to *sidecar) bool // whether a link is cut; nil: no link is

	extraDelay time.Duration              // extra delay of all notes
	replayOld  bool                       // earlier notes are delivered again
	oldNotes   [][2]any                   // earlier notes with their receivers
	probes     map[string][]time.Duration // times of probes by server
	probeCount int
	noteCount  int
	byteCount  int
	falsify    func(*Note)
	starts     uint64
	states     map[string]State // of servers; Answering unless set
}

type sidecar struct {
	name, zone  string
	duty        *Detector
	isDead      bool
	generation  int
	tickDelay   time.Duration // delay of its ticks
	isLiar      bool
	clockOffset time.Duration // offset of its clock
}

var zones = []string{"jakarta", "bandung", "semarang"}

func newSim(seed uint64, sidecars, servers int, change func(*Config)) *sim {
	w := &sim{rng: rand.New(rand.NewPCG(seed, 3)), cfg: Default(), byName: make(map[string]*sidecar), probes: make(map[string][]time.Duration)}
	if change != nil {
		change(&w.cfg)
	}
	for n := range servers {
		w.servers = append(w.servers, Server{fmt.Sprint("n", n), zones[n%3]})
	}
	for n := range sidecars {
		c := &sidecar{name: fmt.Sprint("car", n), zone: zones[w.rng.IntN(3)], clockOffset: time.Duration(w.rng.Int64N(int64(time.Hour)))}
		w.peers = append(w.peers, c)
		w.byName[c.name] = c
	}
	for _, c := range w.peers {
		w.start(c)
	}
	return w
}

// start starts a sidecar, or restarts it under the same name.
func (w *sim) start(c *sidecar) {
	w.starts++
	cfg := w.cfg
	cfg.Self, cfg.Zone, cfg.Seed, cfg.Incarnation = c.name, c.zone, w.starts, w.starts<<20
	for _, p := range w.peers {
		if p != c {
			cfg.Peers = append(cfg.Peers, Peer{Name: p.name, Zone: p.zone})
		}
	}
	var err error
	if c.duty, err = New(cfg); err != nil {
		panic(err)
	}
	c.isDead = false
	c.generation++
	gen := c.generation
	c.duty.SetServers(w.Now+c.clockOffset, w.servers)
	var tick func()
	tick = func() {
		if c.isDead || c.generation != gen {
			return
		}
		w.execute(c, c.duty.Tick(w.Now+c.clockOffset))
		w.After(100*time.Millisecond+c.tickDelay, tick)
	}
	w.After(time.Duration(w.rng.Int64N(int64(100*time.Millisecond))), tick)
}

func (w *sim) execute(c *sidecar, out Actions) {
	for _, name := range out.Probes {
		w.probes[name] = append(w.probes[name], w.Now)
		w.probeCount++
		gen := c.generation
		w.After(3*time.Millisecond, func() {
			if !c.isDead && c.generation == gen {
				c.duty.RecordProbe(w.Now+c.clockOffset, name, w.states[name])
			}
		})
	}
	for _, o := range out.Notes {
		to := w.byName[o.To]
		n := o.Note
		if c.isLiar && w.falsify != nil {
			w.falsify(&n)
		}
		b := n.Append(nil, nil)
		w.noteCount++
		w.byteCount += len(b)
		if len(b) > MaxNoteBytes {
			panic("encoded note exceeds NoteMost")
		}
		for range 1 + w.rng.IntN(20)/19 { // one in 20 is duplicated
			if w.rng.Float64() < w.loss || w.cut != nil && w.cut(c, to) {
				continue
			}
			delay := w.extraDelay + 1400*time.Microsecond + time.Duration(w.rng.Int64N(int64(32*time.Millisecond))) // up to 32 ms of jitter, so that notes are reordered
			if len(w.oldNotes) < 2000 {
				w.oldNotes = append(w.oldNotes, [2]any{to, b})
			} else if w.replayOld {
				o := w.oldNotes[w.rng.IntN(len(w.oldNotes))]
				w.After(delay, func() { w.deliver(o[0].(*sidecar), o[1].([]byte)) })
			}
			w.After(delay, func() { w.deliver(to, b) })
		}
	}
}

func (w *sim) deliver(to *sidecar, b []byte) {
	if to.isDead {
		return
	}
	n, err := Parse(b, nil)
	if err != nil {
		panic(err)
	}
	w.execute(to, to.duty.Receive(w.Now+to.clockOffset, n))
}

// probeStats returns, for a time range: the mean probes per server and second, the maximum probes
// of one server in a second, and the longest gap between probes of one server.
func (w *sim) probeStats(from, to time.Duration) (mean float64, maxPerSecond int, gap time.Duration) {
	for _, n := range w.servers {
		last := from
		count := 0
		inSecond := make(map[int]int)
		for _, at := range w.probes[n.Name] {
			if at < from || at >= to {
				continue
			}
			count++
			gap = max(gap, at-last)
			last = at
			s := int(at / time.Second)
			inSecond[s]++
			maxPerSecond = max(maxPerSecond, inSecond[s])
		}
		gap = max(gap, to-last)
		mean += float64(count) / float64(len(w.servers)) / (to - from).Seconds()
	}
	return mean, maxPerSecond, gap
}

package keep

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func limits() Limits {
	return Limits{Memory: 1000, MemoryMost: 300, MoveLeast: 50, Disk: 3000, FileMost: 800, Files: 6, Streams: 3,
		Shares: []float64{0.2, 0.3, 0.1}, Lend: 0.5, High: 0.8, Low: 0.5}
}

// life is a body as the model knows it: what it holds by what the Keeper said.
type life struct {
	b               *Body
	class, tenant   int
	mem, disk       int64
	stream, dropped bool
	whole, moving   bool
	readers         int
	left            int64
	everFile        bool
	last            Place
	broken          bool
}

// model follows random lives of bodies beside a Keeper, and knows by itself what each
// holds. It is a rapid.StateMachine.
type model struct {
	k     *Keeper
	lim   Limits
	lives []*life
	files bool // may be made now
}

func (m *model) pick(t *rapid.T, ok func(*life) bool) *life {
	var some []*life
	for _, l := range m.lives {
		if ok(l) {
			some = append(some, l)
		}
	}
	if len(some) == 0 {
		t.Skip("none")
	}
	return some[rapid.IntRange(0, len(some)-1).Draw(t, "which")]
}

func (m *model) Begin(t *rapid.T) {
	l := &life{class: rapid.IntRange(0, 2).Draw(t, "class"), tenant: rapid.IntRange(-1, 3).Draw(t, "tenant")}
	announced := rapid.OneOf(rapid.Just(int64(-1)), rapid.Int64Range(1, 1000)).Draw(t, "announced")
	l.b = m.k.Begin(l.class, l.tenant, announced, rapid.IntRange(0, 4).Draw(t, "once") == 0, m.files)
	l.last = l.b.Place()
	m.lives = append(m.lives, l)
}

func (m *model) placed(t *rapid.T, l *life, p Place, n int64, hadDisk int64) {
	if p < l.last {
		t.Fatalf("from %v back to %v", l.last, p)
	}
	switch p {
	case Memory:
		l.mem += n
	case File:
		if l.b.Holds() {
			l.mem += n
		} else {
			l.disk += n
			if l.last == Memory || !l.everFile { // room for what lies in memory comes with it
				l.disk += l.mem
			}
			l.everFile = true
		}
	case Nowhere:
		l.stream = true
	}
	l.last = p
}

func (m *model) Put(t *rapid.T) {
	l := m.pick(t, func(l *life) bool { return !l.dropped && !l.whole && l.last != Refused })
	n := rapid.Int64Range(1, 120).Draw(t, "n")
	firm, own := m.k.mem.free(l.class) >= n, l.last == Memory && l.b.size+n <= m.lim.MemoryMost && !(l.b.once && l.b.size+n > m.lim.MoveLeast)
	p := m.k.Put(l.b, n, m.files)
	if firm && own && m.lim.Tenants == 0 && p != Memory {
		t.Fatalf("class %d has %d of its firm part free and %d went to %v", l.class, m.k.mem.free(l.class), n, p)
	}
	m.placed(t, l, p, n, 0)
}

func (m *model) Trim(t *rapid.T) {
	l := m.pick(t, func(l *life) bool {
		return !l.dropped && !l.whole && l.last == Memory && l.mem > 0 && l.b.size == l.mem
	})
	n := rapid.Int64Range(0, l.mem).Draw(t, "n")
	m.k.Trim(l.b, n)
	l.mem -= n
}

// Written brings what lies in memory to a body's file, as a listener does at once.
func (m *model) Written(t *rapid.T) {
	l := m.pick(t, func(l *life) bool { return !l.dropped && !l.whole && l.last == File && l.mem > 0 && !l.broken })
	m.k.Written(l.b, l.mem)
	l.mem = 0
}

func (m *model) FileBreaks(t *rapid.T) {
	l := m.pick(t, func(l *life) bool {
		return !l.dropped && !l.whole && l.last == File && l.disk > 0 && l.mem == 0 && !l.broken
	})
	n := rapid.Int64Range(1, min(l.disk, l.b.size)).Draw(t, "n")
	l.disk, l.broken = l.disk-n, true
	p := m.k.Unwritten(l.b, n, false)
	m.placed(t, l, p, n, 0)
}

func (m *model) Whole(t *rapid.T) {
	l := m.pick(t, func(l *life) bool { return !l.dropped && !l.whole && l.last != Refused })
	m.k.Whole(l.b)
	l.whole = true
}

func (m *model) Read(t *rapid.T) {
	l := m.pick(t, func(l *life) bool { return l.whole && !l.dropped })
	m.k.Read(l.b, l.readers > 0)
	l.readers++
}

func (m *model) Unread(t *rapid.T) {
	l := m.pick(t, func(l *life) bool { return l.readers > 0 })
	m.k.Unread(l.b)
	l.readers--
	m.settle(l)
}

func (m *model) settle(l *life) {
	if l.readers > 0 {
		return
	}
	l.mem -= l.left
	l.left = 0
	if l.dropped && !l.moving {
		l.mem, l.disk, l.stream, l.everFile = 0, 0, false, false
	}
}

func (m *model) Drop(t *rapid.T) {
	l := m.pick(t, func(l *life) bool { return !l.dropped })
	m.k.Drop(l.b)
	l.dropped = true
	m.settle(l)
}

func (m *model) Move(t *rapid.T) {
	b := m.k.Move(m.files)
	if b == nil {
		t.Skip("none")
	}
	l := m.lives[slices.IndexFunc(m.lives, func(l *life) bool { return l.b == b })]
	if l.readers > 0 || !l.whole || l.dropped || l.moving || l.last != Memory {
		t.Fatalf("moves %+v", l)
	}
	l.moving, l.everFile = true, true
	l.disk += l.mem
}

func (m *model) Moved(t *rapid.T) {
	l := m.pick(t, func(l *life) bool { return l.moving })
	ok := rapid.Bool().Draw(t, "ok")
	m.k.Moved(l.b, ok)
	l.moving = false
	if ok {
		l.last, l.left = File, l.mem
	} else {
		l.disk, l.everFile = 0, false
	}
	m.settle(l)
}

func (m *model) Files(t *rapid.T) { m.files = !m.files }

// Check compares all that is booked with what the model says is held.
func (m *model) Check(t *rapid.T) {
	var mem, disk, files, streams int64
	byClass := make([]int64, 3)
	for _, l := range m.lives {
		mem, disk = mem+l.mem, disk+l.disk
		byClass[l.class] += l.mem
		if l.everFile {
			files++
		}
		if l.stream {
			streams++
		}
	}
	u := m.k.Usage()
	if u.Memory.Now != mem || u.Disk.Now != disk || u.Files.Now != files || u.Streams.Now != streams {
		t.Fatalf("booked %+v, held: memory %d, disk %d, files %d, streams %d", u, mem, disk, files, streams)
	}
	for _, a := range []*account{&m.k.mem, &m.k.disk, &m.k.files, &m.k.streams} {
		var owed, total int64
		for c := range a.used {
			if a.used[c] < 0 {
				t.Fatalf("class %d has %d", c, a.used[c])
			}
			owed += a.free(c)
			total += a.used[c]
		}
		if total != a.total || owed != a.owed || total+owed > a.limit {
			t.Fatalf("total %d (%d), firm and free %d (%d), limit %d", total, a.total, owed, a.owed, a.limit)
		}
	}
	for c, n := range byClass {
		if m.k.mem.used[c] != n {
			t.Fatalf("class %d has %d, booked %d", c, n, m.k.mem.used[c])
		}
	}
}

// Over random lives of bodies no byte, file or stream is counted twice or lost, the
// firm part of each class's share is free for it at every step, and a body goes one way.
func TestKeeperBooksWhatIsHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lim := limits()
		lim.Tenants = rapid.SampledFrom([]int{0, 3}).Draw(t, "tenants")
		k, err := New(lim)
		if err != nil {
			t.Fatal(err)
		}
		m := &model{k: k, lim: lim, files: true}
		t.Repeat(rapid.StateMachineActions(m))
		for _, l := range m.lives { // at the end of all lives nothing is held
			for ; l.readers > 0; l.readers-- {
				k.Unread(l.b)
			}
			k.Drop(l.b)
			if l.moving {
				k.Moved(l.b, true)
			}
		}
		if u := k.Usage(); u.Memory.Now+u.Disk.Now+u.Files.Now+u.Streams.Now != 0 {
			t.Fatalf("left over: %+v", u)
		}
	})
}

// A flood of one class, or of one tenant, takes no other's share; what a class lends
// comes back by moves.
func TestFloodLeavesOthersTheirShare(t *testing.T) {
	lim := limits()
	lim.Tenants = 2
	k, err := New(lim)
	if err != nil {
		t.Fatal(err)
	}
	var flood []*Body
	for range 100 {
		b := k.Begin(1, 0, 100, false, false)
		if k.Put(b, 100, false) == Memory {
			k.Whole(b)
			flood = append(flood, b)
		}
	}
	if len(flood) != 5 { // one tenant: no more than is left free
		t.Fatalf("%d bodies of the flood are in memory", len(flood))
	}
	for n := range 10 { // the firm half of class 0's share, of another tenant
		if p := k.Put(k.Begin(0, 1, 10, false, false), 10, false); p != Memory {
			t.Fatalf("body %d of the quiet class: %v", n, p)
		}
	}
	if b := k.Move(false); b != nil {
		t.Fatal("moves to a disk that is not usable")
	}
	// Memory is not tight: this tenant alone got no more than was left to others.
	for range 20 {
		b := k.Begin(1, 1, 100, false, false)
		if k.Put(b, 100, false) != Memory {
			break
		}
		k.Whole(b)
		flood = append(flood, b)
	}
	if u := k.Usage().Memory; !k.Tight() || u.Now > 800 {
		t.Fatalf("not tight, or borrowed above the high mark: %+v", u)
	}
	k.Read(flood[0], false)
	moved := 0
	for b := k.Move(true); b != nil; b = k.Move(true) {
		if b == flood[0] {
			t.Fatal("moves what is being read")
		}
		k.Moved(b, true)
		moved++
	}
	if u := k.Usage().Memory; moved == 0 || u.Now > int64(float64(u.Limit)*lim.Low) {
		t.Fatalf("%d moved, memory %+v", moved, u)
	}
}

// Whatever the marks and tenants, a class that has nothing finds the firm part of its
// share, of each amount, behind a flood of all the others.
func TestFirmPartBehindAFlood(t *testing.T) {
	for _, high := range []float64{0.8, 1} {
		for class, share := range limits().Shares {
			lim := limits()
			lim.High = high
			k, err := New(lim)
			if err != nil {
				t.Fatal(err)
			}
			for n := range 400 {
				b := k.Begin((class+1+n%2)%3, -1, []int64{40, 700, 5000}[n%3], false, true)
				k.Put(b, 40, true)
			}
			for name, a := range map[string]*account{"memory": &k.mem, "disk": &k.disk, "files": &k.files, "streams": &k.streams} {
				firm := int64(float64(int64(float64(a.limit)*share)) * (1 - lim.Lend))
				if firm > 0 && !a.take(class, -1, firm) {
					t.Errorf("high %v, class %d: its firm %d of %s is not there: %+v", high, class, firm, name, *a)
				}
			}
		}
	}
}

func TestLimitsAreChecked(t *testing.T) {
	for name, spoil := range map[string]func(*Limits){
		"Memory":     func(l *Limits) { l.Memory = 0 },
		"MemoryMost": func(l *Limits) { l.MemoryMost = 1001 },
		"MoveLeast":  func(l *Limits) { l.MoveLeast = 0 },
		"Disk":       func(l *Limits) { l.Disk = -1 },
		"Files":      func(l *Limits) { l.Files = 0 },
		"FileMost":   func(l *Limits) { l.FileMost = 3001 },
		"Streams":    func(l *Limits) { l.Streams = -1 },
		"Shares":     func(l *Limits) { l.Shares = []float64{0.6, 0.5} },
		"Shares ":    func(l *Limits) { l.Shares = []float64{math.NaN()} },
		"Lend":       func(l *Limits) { l.Lend = 1.1 },
		"Low":        func(l *Limits) { l.Low = 0.9 },
		"Tenants":    func(l *Limits) { l.Tenants = -1 },
	} {
		l := limits()
		spoil(&l)
		if _, err := New(l); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// The disk's states: what leads to each, and that only a proof of trials leads back.
func TestDiskStates(t *testing.T) {
	const ms = time.Millisecond
	lim := DiskLimits{SlowAfter: 100 * ms, RestLeast: time.Second, RestMost: 4 * time.Second, Proof: 2}
	for name, fault := range map[State]Fault{Slow: Late, Full: NoRoom, Failing: Broken} {
		d := NewDisk(lim, 0)
		d.Call(None, ms, 0)
		d.Call(fault, 0, 10*ms)
		if s, since := d.State(); s != name || since != 10*ms {
			t.Fatalf("%v since %v, want %v", s, since, name)
		}
		if d.Trial(500 * ms) {
			t.Fatalf("%v: a trial before its rest", name)
		}
		now := 2 * time.Second
		if !d.Trial(now) || d.Trial(now) {
			t.Fatalf("%v: not one trial at a time", name)
		}
		d.Tried(fault, 0, now) // the rest doubles
		if d.Trial(now+1500*ms) || !d.Trial(now+2500*ms) {
			t.Fatalf("%v: the rest does not double", name)
		}
		now += 2500 * ms
		d.Tried(None, ms, now)
		if s, _ := d.State(); s != name {
			t.Fatalf("%v: good after one trial", name)
		}
		d.Call(None, ms, now) // a read that went well proves nothing
		if s, _ := d.State(); s != name {
			t.Fatalf("%v: good without its proof", name)
		}
		if now += 2 * time.Second; !d.Trial(now) {
			t.Fatalf("%v: no second trial", name)
		}
		d.Tried(None, ms, now)
		if s, since := d.State(); s != Good || since != now {
			t.Fatalf("%v: %v after the proof", name, s)
		}
	}
	d := NewDisk(lim, 0)
	for range 30 {
		d.Call(None, 90*ms, 0)
	}
	d.Call(None, 400*ms, 0) // one alone is no trend
	if s, _ := d.State(); s != Slow {
		for range 10 {
			d.Call(None, 200*ms, time.Second)
		}
	}
	if s, _ := d.State(); s != Slow {
		t.Fatalf("%v after ten slow calls", s)
	}
	if d.Trial(5 * time.Second) {
		d.Tried(None, 200*ms, 5*time.Second) // as slow as before: no proof
	}
	if s, _ := d.State(); s != Slow {
		t.Fatal("good by slow trials")
	}
}

// Above the high mark nobody borrows, and what is a class's own is still given.
func TestNobodyBorrowsWhileTight(t *testing.T) {
	k, err := New(limits())
	if err != nil {
		t.Fatal(err)
	}
	put := func(class int, n int64) Place { return k.Put(k.Begin(class, -1, n, false, false), n, false) }
	for range 3 {
		put(1, 200) // its share is 300
	}
	put(0, 200) // its own, up to the mark of 800
	if !k.Tight() {
		t.Fatalf("%+v", k.Usage().Memory)
	}
	if p := put(1, 100); p != Nowhere {
		t.Errorf("borrowed above the mark: %v", p)
	}
	if p := put(2, 100); p != Memory {
		t.Errorf("a class's own above the mark: %v", p)
	}
}

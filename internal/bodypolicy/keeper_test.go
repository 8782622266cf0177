package bodypolicy

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testLimits() Limits {
	return Limits{Memory: 1000, MemoryMost: 300, MoveLeast: 50, Disk: 3000, FileMost: 800, Files: 6, Streams: 3,
		Shares: []float64{0.2, 0.3, 0.1}, Lend: 0.5, High: 0.8, Low: 0.5}
}

// record is the model's record of a body: what it holds according to the results of the Keeper.
type record struct {
	body               *Body
	class, tenant      int
	mem, disk          int64
	hasStream, dropped bool
	whole, isMoving    bool
	readers            int
	heldAfterMove      int64
	hasFile            bool
	place              Place
	broken             bool
}

// account returns the account that holds the record's class: its own, or the last one, which classes
// outside the shares of testLimits have in common.
func (l *record) account() int {
	if l.class < 0 || l.class > 2 {
		return 3
	}
	return l.class
}

// model runs random operations on bodies of a Keeper, and tracks independently what each body
// holds. It is a rapid.StateMachine.
type model struct {
	keeper    *Keeper
	limits    Limits
	bodies    []*record
	canCreate bool // whether files may be created now
}

func (m *model) pick(t *rapid.T, ok func(*record) bool) *record {
	var some []*record
	for _, l := range m.bodies {
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
	l := &record{class: rapid.IntRange(-1, 4).Draw(t, "class"), tenant: rapid.IntRange(-1, 3).Draw(t, "tenant")}
	announced := rapid.OneOf(rapid.Just(int64(-1)), rapid.Int64Range(1, 1000)).Draw(t, "announced")
	l.body = m.keeper.Begin(l.class, l.tenant, announced, rapid.IntRange(0, 4).Draw(t, "once") == 0, m.canCreate)
	l.place = l.body.Place()
	m.bodies = append(m.bodies, l)
}

func (m *model) recordPlace(t *rapid.T, l *record, p Place, n int64, hadDisk int64) {
	if p < l.place {
		t.Fatalf("body moved back from %v to %v", l.place, p)
	}
	switch p {
	case Memory:
		l.mem += n
	case File:
		if l.body.FileFailed() {
			l.mem += n
		} else {
			l.disk += n
			if l.place == Memory || !l.hasFile { // space for the bytes in memory is booked with it
				l.disk += l.mem
			}
			l.hasFile = true
		}
	case NotKept:
		l.hasStream = true
	}
	l.place = p
}

func (m *model) Put(t *rapid.T) {
	l := m.pick(t, func(l *record) bool { return !l.dropped && !l.whole && l.place != Refused })
	n := rapid.Int64Range(1, 120).Draw(t, "n")
	firm, own := m.keeper.mem.unusedFirm(l.account()) >= n, l.place == Memory && l.body.size+n <= m.limits.MemoryMost && !(l.body.keptElsewhere && l.body.size+n > m.limits.MoveLeast)
	p := m.keeper.Put(l.body, n, m.canCreate)
	if firm && own && m.limits.Tenants == 0 && p != Memory {
		t.Fatalf("class %d has %d of its firm part free, but %d bytes went to %v", l.class, m.keeper.mem.unusedFirm(l.account()), n, p)
	}
	m.recordPlace(t, l, p, n, 0)
}

func (m *model) Trim(t *rapid.T) {
	l := m.pick(t, func(l *record) bool {
		return !l.dropped && !l.whole && l.place == Memory && l.mem > 0 && l.body.size == l.mem
	})
	n := rapid.Int64Range(0, l.mem).Draw(t, "n")
	m.keeper.ReleaseUnreceived(l.body, n)
	l.mem -= n
}

// Written moves the bytes in memory to the body's file, as a body.Store does at once.
func (m *model) Written(t *rapid.T) {
	l := m.pick(t, func(l *record) bool { return !l.dropped && !l.whole && l.place == File && l.mem > 0 && !l.broken })
	m.keeper.RecordWritten(l.body, l.mem)
	l.mem = 0
}

func (m *model) FileBreaks(t *rapid.T) {
	l := m.pick(t, func(l *record) bool {
		return !l.dropped && !l.whole && l.place == File && l.disk > 0 && l.mem == 0 && !l.broken
	})
	n := rapid.Int64Range(1, min(l.disk, l.body.size)).Draw(t, "n")
	l.disk, l.broken = l.disk-n, true
	p := m.keeper.RecordFileFailure(l.body, n, false)
	m.recordPlace(t, l, p, n, 0)
}

func (m *model) Whole(t *rapid.T) {
	l := m.pick(t, func(l *record) bool { return !l.dropped && !l.whole && l.place != Refused })
	m.keeper.Complete(l.body)
	l.whole = true
}

func (m *model) Read(t *rapid.T) {
	l := m.pick(t, func(l *record) bool { return l.whole && !l.dropped })
	m.keeper.BeginRead(l.body, l.readers > 0)
	l.readers++
}

func (m *model) Unread(t *rapid.T) {
	l := m.pick(t, func(l *record) bool { return l.readers > 0 })
	m.keeper.EndRead(l.body)
	l.readers--
	m.releaseUnheld(l)
}

func (m *model) releaseUnheld(l *record) {
	if l.readers > 0 {
		return
	}
	l.mem -= l.heldAfterMove
	l.heldAfterMove = 0
	if l.dropped && !l.isMoving {
		l.mem, l.disk, l.hasStream, l.hasFile = 0, 0, false, false
	}
}

func (m *model) Drop(t *rapid.T) {
	l := m.pick(t, func(l *record) bool { return !l.dropped })
	m.keeper.Drop(l.body)
	l.dropped = true
	m.releaseUnheld(l)
}

func (m *model) Move(t *rapid.T) {
	b := m.keeper.SelectForMove(m.canCreate)
	if b == nil {
		t.Skip("none")
	}
	l := m.bodies[slices.IndexFunc(m.bodies, func(l *record) bool { return l.body == b })]
	if l.readers > 0 || !l.whole || l.dropped || l.isMoving || l.place != Memory {
		t.Fatalf("Move selected %+v, want a complete body in memory without readers", l)
	}
	l.isMoving, l.hasFile = true, true
	l.disk += l.mem
}

func (m *model) Moved(t *rapid.T) {
	l := m.pick(t, func(l *record) bool { return l.isMoving })
	ok := rapid.Bool().Draw(t, "ok")
	m.keeper.RecordMove(l.body, ok)
	l.isMoving = false
	if ok {
		l.place, l.heldAfterMove = File, l.mem
	} else {
		l.disk, l.hasFile = 0, false
	}
	m.releaseUnheld(l)
}

func (m *model) Files(t *rapid.T) { m.canCreate = !m.canCreate }

// Check compares the bookings of the Keeper with what the model holds.
func (m *model) Check(t *rapid.T) {
	var mem, disk, files, streams int64
	byClass := make([]int64, 4)
	for _, l := range m.bodies {
		mem, disk = mem+l.mem, disk+l.disk
		byClass[l.account()] += l.mem
		if l.hasFile {
			files++
		}
		if l.hasStream {
			streams++
		}
	}
	u := m.keeper.Usage()
	if u.Memory.Now != mem || u.Disk.Now != disk || u.Files.Now != files || u.Streams.Now != streams {
		t.Fatalf("booked %+v, want memory %d, disk %d, files %d, streams %d", u, mem, disk, files, streams)
	}
	for _, a := range []*account{&m.keeper.mem, &m.keeper.disk, &m.keeper.files, &m.keeper.streams} {
		var owed, total int64
		for c := range a.used {
			if a.used[c] < 0 {
				t.Fatalf("class %d uses %d, want 0 or more", c, a.used[c])
			}
			owed += a.unusedFirm(c)
			total += a.used[c]
		}
		if total != a.total || owed != a.reserved || total+owed > a.limit {
			t.Fatalf("total %d (account: %d), unused firm parts %d (account: %d), limit %d", total, a.total, owed, a.reserved, a.limit)
		}
	}
	for c, n := range byClass {
		if m.keeper.mem.used[c] != n {
			t.Fatalf("class %d holds %d bytes in memory, booked %d", c, n, m.keeper.mem.used[c])
		}
	}
}

// For random operations, no byte, file or stream is counted twice or leaked, the firm part of
// each class's share is available to it at every step, and a body never moves back.
func TestKeeperBookingsMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lim := testLimits()
		lim.Tenants = rapid.SampledFrom([]int{0, 3}).Draw(t, "tenants")
		k, err := New(lim)
		if err != nil {
			t.Fatal(err)
		}
		m := &model{keeper: k, limits: lim, canCreate: true}
		t.Repeat(rapid.StateMachineActions(m))
		for _, l := range m.bodies { // after all bodies have ended, nothing may be booked
			for ; l.readers > 0; l.readers-- {
				k.EndRead(l.body)
			}
			k.Drop(l.body)
			if l.isMoving {
				k.RecordMove(l.body, true)
			}
		}
		if u := k.Usage(); u.Memory.Now+u.Disk.Now+u.Files.Now+u.Streams.Now != 0 {
			t.Fatalf("still booked after all bodies ended: %+v", u)
		}
	})
}

// A flood of bodies of one class or tenant does not take the share of another; what a class
// lends is returned by moving bodies to files.
func TestFloodLeavesOthersTheirShare(t *testing.T) {
	lim := testLimits()
	lim.Tenants = 2
	k, err := New(lim)
	if err != nil {
		t.Fatal(err)
	}
	var flood []*Body
	for range 100 {
		b := k.Begin(1, 0, 100, false, false)
		if k.Put(b, 100, false) == Memory {
			k.Complete(b)
			flood = append(flood, b)
		}
	}
	if len(flood) != 5 { // one tenant may use no more than what is left free
		t.Fatalf("%d bodies of the flood are in memory, want 5", len(flood))
	}
	for n := range 10 { // the firm half of class 0's share, by another tenant
		if p := k.Put(k.Begin(0, 1, 10, false, false), 10, false); p != Memory {
			t.Fatalf("body %d of the other class went to %v, want memory", n, p)
		}
	}
	if b := k.SelectForMove(false); b != nil {
		t.Fatal("Move selected a body while files may not be created")
	}
	// Memory is not tight yet, since this tenant used no more than it left free for others.
	for range 20 {
		b := k.Begin(1, 1, 100, false, false)
		if k.Put(b, 100, false) != Memory {
			break
		}
		k.Complete(b)
		flood = append(flood, b)
	}
	if u := k.Usage().Memory; !k.IsTight() || u.Now > 800 {
		t.Fatalf("memory %+v, want it tight with at most 800 in use", u)
	}
	k.BeginRead(flood[0], false)
	moved := 0
	for b := k.SelectForMove(true); b != nil; b = k.SelectForMove(true) {
		if b == flood[0] {
			t.Fatal("Move selected a body that is being read")
		}
		k.RecordMove(b, true)
		moved++
	}
	if u := k.Usage().Memory; moved == 0 || u.Now > int64(float64(u.Limit)*lim.Low) {
		t.Fatalf("%d bodies moved, memory %+v, want it down to the low mark", moved, u)
	}
}

// After a flood of bodies of all other classes, a class that uses nothing can still book the
// firm part of its share of each amount, for different high marks.
func TestFirmPartIsAvailableAfterFlood(t *testing.T) {
	for _, high := range []float64{0.8, 1} {
		for class, share := range testLimits().Shares {
			lim := testLimits()
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
				if firm > 0 && !a.book(class, -1, firm) {
					t.Errorf("high mark %v, class %d: its firm part %d of %s is not available: %+v", high, class, firm, name, *a)
				}
			}
		}
	}
}

// Each invalid limit is rejected.
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
		l := testLimits()
		spoil(&l)
		if _, err := New(l); err == nil {
			t.Errorf("invalid %s was accepted", name)
		}
	}
}

// Each kind of fault leads to its state, and only the required number of consecutive successful
// trials leads back to good.
func TestDiskFaultsAndRecovery(t *testing.T) {
	const ms = time.Millisecond
	lim := DiskLimits{SlowAfter: 100 * ms, MinTrialDelay: time.Second, MaxTrialDelay: 4 * time.Second, RequiredTrials: 2}
	for name, fault := range map[State]Fault{Slow: Late, Full: NoRoom, Failing: Broken} {
		d := NewDisk(lim, 0)
		d.RecordCall(None, ms, 0)
		d.RecordCall(fault, 0, 10*ms)
		if s, since := d.State(); s != name || since != 10*ms {
			t.Fatalf("%v since %v, want %v", s, since, name)
		}
		if d.TrialDue(500 * ms) {
			t.Fatalf("%v: a trial is due before the delay is over", name)
		}
		now := 2 * time.Second
		if !d.TrialDue(now) || d.TrialDue(now) {
			t.Fatalf("%v: want exactly one trial at a time", name)
		}
		d.RecordTrial(fault, 0, now) // the delay doubles
		if d.TrialDue(now+1500*ms) || !d.TrialDue(now+2500*ms) {
			t.Fatalf("%v: the delay did not double after a failed trial", name)
		}
		now += 2500 * ms
		d.RecordTrial(None, ms, now)
		if s, _ := d.State(); s != name {
			t.Fatalf("%v: state changed after one of two trials", name)
		}
		d.RecordCall(None, ms, now) // a successful read does not count as a trial
		if s, _ := d.State(); s != name {
			t.Fatalf("%v: state changed after a read, want no change", name)
		}
		if now += 2 * time.Second; !d.TrialDue(now) {
			t.Fatalf("%v: the second trial is not due", name)
		}
		d.RecordTrial(None, ms, now)
		if s, since := d.State(); s != Good || since != now {
			t.Fatalf("%v: state %v after two successful trials, want good", name, s)
		}
	}
	d := NewDisk(lim, 0)
	for range 30 {
		d.RecordCall(None, 90*ms, 0)
	}
	d.RecordCall(None, 400*ms, 0) // a single slow call is not enough
	if s, _ := d.State(); s != Slow {
		for range 10 {
			d.RecordCall(None, 200*ms, time.Second)
		}
	}
	if s, _ := d.State(); s != Slow {
		t.Fatalf("state %v after ten slow calls, want slow", s)
	}
	if d.TrialDue(5 * time.Second) {
		d.RecordTrial(None, 200*ms, 5*time.Second) // still slow, so not successful
	}
	if s, _ := d.State(); s != Slow {
		t.Fatal("not slow after a slow trial")
	}
}

// While memory is tight, a class cannot borrow, but can still use its own share.
func TestNoBorrowingWhileTight(t *testing.T) {
	k, err := New(testLimits())
	if err != nil {
		t.Fatal(err)
	}
	put := func(class int, n int64) Place { return k.Put(k.Begin(class, -1, n, false, false), n, false) }
	for range 3 {
		put(1, 200) // its share is 300
	}
	put(0, 200) // its own share, up to the high mark of 800
	if !k.IsTight() {
		t.Fatalf("memory is not tight: %+v", k.Usage().Memory)
	}
	if p := put(1, 100); p != NotKept {
		t.Errorf("a class above its share while memory is tight: body went to %v, want not kept", p)
	}
	if p := put(2, 100); p != Memory {
		t.Errorf("a class within its share while memory is tight: body went to %v, want memory", p)
	}
}

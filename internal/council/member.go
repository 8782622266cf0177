package council

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"chalkrack/internal/agreed"
)

const (
	electionBeats = 10
	// compactEach is after how many entries the log is cut; compactKeep of them stay for
	// members that are a little behind.
	compactEach = 2000
	compactKeep = 500
	// waitMost is how long a call waits for its entry to be agreed on, or for the leader's
	// proof that it leads.
	waitMost = 3 * time.Second
	// handOver is how long a member that ends waits for another to lead.
	handOver = time.Second
	// workMost bounds the calls that wait for the member's goroutine.
	workMost = 1024
)

// Errors that callers are told.
var (
	ErrNotLeader = errors.New("another member leads")
	ErrEnding    = errors.New("this member ends")
	ErrSlow      = errors.New("no majority of the members has agreed in time; it may still come to be")
)

// Peer is a member, by its id in the log's configuration.
type Peer struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// content is what the log has come to: what a snapshot holds.
type content struct {
	Fleet   string          `json:"fleet"`
	State   agreed.State    `json:"state"`
	Members map[uint64]Peer `json:"members"`
}

// wrapped is an entry on its way, with a number by which its proposer knows it.
type wrapped struct {
	N     uint64       `json:"n"`
	Entry agreed.Entry `json:"entry"`
}

// Member is one of the council. All that raft and the log's state need is done by one goroutine;
// other methods bring it their work.
type Member struct {
	cfg   Config
	id    uint64
	store *store
	mem   *raft.MemoryStorage
	node  *raft.RawNode
	post  *post

	work    chan func()
	stop    chan struct{} // closed by Close
	done    chan struct{} // closed when the goroutine has ended
	closing sync.Once
	failed  error // why it ended by itself

	// Of the goroutine:
	conf     *raftpb.ConfState
	applied  uint64
	snapped  uint64
	holder   *agreed.LeaseTracker // nil: another one leads
	going    map[string]bool      // sidecars whose silence is on its way into the log: they get no lease
	entries  map[uint64]chan error
	confirms map[uint64]chan error // by their number, until raft has heard a majority
	ripe     map[uint64]uint64     // confirmed, at which index, where that is not applied yet
	numbers  uint64
	// changedMembers says that the newest snapshot does not know who the members are.
	changedMembers bool

	mu      sync.Mutex // content and lead are written by the goroutine under it
	content content
	lead    uint64
	leads   bool
	index   uint64
	changed chan struct{} // closed when what is in force, or on its way, is another
}

// bootNow is the time by a clock that runs on while the machine sleeps.
func bootNow() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // of a constant
	}
	return time.Duration(t.Nano())
}

// start has a member with a folder take part.
func start(cfg Config, id uint64, s *store, p *post) (*Member, error) {
	mem, err := s.load()
	if err != nil {
		return nil, err
	}
	m := &Member{cfg: cfg, id: id, store: s, mem: mem, post: p, work: make(chan func(), workMost), stop: make(chan struct{}), done: make(chan struct{}),
		going: make(map[string]bool), entries: make(map[uint64]chan error), confirms: make(map[uint64]chan error), ripe: make(map[uint64]uint64),
		numbers: rand.Uint64(), changed: make(chan struct{})}
	m.content.Members = make(map[uint64]Peer)
	snap, err := mem.Snapshot()
	if err != nil {
		return nil, err
	}
	if !raft.IsEmptySnap(snap) {
		if err := m.restore(snap); err != nil {
			return nil, err
		}
	}
	m.node, err = raft.NewRawNode(&raft.Config{ID: id, ElectionTick: electionBeats, HeartbeatTick: 1, Storage: mem, Applied: m.applied, MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 64,
		MaxUncommittedEntriesSize: 16 << 20, CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, Logger: quiet{}})
	if err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	go m.run()
	return m, nil
}

// run owns raft.
func (m *Member) run() {
	defer close(m.done)
	beat := time.NewTicker(time.Duration(m.cfg.Beat))
	defer beat.Stop()
	for {
		select {
		case <-m.stop:
			m.end(ErrEnding)
			return
		case <-beat.C:
			m.node.Tick()
			m.silent()
		case do := <-m.work:
			do()
		case msg := <-m.post.in:
			m.step(msg)
		case id := <-m.post.lost:
			m.node.ReportUnreachable(id)
		}
		m.drain()
		for m.node.HasReady() {
			if err := m.ready(); err != nil {
				slog.Error("council: this member ends", "err", err)
				m.failed = err
				m.end(err)
				return
			}
		}
	}
}

// batchWork is how much of what waits is taken up before the disk is written.
const batchWork = 256

// drain takes up what else waits: one write on the disk is for all of it.
func (m *Member) drain() {
	for range batchWork {
		select {
		case do := <-m.work:
			do()
		case msg := <-m.post.in:
			m.step(msg)
		default:
			return
		}
	}
}

func (m *Member) step(msg *raftpb.Message) {
	if err := m.node.Step(msg); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		slog.Debug("council: a message is left out", "err", err)
	}
}

// end tells all who wait.
func (m *Member) end(err error) {
	for _, all := range []map[uint64]chan error{m.entries, m.confirms} {
		for _, c := range all {
			c <- err
		}
		clear(all)
	}
}

// ready does what raft wants: first the disk, then the others, then what is agreed on.
func (m *Member) ready() error {
	rd := m.node.Ready()
	if err := m.store.save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
		return err
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := m.mem.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
		if err := m.restore(rd.Snapshot); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		if err := m.mem.SetHardState(rd.HardState); err != nil {
			return err
		}
	}
	if err := m.mem.Append(rd.Entries); err != nil {
		return err
	}
	if rd.SoftState != nil {
		m.leading(rd.SoftState)
	}
	m.post.send(rd.Messages)
	for _, e := range rd.CommittedEntries {
		if err := m.apply(e); err != nil {
			return err
		}
	}
	for _, r := range rd.ReadStates {
		var n uint64
		if err := json.Unmarshal(r.RequestCtx, &n); err == nil {
			m.ripe[n] = r.Index
		}
	}
	m.node.Advance(rd)
	for n, at := range m.ripe {
		if c, ok := m.confirms[n]; !ok || at <= m.applied {
			if ok {
				c <- nil
				delete(m.confirms, n)
			}
			delete(m.ripe, n)
		}
	}
	return m.compact()
}

// leading takes up a change of who leads. Who was told that a sidecar's lease runs is not handed
// on: a new leader counts all of them from now.
func (m *Member) leading(s *raft.SoftState) {
	leads := s.RaftState == raft.StateLeader
	if leads && m.holder == nil {
		m.holder = agreed.NewLeaseTracker(m.cfg.Times(), bootNow())
		clear(m.going)
		slog.Info("council: this member leads", "name", m.cfg.Name)
	}
	if !leads && m.holder != nil {
		m.holder = nil
		m.end(ErrNotLeader)
		slog.Info("council: this member leads no more", "name", m.cfg.Name)
	}
	m.mu.Lock()
	m.lead, m.leads = s.Lead, leads
	m.mu.Unlock()
}

// silent has the log know of sidecars whose lease has ended.
func (m *Member) silent() {
	if m.holder == nil {
		return
	}
	for _, name := range m.holder.Expired(bootNow(), &m.content.State) {
		if m.going[name] {
			continue
		}
		m.going[name] = true
		e := agreed.Entry{Kind: agreed.KindLeaseExpired, Car: name, Incarnation: m.content.State.Sidecars[name].Incarnation}
		if m.propose(&e, nil) != nil {
			delete(m.going, name)
		}
	}
	m.holder.Prune(&m.content.State)
}

// propose brings an entry on its way; told hears what became of it. nil: nobody does.
func (m *Member) propose(e *agreed.Entry, told chan error) error {
	m.numbers++
	w := wrapped{m.numbers, *e}
	b, err := json.Marshal(w)
	if err != nil {
		return err
	}
	if err := m.node.Propose(b); err != nil {
		return err
	}
	if told != nil {
		m.entries[w.N] = told
	}
	return nil
}

// apply does what a committed entry says.
func (m *Member) apply(e *raftpb.Entry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = e.GetIndex()
	m.index = m.applied
	switch e.GetType() {
	case raftpb.EntryConfChange:
		cc := new(raftpb.ConfChange)
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			return fmt.Errorf("entry %d: %w", m.applied, err)
		}
		m.conf = m.node.ApplyConfChange(cc)
		if cc.GetType() == raftpb.ConfChangeRemoveNode {
			delete(m.content.Members, cc.GetNodeId())
		} else {
			var p Peer
			if err := json.Unmarshal(cc.GetContext(), &p); err != nil {
				return fmt.Errorf("entry %d: %w", m.applied, err)
			}
			m.content.Members[cc.GetNodeId()] = p
		}
		m.post.know(m.id, m.content.Members)
		m.changedMembers = true
		return nil
	case raftpb.EntryNormal:
	default:
		return fmt.Errorf("entry %d: of a kind that this program does not know", m.applied)
	}
	if len(e.GetData()) == 0 { // of a new leader
		return nil
	}
	var w wrapped
	if err := json.Unmarshal(e.GetData(), &w); err != nil {
		return fmt.Errorf("entry %d: %w", m.applied, err)
	}
	s := &m.content.State
	force, next := s.InForce.Version, s.Pending
	err := s.Apply(&w.Entry)
	if w.Entry.Kind == agreed.KindLeaseExpired {
		delete(m.going, w.Entry.Car)
	}
	if s.InForce.Version != force || s.Pending != next {
		close(m.changed)
		m.changed = make(chan struct{})
		slog.Info("council: agreed", "kind", w.Entry.Kind, "in_force", s.InForce.Version, "next", s.Pending != nil, "index", m.applied)
	}
	if told := m.entries[w.N]; told != nil {
		told <- err
		delete(m.entries, w.N)
	}
	return nil
}

// restore takes a snapshot up.
func (m *Member) restore(snap *raftpb.Snapshot) error {
	var c content
	if err := json.Unmarshal(snap.GetData(), &c); err != nil {
		return fmt.Errorf("council: the snapshot: %w", err)
	}
	if c.Fleet != m.cfg.Fleet {
		return fmt.Errorf("council: the snapshot is of fleet %q, not %q: %w", c.Fleet, m.cfg.Fleet, ErrOther)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.content, m.conf = c, snap.GetMetadata().GetConfState()
	m.applied, m.snapped = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex()
	m.index = m.applied
	close(m.changed)
	m.changed = make(chan struct{})
	m.post.know(m.id, c.Members)
	return nil
}

// compact cuts the log where it has grown by compactEach, and where the members have changed: one
// that is added takes no snapshot that does not know it.
func (m *Member) compact() error {
	if m.applied < m.snapped+compactEach && !m.changedMembers {
		return nil
	}
	m.changedMembers = false
	text, err := json.Marshal(&m.content)
	if err != nil {
		return err
	}
	snap, err := m.mem.CreateSnapshot(m.applied, m.conf, text)
	if err != nil {
		return fmt.Errorf("council: snapshot: %w", err)
	}
	m.snapped = m.applied
	keep := uint64(0)
	if m.applied > compactKeep {
		keep = m.applied - compactKeep
		if err := m.mem.Compact(keep); err != nil && !errors.Is(err, raft.ErrCompacted) {
			return fmt.Errorf("council: %w", err)
		}
	}
	return m.store.compact(snap, keep+1)
}

// do has the goroutine do something.
func (m *Member) do(ctx context.Context, what func()) error {
	select {
	case m.work <- what:
		return nil
	case <-m.done:
		return ErrEnding
	case <-ctx.Done():
		return ErrSlow
	}
}

// await is do for what is told later whether it came to be.
func (m *Member) await(ctx context.Context, what func(told chan error) error) error {
	ctx, cancel := context.WithTimeout(ctx, waitMost)
	defer cancel()
	told := make(chan error, 1)
	err := m.do(ctx, func() {
		if m.holder == nil {
			told <- ErrNotLeader
		} else if err := what(told); err != nil {
			told <- err
		}
	})
	if err != nil {
		return err
	}
	select {
	case err = <-told:
	case <-m.done:
		err = ErrEnding
	case <-ctx.Done():
		return ErrSlow
	}
	if errors.Is(err, raft.ErrProposalDropped) {
		return ErrNotLeader
	}
	return err
}

// Enter has an entry agreed on. An error of package agreed's says why it does nothing.
func (m *Member) Enter(ctx context.Context, e agreed.Entry) error {
	return m.await(ctx, func(told chan error) error { return m.propose(&e, told) })
}

// Confirm waits until a majority has said, after now, that this member leads, and until all that
// was agreed on before is applied here.
func (m *Member) Confirm(ctx context.Context) error {
	return m.await(ctx, func(told chan error) error {
		m.numbers++
		m.confirms[m.numbers] = told
		b, err := json.Marshal(m.numbers)
		if err == nil {
			m.node.ReadIndex(b)
		}
		return err
	})
}

// Renew answers a sidecar. It waits where there is nothing to tell, hold at the most.
func (m *Member) Renew(ctx context.Context, r agreed.Request, hold time.Duration) (a agreed.Response, err error) {
	came := bootNow()
	if err := m.Confirm(ctx); err != nil {
		return a, err
	}
	for _, e := range m.says(&r) {
		// What does nothing, for the council is past it, is answered all the same.
		if err := m.Enter(ctx, e); errors.Is(err, ErrNotLeader) || errors.Is(err, ErrSlow) || errors.Is(err, ErrEnding) {
			return a, err
		}
	}
	granted := make(chan bool, 1)
	err = m.do(ctx, func() {
		c, ok := m.content.State.Sidecars[r.Sidecar]
		leased := m.holder != nil && ok && c.Incarnation == r.Incarnation && !c.Gone && !m.going[r.Sidecar]
		if leased {
			m.holder.RecordGrant(r.Sidecar, came)
		}
		granted <- leased
	})
	if err != nil {
		return a, err
	}
	select {
	case a.LeaseGranted = <-granted:
	case <-m.done:
		return a, ErrEnding
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for {
		m.mu.Lock()
		s, changed := &m.content.State, m.changed
		told := s.InForce.Version == r.ActiveVersion && (s.Pending == nil || s.Pending.Version == r.PreparedVersion || s.Pending.Version == r.RejectedVersion) && (s.Pending != nil || r.PreparedVersion <= s.InForce.Version)
		force := s.InForce
		a.Seq, a.Index, a.Next, a.InForceOmitted = r.Seq, m.index, s.Pending, force.Version == r.ActiveVersion
		m.mu.Unlock()
		if a.InForce = nil; !a.InForceOmitted {
			a.InForce = &force
		}
		if !told || hold <= 0 || !a.LeaseGranted {
			return a, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return a, nil
		case <-ctx.Done():
			return a, ctx.Err()
		case <-m.done:
			return a, ErrEnding
		}
	}
}

// says are the entries by which the log learns what a request tells.
func (m *Member) says(r *agreed.Request) (all []agreed.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.content.State
	c, ok := s.Sidecars[r.Sidecar]
	if !ok || c.Gone || c.Incarnation != r.Incarnation {
		all = append(all, agreed.Entry{Kind: agreed.KindJoin, Car: r.Sidecar, Incarnation: r.Incarnation, Version: r.ActiveVersion})
		c = agreed.Sidecar{Incarnation: r.Incarnation, Acts: r.ActiveVersion}
	}
	if r.ActiveVersion > c.Acts {
		all = append(all, agreed.Entry{Kind: agreed.KindActive, Car: r.Sidecar, Incarnation: r.Incarnation, Version: r.ActiveVersion})
	}
	switch next := s.Pending; {
	case next == nil:
	case r.PreparedVersion == next.Version && c.PreparedVersion < r.PreparedVersion:
		all = append(all, agreed.Entry{Kind: agreed.KindPrepared, Car: r.Sidecar, Incarnation: r.Incarnation, Version: r.PreparedVersion})
	case r.RejectedVersion == next.Version:
		all = append(all, agreed.Entry{Kind: agreed.KindRejected, Car: r.Sidecar, Incarnation: r.Incarnation, Version: r.RejectedVersion, Reason: r.RejectReason})
	}
	return all
}

// Status is what operators see.
type Status struct {
	Fleet   string                    `json:"fleet"`
	Name    string                    `json:"name"`
	Leader  Peer                      `json:"leader"` // empty: none is known
	Leads   bool                      `json:"leads"`
	Index   uint64                    `json:"index"`
	Members map[uint64]Peer           `json:"members"`
	InForce agreed.Doc                `json:"in_force"`
	Settled bool                      `json:"settled"`
	Next    *agreed.Doc               `json:"next,omitempty"`
	Waits   []string                  `json:"waits,omitempty"`
	Cars    map[string]agreed.Sidecar `json:"cars"`
	Endings []agreed.Ending           `json:"endings,omitempty"`
	Bound   time.Duration             `json:"bound_ns"` // T
}

// Status is what this member knows, which may be old where it does not lead.
func (m *Member) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.content.State
	members := maps.Clone(m.content.Members)
	for id, x := range members {
		x.Addr = m.post.where(x)
		members[id] = x
	}
	return Status{Fleet: m.cfg.Fleet, Name: m.cfg.Name, Leader: members[m.lead], Leads: m.leads, Index: m.index, Members: members,
		InForce: s.InForce, Settled: s.IsSettled(), Next: s.Pending, Waits: s.PendingSidecars(), Cars: maps.Clone(s.Sidecars), Endings: append([]agreed.Ending(nil), s.Results...), Bound: m.cfg.Times().MaxStaleness()}
}

// Close ends it, after another one has been asked to lead.
func (m *Member) Close() error {
	m.closing.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), handOver)
		defer cancel()
		asked := make(chan bool, 1)
		m.do(ctx, func() {
			best, match := uint64(0), uint64(0)
			defer func() { asked <- best != 0 }()
			if m.holder == nil {
				return
			}
			m.node.WithProgress(func(id uint64, _ raft.ProgressType, p trackerProgress) {
				if id != m.id && p.RecentActive && p.Match >= match {
					best, match = id, p.Match
				}
			})
			if best != 0 {
				m.node.TransferLeader(best)
			}
		})
		select {
		case is := <-asked:
			for is && ctx.Err() == nil && m.Status().Leads {
				time.Sleep(time.Duration(m.cfg.Beat) / 4)
			}
		case <-ctx.Done():
		case <-m.done:
		}
		close(m.stop)
	})
	<-m.done
	return m.failed
}

package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"chalkrack/internal/agreement"
)

const (
	electionTicks = 10
	// compactInterval is the number of applied entries after which the log is compacted. The last
	// compactKeepEntries entries stay for members that are slightly behind.
	compactInterval    = 2000
	compactKeepEntries = 500
	// commitTimeout is how long a request waits for its entry to be applied, or for a majority to
	// confirm the leader.
	commitTimeout = 3 * time.Second
	// transferTimeout is how long a stopping leader waits for another member to become leader.
	transferTimeout = time.Second
	// maxQueuedWork limits the functions queued for the member's goroutine.
	maxQueuedWork = 1024
)

// Errors returned to callers.
var (
	ErrNotLeader = errors.New("this member is not the leader")
	ErrStopping  = errors.New("this member is stopping")
	ErrTimeout   = errors.New("no majority of the members confirmed the request in time; it may still take effect")
)

// Endpoint holds the name and address of a member.
type Endpoint struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// replicatedState is the replicated state that results from the log, as stored in a snapshot.
type replicatedState struct {
	Fleet   string              `json:"fleet"`
	State   agreement.State     `json:"state"`
	Members map[uint64]Endpoint `json:"members"`
}

// logRecord is the data of a raft entry: an entry of package agreement, and a number by which the
// member that proposed it finds the waiting caller.
type logRecord struct {
	Number uint64          `json:"n"`
	Entry  agreement.Entry `json:"entry"`
}

// Member is a running member of the council. One goroutine owns raft and the replicated state;
// the exported methods queue work for it and are safe for concurrent use.
type Member struct {
	cfg         Config
	id          uint64
	store       *store
	raftStorage *raft.MemoryStorage
	node        *raft.RawNode
	transport   *transport

	work    chan func()
	stop    chan struct{} // closed by Close
	done    chan struct{} // closed when the goroutine has ended
	closing sync.Once
	failed  error // the error that ended the goroutine, if any; valid once done is closed

	// Owned by the goroutine:
	confState     *raftpb.ConfState
	appliedIndex  uint64
	snapshotIndex uint64                  // index of the newest snapshot
	leases        *agreement.LeaseTracker // nil: this member is not the leader
	expiring      map[string]bool         // sidecars whose expiry has been proposed; they are granted no lease
	entryWaiters  map[uint64]chan error   // callers that wait for an entry, by its number
	readWaiters   map[uint64]chan error   // callers that wait for a linearizable read, by its number
	readIndexes   map[uint64]uint64       // by number of a read that a majority has confirmed, the index that must be applied first
	lastNumber    uint64                  // the last number used for an entry or a read
	// hasChangedMembers is set if the members have changed since the newest snapshot.
	hasChangedMembers bool

	mu          sync.Mutex // the goroutine holds it to write the fields below, other goroutines to read them
	content     replicatedState
	leaderID    uint64 // raft id of the leader; 0: not known
	isLeader    bool
	statusIndex uint64        // copy of appliedIndex
	changed     chan struct{} // closed and replaced when the version in force or the pending proposal changes
}

// bootTime returns the time of a monotonic clock that also counts while the machine is suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // can't fail with a valid clock id
	}
	return time.Duration(t.Nano())
}

// startMember starts the goroutine of a member from the state in its store.
func startMember(cfg Config, id uint64, store *store, transport *transport) (*Member, error) {
	raftStorage, err := store.loadRaftStorage()
	if err != nil {
		return nil, err
	}
	m := &Member{cfg: cfg, id: id, store: store, raftStorage: raftStorage, transport: transport, work: make(chan func(), maxQueuedWork), stop: make(chan struct{}), done: make(chan struct{}),
		expiring: make(map[string]bool), entryWaiters: make(map[uint64]chan error), readWaiters: make(map[uint64]chan error), readIndexes: make(map[uint64]uint64),
		lastNumber: rand.Uint64(), changed: make(chan struct{})}
	m.content.Members = make(map[uint64]Endpoint)
	snap, err := raftStorage.Snapshot()
	if err != nil {
		return nil, err
	}
	if !raft.IsEmptySnap(snap) {
		if err := m.restoreSnapshot(snap); err != nil {
			return nil, err
		}
	}
	m.node, err = raft.NewRawNode(&raft.Config{ID: id, ElectionTick: electionTicks, HeartbeatTick: 1, Storage: raftStorage, Applied: m.appliedIndex, MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 64,
		MaxUncommittedEntriesSize: 16 << 20, CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, Logger: raftLogger{}})
	if err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	go m.run()
	return m, nil
}

// run is the member's goroutine. It ends when stop is closed or on an error of storage or state.
func (m *Member) run() {
	defer close(m.done)
	beat := time.NewTicker(time.Duration(m.cfg.HeartbeatInterval))
	defer beat.Stop()
	for {
		select {
		case <-m.stop:
			m.failWaiters(ErrStopping)
			return
		case <-beat.C:
			m.node.Tick()
			m.proposeExpirations()
		case do := <-m.work:
			do()
		case msg := <-m.transport.received:
			m.stepRaft(msg)
		case id := <-m.transport.unreachable:
			m.node.ReportUnreachable(id)
		}
		m.drainQueues()
		for m.node.HasReady() {
			if err := m.handleReady(); err != nil {
				slog.Error("council: the member stops because of an error", "err", err)
				m.failed = err
				m.failWaiters(err)
				return
			}
		}
	}
}

// maxBatchWork is the maximum number of queued functions and messages handled per write to disk.
const maxBatchWork = 256

// drainQueues handles further queued functions and messages, up to maxBatchWork, so that one write
// to disk covers all of them.
func (m *Member) drainQueues() {
	for range maxBatchWork {
		select {
		case do := <-m.work:
			do()
		case msg := <-m.transport.received:
			m.stepRaft(msg)
		default:
			return
		}
	}
}

// stepRaft passes a received message to raft.
func (m *Member) stepRaft(msg *raftpb.Message) {
	if err := m.node.Step(msg); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		slog.Debug("council: raft rejected a message", "err", err)
	}
}

// failWaiters returns err to all callers that wait for an entry or a read.
func (m *Member) failWaiters(err error) {
	for _, waiters := range []map[uint64]chan error{m.entryWaiters, m.readWaiters} {
		for _, c := range waiters {
			c <- err
		}
		clear(waiters)
	}
}

// handleReady processes raft's pending output: it writes to disk, then sends messages, then applies
// the committed entries, and last answers the reads that were waiting for them.
func (m *Member) handleReady() error {
	rd := m.node.Ready()
	if err := m.store.save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
		return err
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := m.raftStorage.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
		if err := m.restoreSnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		if err := m.raftStorage.SetHardState(rd.HardState); err != nil {
			return err
		}
	}
	if err := m.raftStorage.Append(rd.Entries); err != nil {
		return err
	}
	if rd.SoftState != nil {
		m.updateLeadership(rd.SoftState)
	}
	m.transport.send(rd.Messages)
	for _, e := range rd.CommittedEntries {
		if err := m.applyEntry(e); err != nil {
			return err
		}
	}
	for _, r := range rd.ReadStates {
		var n uint64
		if err := json.Unmarshal(r.RequestCtx, &n); err == nil {
			m.readIndexes[n] = r.Index
		}
	}
	m.node.Advance(rd)
	for n, at := range m.readIndexes {
		if c, ok := m.readWaiters[n]; !ok || at <= m.appliedIndex {
			if ok {
				c <- nil
				delete(m.readWaiters, n)
			}
			delete(m.readIndexes, n)
		}
	}
	return m.compactLog()
}

// updateLeadership processes a change of raft's role or leader. The leases that the previous leader
// granted are not replicated, so a new leader counts all leases from now.
func (m *Member) updateLeadership(s *raft.SoftState) {
	isLeader := s.RaftState == raft.StateLeader
	if isLeader && m.leases == nil {
		m.leases = agreement.NewLeaseTracker(m.cfg.LeaseTimes(), bootTime())
		clear(m.expiring)
		slog.Info("council: this member is now the leader", "name", m.cfg.Name)
	}
	if !isLeader && m.leases != nil {
		m.leases = nil
		m.failWaiters(ErrNotLeader)
		slog.Info("council: this member is no longer the leader", "name", m.cfg.Name)
	}
	m.mu.Lock()
	m.leaderID, m.isLeader = s.Lead, isLeader
	m.mu.Unlock()
}

// proposeExpirations proposes an entry for each sidecar whose lease has expired, if this member
// leads.
func (m *Member) proposeExpirations() {
	if m.leases == nil {
		return
	}
	for _, name := range m.leases.Expired(bootTime(), &m.content.State) {
		if m.expiring[name] {
			continue
		}
		m.expiring[name] = true
		e := agreement.Entry{Kind: agreement.KindLeaseExpired, Sidecar: name, Incarnation: m.content.State.Sidecars[name].Incarnation}
		if m.propose(&e, nil) != nil {
			delete(m.expiring, name)
		}
	}
	m.leases.Prune(&m.content.State)
}

// propose proposes an entry to raft. Unless result is nil, it receives the result once the entry is
// applied, or the error that ended the wait.
func (m *Member) propose(e *agreement.Entry, result chan error) error {
	m.lastNumber++
	record := logRecord{m.lastNumber, *e}
	data, err := json.Marshal(record)
	if err != nil {
		return err
	}
	if err := m.node.Propose(data); err != nil {
		return err
	}
	if result != nil {
		m.entryWaiters[record.Number] = result
	}
	return nil
}

// applyEntry applies a committed raft entry and notifies the caller that proposed it here, if any.
func (m *Member) applyEntry(e *raftpb.Entry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.appliedIndex = e.GetIndex()
	m.statusIndex = m.appliedIndex
	switch e.GetType() {
	case raftpb.EntryConfChange:
		cc := new(raftpb.ConfChange)
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			return fmt.Errorf("entry %d: %w", m.appliedIndex, err)
		}
		m.confState = m.node.ApplyConfChange(cc)
		if cc.GetType() == raftpb.ConfChangeRemoveNode {
			delete(m.content.Members, cc.GetNodeId())
		} else {
			var p Endpoint
			if err := json.Unmarshal(cc.GetContext(), &p); err != nil {
				return fmt.Errorf("entry %d: %w", m.appliedIndex, err)
			}
			m.content.Members[cc.GetNodeId()] = p
		}
		m.transport.setMembers(m.id, m.content.Members)
		m.hasChangedMembers = true
		return nil
	case raftpb.EntryNormal:
	default:
		return fmt.Errorf("entry %d: unknown type of raft entry", m.appliedIndex)
	}
	if len(e.GetData()) == 0 { // appended by raft when a leader is elected
		return nil
	}
	var record logRecord
	if err := json.Unmarshal(e.GetData(), &record); err != nil {
		return fmt.Errorf("entry %d: %w", m.appliedIndex, err)
	}
	s := &m.content.State
	inForce, pending := s.InForce.Version, s.Pending
	err := s.Apply(&record.Entry)
	if record.Entry.Kind == agreement.KindLeaseExpired {
		delete(m.expiring, record.Entry.Sidecar)
	}
	if s.InForce.Version != inForce || s.Pending != pending {
		close(m.changed)
		m.changed = make(chan struct{})
		slog.Info("council: settings state changed", "kind", record.Entry.Kind, "in_force", s.InForce.Version, "next", s.Pending != nil, "index", m.appliedIndex)
	}
	if result := m.entryWaiters[record.Number]; result != nil {
		result <- err
		delete(m.entryWaiters, record.Number)
	}
	return nil
}

// restoreSnapshot replaces the replicated state by that of a snapshot.
func (m *Member) restoreSnapshot(snap *raftpb.Snapshot) error {
	var state replicatedState
	if err := json.Unmarshal(snap.GetData(), &state); err != nil {
		return fmt.Errorf("council: decode the snapshot: %w", err)
	}
	if state.Fleet != m.cfg.Fleet {
		return fmt.Errorf("council: the snapshot belongs to fleet %q, not %q: %w", state.Fleet, m.cfg.Fleet, ErrForeignFolder)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.content, m.confState = state, snap.GetMetadata().GetConfState()
	m.appliedIndex, m.snapshotIndex = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex()
	m.statusIndex = m.appliedIndex
	close(m.changed)
	m.changed = make(chan struct{})
	m.transport.setMembers(m.id, state.Members)
	return nil
}

// compactLog takes a snapshot and compacts the log after compactInterval applied entries. It also
// does so when the members have changed, as a new member rejects a snapshot that does not contain
// it.
func (m *Member) compactLog() error {
	if m.appliedIndex < m.snapshotIndex+compactInterval && !m.hasChangedMembers {
		return nil
	}
	m.hasChangedMembers = false
	text, err := json.Marshal(&m.content)
	if err != nil {
		return err
	}
	snap, err := m.raftStorage.CreateSnapshot(m.appliedIndex, m.confState, text)
	if err != nil {
		return fmt.Errorf("council: snapshot: %w", err)
	}
	m.snapshotIndex = m.appliedIndex
	firstKept := uint64(0)
	if m.appliedIndex > compactKeepEntries {
		firstKept = m.appliedIndex - compactKeepEntries
		if err := m.raftStorage.Compact(firstKept); err != nil && !errors.Is(err, raft.ErrCompacted) {
			return fmt.Errorf("council: %w", err)
		}
	}
	return m.store.compact(snap, firstKept+1)
}

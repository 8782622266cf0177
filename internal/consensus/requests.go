package consensus

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"time"

	"go.etcd.io/raft/v3"

	"chalkrack/internal/agreement"
)

// enqueue queues a function for the goroutine and does not wait until it has run.
func (m *Member) enqueue(ctx context.Context, work func()) error {
	select {
	case m.work <- work:
		return nil
	case <-m.done:
		return ErrStopping
	case <-ctx.Done():
		return ErrTimeout
	}
}

// awaitAsLeader runs a function on the goroutine if this member leads, and waits for up to
// commitTimeout until the outcome is sent to result. An error returned by the function is the
// outcome as well.
func (m *Member) awaitAsLeader(ctx context.Context, work func(result chan error) error) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	result := make(chan error, 1)
	err := m.enqueue(ctx, func() {
		if m.leases == nil {
			result <- ErrNotLeader
		} else if err := work(result); err != nil {
			result <- err
		}
	})
	if err != nil {
		return err
	}
	select {
	case err = <-result:
	case <-m.done:
		err = ErrStopping
	case <-ctx.Done():
		return ErrTimeout
	}
	if errors.Is(err, raft.ErrProposalDropped) {
		return ErrNotLeader
	}
	return err
}

// ProposeEntry proposes an entry and waits until it is applied. An error of package agreement says
// why the entry has no effect. After ErrTimeout or ErrStopping the entry may still be applied.
func (m *Member) ProposeEntry(ctx context.Context, e agreement.Entry) error {
	return m.awaitAsLeader(ctx, func(result chan error) error { return m.propose(&e, result) })
}

// ConfirmRead is the barrier of a linearizable read: it waits until a majority has confirmed, after
// the call, that this member leads, and until all entries committed before the call are applied
// here.
func (m *Member) ConfirmRead(ctx context.Context) error {
	return m.awaitAsLeader(ctx, func(result chan error) error {
		m.lastNumber++
		m.readWaiters[m.lastNumber] = result
		b, err := json.Marshal(m.lastNumber)
		if err == nil {
			m.node.ReadIndex(b)
		}
		return err
	})
}

// Renew records the versions that a sidecar's request reports, renews its lease if possible, and
// returns the response. While there is nothing new to report, it delays the response for up to
// hold.
func (m *Member) Renew(ctx context.Context, request agreement.Request, hold time.Duration) (response agreement.Response, err error) {
	arrived := bootTime()
	if err := m.ConfirmRead(ctx); err != nil {
		return response, err
	}
	for _, e := range m.reportedEntries(&request) {
		// An entry without effect, such as an outdated report, does not prevent a response.
		if err := m.ProposeEntry(ctx, e); errors.Is(err, ErrNotLeader) || errors.Is(err, ErrTimeout) || errors.Is(err, ErrStopping) {
			return response, err
		}
	}
	granted := make(chan bool, 1)
	err = m.enqueue(ctx, func() {
		c, ok := m.content.State.Sidecars[request.Sidecar]
		hasLease := m.leases != nil && ok && c.Incarnation == request.Incarnation && !c.LeaseExpired && !m.expiring[request.Sidecar]
		if hasLease {
			m.leases.RecordGrant(request.Sidecar, arrived)
		}
		granted <- hasLease
	})
	if err != nil {
		return response, err
	}
	select {
	case response.LeaseGranted = <-granted:
	case <-m.done:
		return response, ErrStopping
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for {
		m.mu.Lock()
		s, changed := &m.content.State, m.changed
		isUpToDate := s.InForce.Version == request.ActiveVersion && (s.Pending == nil || s.Pending.Version == request.PreparedVersion || s.Pending.Version == request.RejectedVersion) && (s.Pending != nil || request.PreparedVersion <= s.InForce.Version)
		inForce := s.InForce
		response.Seq, response.Index, response.Pending, response.InForceOmitted = request.Seq, m.statusIndex, s.Pending, inForce.Version == request.ActiveVersion
		m.mu.Unlock()
		if response.InForce = nil; !response.InForceOmitted {
			response.InForce = &inForce
		}
		if !isUpToDate || hold <= 0 || !response.LeaseGranted {
			return response, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return response, nil
		case <-ctx.Done():
			return response, ctx.Err()
		case <-m.done:
			return response, ErrStopping
		}
	}
}

// reportedEntries returns the entries that record in the log what a request reports.
func (m *Member) reportedEntries(request *agreement.Request) (entries []agreement.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.content.State
	c, ok := s.Sidecars[request.Sidecar]
	if !ok || c.LeaseExpired || c.Incarnation != request.Incarnation {
		entries = append(entries, agreement.Entry{Kind: agreement.KindJoin, Sidecar: request.Sidecar, Incarnation: request.Incarnation, Version: request.ActiveVersion})
		c = agreement.Sidecar{Incarnation: request.Incarnation, ActiveVersion: request.ActiveVersion}
	}
	if request.ActiveVersion > c.ActiveVersion {
		entries = append(entries, agreement.Entry{Kind: agreement.KindActive, Sidecar: request.Sidecar, Incarnation: request.Incarnation, Version: request.ActiveVersion})
	}
	switch next := s.Pending; {
	case next == nil:
	case request.PreparedVersion == next.Version && c.PreparedVersion < request.PreparedVersion:
		entries = append(entries, agreement.Entry{Kind: agreement.KindPrepared, Sidecar: request.Sidecar, Incarnation: request.Incarnation, Version: request.PreparedVersion})
	case request.RejectedVersion == next.Version:
		entries = append(entries, agreement.Entry{Kind: agreement.KindRejected, Sidecar: request.Sidecar, Incarnation: request.Incarnation, Version: request.RejectedVersion, Reason: request.RejectReason})
	}
	return entries
}

// Status is the state of the council as one member knows it.
type Status struct {
	Fleet           string                       `json:"fleet"`
	Name            string                       `json:"name"`
	Leader          Endpoint                     `json:"leader"` // empty: not known
	IsLeader        bool                         `json:"leads"`
	Index           uint64                       `json:"index"`
	Members         map[uint64]Endpoint          `json:"members"`
	InForce         agreement.Doc                `json:"in_force"`
	IsSettled       bool                         `json:"settled"`
	Pending         *agreement.Doc               `json:"next,omitempty"`
	PendingSidecars []string                     `json:"waits,omitempty"`
	Sidecars        map[string]agreement.Sidecar `json:"cars"`
	Results         []agreement.ProposalResult   `json:"endings,omitempty"`
	MaxStaleness    time.Duration                `json:"bound_ns"` // T, as LeaseTimes.MaxStaleness returns it
}

// Status returns the state that this member knows, which may be out of date. Call ConfirmRead
// before it for a linearizable read.
func (m *Member) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.content.State
	members := maps.Clone(m.content.Members)
	for id, x := range members {
		x.Addr = m.transport.addrOf(x)
		members[id] = x
	}
	return Status{Fleet: m.cfg.Fleet, Name: m.cfg.Name, Leader: members[m.leaderID], IsLeader: m.isLeader, Index: m.statusIndex, Members: members,
		InForce: s.InForce, IsSettled: s.IsSettled(), Pending: s.Pending, PendingSidecars: s.PendingSidecars(), Sidecars: maps.Clone(s.Sidecars), Results: append([]agreement.ProposalResult(nil), s.Results...), MaxStaleness: m.cfg.LeaseTimes().MaxStaleness()}
}

// Close stops the member. A leader first tries, for up to transferTimeout, to transfer the
// leadership to the active member whose log is the most complete. Close returns the error that
// stopped the member before, if any.
func (m *Member) Close() error {
	m.closing.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
		defer cancel()
		transferring := make(chan bool, 1)
		m.enqueue(ctx, func() {
			best, match := uint64(0), uint64(0)
			defer func() { transferring <- best != 0 }()
			if m.leases == nil {
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
		case isTransferring := <-transferring:
			for isTransferring && ctx.Err() == nil && m.Status().IsLeader {
				time.Sleep(time.Duration(m.cfg.HeartbeatInterval) / 4)
			}
		case <-ctx.Done():
		case <-m.done:
		}
		close(m.stop)
	})
	<-m.done
	return m.failed
}

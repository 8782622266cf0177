package agreement

import (
	"time"
)

// maxOutstandingRequests limits the requests for which a sidecar still accepts a response.
const maxOutstandingRequests = 8

// Request is sent periodically by a sidecar to renew its lease and to report which versions it
// has active, has prepared or has rejected.
type Request struct {
	Sidecar         string `json:"car"`
	Incarnation     uint64 `json:"inc"`
	Seq             uint64 `json:"seq"` // numbers the requests of one incarnation
	ActiveVersion   uint64 `json:"acts"`
	PreparedVersion uint64 `json:"ready"` // 0: none
	RejectedVersion uint64 `json:"no"`    // 0: none
	RejectReason    string `json:"why,omitempty"`
	SeenIndex       uint64 `json:"seen"` // log index of the newest response received; older ones are ignored
}

// Response is the response to a Request. Its content was current at some time between the arrival
// of the request and the sending of the response.
type Response struct {
	Seq          uint64 `json:"seq"`
	Index        uint64 `json:"index"` // the log index that the content reflects
	LeaseGranted bool   `json:"lease"` // the lease was granted, counted from when the request was sent
	InForce      *Doc   `json:"force,omitempty"`
	Pending      *Doc   `json:"next,omitempty"`
	// InForceOmitted means that the version in force is the active version of the request, and is
	// omitted.
	InForceOmitted bool `json:"held,omitempty"`
}

// PersistentState is the part of a sidecar's state that must survive a restart: what it has
// reported to the council.
type PersistentState struct {
	Active   Doc  `json:"acts"`
	Prepared *Doc `json:"next,omitempty"` // nil: none
}

// Participant decides which version and levels one sidecar may apply. It is not safe for concurrent
// use. Its times come from a monotonic clock that also counts while the machine is suspended.
type Participant struct {
	name        string
	incarnation uint64
	times       LeaseTimes

	active          Doc
	prepared        *Doc // it is not known yet whether this version comes into force; nil: none
	rejectedVersion uint64
	rejectReason    string
	leaseEnd        time.Duration // end of the lease; negative before the first one
	index           uint64        // log index of the newest response
	seq             uint64
	outstanding     []sentRequest // oldest first
}

// sentRequest is a request that a response may still come for.
type sentRequest struct {
	seq    uint64
	sentAt time.Duration
}

// NewParticipant returns the Participant of a sidecar that has just started as the given
// incarnation, with the state that its previous incarnation stored. It has no lease.
func NewParticipant(name string, incarnation uint64, times LeaseTimes, state PersistentState) *Participant {
	return &Participant{name: name, incarnation: incarnation, times: times, active: state.Active, prepared: state.Prepared, leaseEnd: -1}
}

// PersistentState returns the state that must be on disk before the next request is sent.
func (p *Participant) PersistentState() PersistentState { return PersistentState{p.active, p.prepared} }

// NextRequest returns the next request, to be sent at now.
func (p *Participant) NextRequest(now time.Duration) Request {
	p.seq++
	p.outstanding = append(p.outstanding, sentRequest{p.seq, now})
	p.outstanding = p.outstanding[max(0, len(p.outstanding)-maxOutstandingRequests):]
	r := Request{Sidecar: p.name, Incarnation: p.incarnation, Seq: p.seq, ActiveVersion: p.active.Version, RejectedVersion: p.rejectedVersion, RejectReason: p.rejectReason, SeenIndex: p.index}
	if p.prepared != nil {
		r.PreparedVersion = p.prepared.Version
	}
	return r
}

// Actions lists what a sidecar has to do after a response.
type Actions struct {
	// Prepare is a version that the sidecar must check, alone and together with the settings it
	// runs, and then report with RecordPrepareResult. The active version does not change.
	Prepare *Doc
	// Activate is a version in force that the sidecar must apply from now on. It has been checked,
	// unless the sidecar had no contact with the council while the version was prepared.
	Activate *Doc
	// DiscardPrepared means that the prepared version never came into force and is to be discarded.
	DiscardPrepared bool
}

// HandleResponse processes a response received at now. It ignores a response older than one already
// processed, and one to a request that is not outstanding.
func (p *Participant) HandleResponse(now time.Duration, response Response) (actions Actions) {
	sentAt := time.Duration(-1)
	for _, s := range p.outstanding {
		if s.seq == response.Seq {
			sentAt = s.sentAt
		}
	}
	if sentAt < 0 || response.Index < p.index || response.InForce == nil && !response.InForceOmitted {
		return actions
	}
	p.index = response.Index
	if response.LeaseGranted {
		p.leaseEnd = max(p.leaseEnd, sentAt+p.times.Lease)
	}
	if response.InForce != nil && response.InForce.Version > p.active.Version {
		p.active = *response.InForce
		actions.Activate = response.InForce
		if p.prepared != nil && p.prepared.Version <= p.active.Version {
			p.prepared = nil
		}
	}
	switch {
	case response.Pending == nil || response.Pending.Version <= p.active.Version:
		actions.DiscardPrepared = p.prepared != nil
		p.prepared, p.rejectedVersion, p.rejectReason = nil, 0, ""
	case p.prepared != nil && p.prepared.Version != response.Pending.Version:
		actions.DiscardPrepared = true
		p.prepared, p.rejectedVersion, p.rejectReason = nil, 0, ""
		actions.Prepare = response.Pending
	case p.prepared == nil && p.rejectedVersion != response.Pending.Version:
		actions.Prepare = response.Pending
	}
	return actions
}

// RecordPrepareResult records that a version was checked and can be applied, or, if err is not nil,
// why it can't be. A prepared version becomes part of the persistent state; either result is
// reported with the next request.
func (p *Participant) RecordPrepareResult(doc *Doc, err error) {
	switch {
	case doc.Version <= p.active.Version:
	case err != nil:
		p.rejectedVersion, p.rejectReason = doc.Version, truncateReason(err.Error())
	default:
		p.prepared, p.rejectedVersion, p.rejectReason = doc, 0, ""
	}
}

// truncateReason returns at most the first MaxKeyBytes bytes of s.
func truncateReason(s string) string { return s[:min(len(s), MaxKeyBytes)] }

// HasLease reports whether the sidecar holds a lease at now. The lease ends Margin early.
func (p *Participant) HasLease(now time.Duration) bool { return now < p.leaseEnd-p.times.Margin }

// LeaseExpiry returns the time from which HasLease is false unless the lease is renewed before. The
// sidecar may then be stale: a stricter version may come into force without it.
func (p *Participant) LeaseExpiry() time.Duration { return p.leaseEnd - p.times.Margin }

// Level returns the level of key to apply at now. Without a lease it is the highest of the
// levels of the active and the prepared version and of the active version's level for stale
// sidecars.
func (p *Participant) Level(now time.Duration, key string) uint64 {
	level := p.active.Rules[key]
	if p.HasLease(now) {
		return level
	}
	level = max(level, p.active.StaleLevel(key))
	if p.prepared != nil {
		level = max(level, p.prepared.Rules[key])
	}
	return level
}

// Active returns the active version.
func (p *Participant) Active() *Doc { return &p.active }

package agreement

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Kind is the type of a log entry.
type Kind string

// Kinds of entries.
const (
	KindPropose      Kind = "propose"  // proposes Doc, written against a base version
	KindWithdraw     Kind = "withdraw" // withdraws the pending proposal Version
	KindJoin         Kind = "join"     // adds a new or restarted sidecar that has Version active
	KindPrepared     Kind = "yes"      // a sidecar has prepared Version
	KindRejected     Kind = "no"       // a sidecar rejects Version for Reason
	KindActive       Kind = "acts"     // a sidecar has Version active
	KindLeaseExpired Kind = "gone"     // the lease of a sidecar's Incarnation has expired
	KindRemove       Kind = "forget"   // an operator removes a sidecar whose lease has expired
)

// Entry is one entry of the log. Which fields are set depends on its kind.
type Entry struct {
	Kind        Kind   `json:"kind"`
	Sidecar     string `json:"car,omitempty"`
	Incarnation uint64 `json:"inc,omitempty"` // of the sidecar
	Version     uint64 `json:"version,omitempty"`
	BaseVersion uint64 `json:"base,omitempty"`
	Doc         *Doc   `json:"doc,omitempty"`
	Who         string `json:"who,omitempty"`
	Reason      string `json:"reason,omitempty"`
}

// Sidecar is the council's record of one sidecar.
type Sidecar struct {
	Incarnation     uint64 `json:"inc"`
	ActiveVersion   uint64 `json:"acts"`           // the version last reported as active
	PreparedVersion uint64 `json:"ready"`          // the highest version reported as prepared
	LeaseExpired    bool   `json:"gone,omitempty"` // its lease has expired
}

// Outcome is the state of a proposal.
type Outcome string

// Outcomes of a proposal.
const (
	OutcomePreparing Outcome = "preparing" // sidecars are still preparing it
	OutcomeInForce   Outcome = "in force"
	OutcomeRefused   Outcome = "refused"   // rejected by a sidecar
	OutcomeWithdrawn Outcome = "withdrawn" // by an operator
)

// ProposalResult is the result of a proposal. It is kept so that a repeated proposal gets the same
// result.
type ProposalResult struct {
	Key     string  `json:"key"`
	Version uint64  `json:"version"`
	Outcome Outcome `json:"outcome"`
	Who     string  `json:"who,omitempty"`
	Reason  string  `json:"reason,omitempty"`
}

// State is the replicated state. It changes only by Apply, in the order of the log, and is the
// same at each member that has applied the same entries. The zero State is that of an empty log.
type State struct {
	LastVersion uint64             `json:"last"` // the highest version number assigned so far
	InForce     Doc                `json:"force"`
	Pending     *Doc               `json:"next,omitempty"` // the pending proposal; nil: none
	Sidecars    map[string]Sidecar `json:"cars,omitempty"`
	Superseded  map[uint64]Doc     `json:"old,omitempty"` // superseded versions that sidecars have active, without bodies
	Results     []ProposalResult   `json:"endings,omitempty"`
}

// Errors of Apply. An entry that fails changes nothing. The messages call a sidecar silent if its
// lease has expired.
var (
	ErrBaseVersion      = errors.New("another version is in force than the one that this was written against")
	ErrProposalPending  = errors.New("another proposal is pending")
	ErrNotSettled       = errors.New("the version in force is not settled yet")
	ErrNoProposal       = errors.New("no such proposal is pending")
	ErrUnknownSidecar   = errors.New("there is no such sidecar")
	ErrOtherIncarnation = errors.New("the sidecar is known with another incarnation")
	ErrLeaseActive      = errors.New("its lease has not expired: only a silent sidecar can be removed")
	ErrStaleSidecar     = errors.New("a silent sidecar may still apply a less strict level")
	ErrUnknownVersion   = errors.New("the rules of that version are no longer known: the sidecar must activate the version in force first")
	ErrLimit            = errors.New("too many")
	ErrInvalidEntry     = errors.New("invalid log entry")
)

// IsSettled reports whether each live sidecar has the version in force active.
func (s *State) IsSettled() bool {
	for _, sidecar := range s.Sidecars {
		if !sidecar.LeaseExpired && sidecar.ActiveVersion < s.InForce.Version {
			return false
		}
	}
	return true
}

// PendingSidecars returns the names, sorted, of the live sidecars that have not prepared the
// pending proposal or do not have the version in force active.
func (s *State) PendingSidecars() (names []string) {
	for name, sidecar := range s.Sidecars {
		if !sidecar.LeaseExpired && (s.Pending != nil && sidecar.PreparedVersion < s.Pending.Version || sidecar.ActiveVersion < s.InForce.Version) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Apply applies one log entry. An error says why the entry has no effect; it depends only on the
// log, so each member returns the same one.
func (s *State) Apply(e *Entry) error {
	switch e.Kind {
	case KindPropose:
		return s.propose(e)
	case KindWithdraw:
		if s.Pending == nil || s.Pending.Version != e.Version {
			return fmt.Errorf("version %d: %w", e.Version, ErrNoProposal)
		}
		s.finishProposal(OutcomeWithdrawn, e.Who, e.Reason)
		return nil
	case KindJoin:
		return s.join(e)
	case KindRemove:
		sidecar, ok := s.Sidecars[e.Sidecar]
		switch {
		case !ok:
			return fmt.Errorf("%q: %w", e.Sidecar, ErrUnknownSidecar)
		case !sidecar.LeaseExpired:
			return fmt.Errorf("%q: %w", e.Sidecar, ErrLeaseActive)
		}
		delete(s.Sidecars, e.Sidecar)
		s.advance()
		return nil
	}
	sidecar, ok := s.Sidecars[e.Sidecar]
	switch {
	case !ok:
		return fmt.Errorf("%q: %w", e.Sidecar, ErrUnknownSidecar)
	case sidecar.Incarnation != e.Incarnation:
		return fmt.Errorf("%q: %w", e.Sidecar, ErrOtherIncarnation)
	case e.Kind == KindLeaseExpired:
		sidecar.LeaseExpired = true
	case sidecar.LeaseExpired: // its lease has expired: it must join first
		return fmt.Errorf("%q: %w", e.Sidecar, ErrUnknownSidecar)
	case e.Kind == KindPrepared:
		if s.Pending == nil || s.Pending.Version != e.Version {
			return fmt.Errorf("version %d: %w", e.Version, ErrNoProposal)
		}
		sidecar.PreparedVersion = max(sidecar.PreparedVersion, e.Version)
	case e.Kind == KindRejected:
		if s.Pending == nil || s.Pending.Version != e.Version {
			return fmt.Errorf("version %d: %w", e.Version, ErrNoProposal)
		}
		s.finishProposal(OutcomeRefused, e.Sidecar, e.Reason)
		return nil
	case e.Kind == KindActive:
		if e.Version > s.InForce.Version {
			return fmt.Errorf("version %d: %w", e.Version, ErrNoProposal)
		}
		sidecar.ActiveVersion = max(sidecar.ActiveVersion, e.Version)
	default:
		return fmt.Errorf("%q: %w", e.Kind, ErrInvalidEntry)
	}
	s.Sidecars[e.Sidecar] = sidecar
	s.advance()
	return nil
}

// propose makes the document of an entry the pending proposal, with the next version number. A
// proposal whose key is known already has no effect and no error.
func (s *State) propose(e *Entry) error {
	if e.Doc == nil {
		return fmt.Errorf("no document: %w", ErrInvalidEntry)
	}
	doc := *e.Doc
	for _, result := range s.Results { // a repeated proposal
		if result.Key == doc.Key {
			return nil
		}
	}
	if s.Pending != nil && s.Pending.Key == doc.Key {
		return nil
	}
	if err := doc.Validate(); err != nil {
		return err
	}
	switch {
	case e.BaseVersion != s.InForce.Version:
		return fmt.Errorf("version %d, not %d: %w", s.InForce.Version, e.BaseVersion, ErrBaseVersion)
	case s.Pending != nil:
		return fmt.Errorf("version %d: %w", s.Pending.Version, ErrProposalPending)
	case !s.IsSettled():
		return fmt.Errorf("version %d: %w", s.InForce.Version, ErrNotSettled)
	case len(s.Superseded) >= maxSuperseded:
		return fmt.Errorf("versions that silent sidecars have active: %w", ErrLimit)
	}
	if err := s.checkStaleSidecars(&doc); err != nil {
		return err
	}
	s.LastVersion++
	doc.Version = s.LastVersion
	s.Pending = &doc
	s.advance()
	return nil
}

// checkStaleSidecars returns an error if doc requires a stricter level of a class than is applied
// by a sidecar that has an expired lease and has not prepared doc. Server keys are not checked:
// such a sidecar can't learn which servers were taken out, and that does not hold up the version.
func (s *State) checkStaleSidecars(doc *Doc) error {
	for _, name := range slices.Sorted(maps.Keys(s.Sidecars)) {
		sidecar := s.Sidecars[name]
		if !sidecar.LeaseExpired || doc.Version != 0 && sidecar.PreparedVersion == doc.Version { // a prepared sidecar applies the levels of doc too
			continue
		}
		active := s.docOf(sidecar.ActiveVersion)
		for _, key := range slices.Sorted(maps.Keys(doc.Rules)) {
			if len(key) > len(ClassPrefix) && key[:len(ClassPrefix)] == ClassPrefix && active.StaleLevel(key) < doc.Rules[key] {
				return fmt.Errorf("%s: sidecar %q, silent with version %d active: %w", key, name, sidecar.ActiveVersion, ErrStaleSidecar)
			}
		}
	}
	return nil
}

// docOf returns a version that a sidecar may have active, or a zero Doc if the version is not
// known.
func (s *State) docOf(version uint64) *Doc {
	if version == s.InForce.Version {
		return &s.InForce
	}
	d := s.Superseded[version]
	return &d
}

// join adds a sidecar, or replaces the record of its previous incarnation.
func (s *State) join(e *Entry) error {
	if e.Sidecar == "" || len(e.Sidecar) > MaxKeyBytes {
		return fmt.Errorf("a sidecar's name has 1 to %d bytes: %w", MaxKeyBytes, ErrInvalidEntry)
	}
	sidecar, ok := s.Sidecars[e.Sidecar]
	switch {
	case !ok && len(s.Sidecars) >= MaxSidecars:
		return fmt.Errorf("sidecars: %w", ErrLimit)
	case ok && e.Incarnation < sidecar.Incarnation:
		return fmt.Errorf("%q: %w", e.Sidecar, ErrOtherIncarnation)
	case ok && e.Incarnation == sidecar.Incarnation && !sidecar.LeaseExpired:
		return nil
	case e.Version > s.InForce.Version: // this council never had that version
		return fmt.Errorf("%q has version %d active, %d is in force: %w", e.Sidecar, e.Version, s.InForce.Version, ErrInvalidEntry)
	}
	if _, isSuperseded := s.Superseded[e.Version]; e.Version != 0 && e.Version != s.InForce.Version && !isSuperseded { // its rules and floors are no longer known
		return fmt.Errorf("%q has version %d active, %d is in force: %w", e.Sidecar, e.Version, s.InForce.Version, ErrUnknownVersion)
	}
	if s.Sidecars == nil {
		s.Sidecars = make(map[string]Sidecar)
	}
	// The previous incarnation may have applied less strict rules. Calls that it sent may still
	// run, but it sends no more.
	s.Sidecars[e.Sidecar] = Sidecar{Incarnation: e.Incarnation, ActiveVersion: e.Version}
	s.advance()
	return nil
}

// advance brings the pending proposal into force once each live sidecar has prepared it, and drops
// superseded versions that are no longer needed.
func (s *State) advance() {
	if s.Pending != nil && s.isReady() {
		superseded := s.InForce
		if s.Superseded == nil {
			s.Superseded = make(map[uint64]Doc)
		}
		superseded.Body = nil
		s.Superseded[superseded.Version] = superseded
		pending := s.Pending
		s.finishProposal(OutcomeInForce, "", "")
		s.InForce = *pending
	}
	s.pruneSuperseded()
}

// isReady reports whether each live sidecar has prepared the pending proposal and no sidecar whose
// lease has expired meanwhile may apply less strict levels.
func (s *State) isReady() bool {
	for _, sidecar := range s.Sidecars {
		if !sidecar.LeaseExpired && sidecar.PreparedVersion != s.Pending.Version {
			return false
		}
	}
	return s.checkStaleSidecars(s.Pending) == nil
}

// finishProposal records the result of the pending proposal and removes it.
func (s *State) finishProposal(outcome Outcome, who, reason string) {
	s.Results = append(s.Results, ProposalResult{s.Pending.Key, s.Pending.Version, outcome, who, reason})
	s.Results = s.Results[max(0, len(s.Results)-MaxResults):]
	s.Pending = nil
}

// pruneSuperseded drops the superseded versions that no sidecar has active.
func (s *State) pruneSuperseded() {
	for version := range s.Superseded {
		isActive := false
		for _, sidecar := range s.Sidecars {
			isActive = isActive || sidecar.ActiveVersion == version
		}
		if !isActive {
			delete(s.Superseded, version)
		}
	}
}

// Result returns the state or result of the proposal with the given key; known is false if
// there is no record of it.
func (s *State) Result(key string) (result ProposalResult, known bool) {
	if s.Pending != nil && s.Pending.Key == key {
		return ProposalResult{Key: key, Version: s.Pending.Version, Outcome: OutcomePreparing}, true
	}
	for _, x := range s.Results {
		if x.Key == key {
			return x, true
		}
	}
	return result, false
}

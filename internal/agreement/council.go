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

// ProposalResult is the result of a proposal, kept so that a repeated proposal gets the same result.
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

// Errors of Apply. An entry that fails changes nothing.
var (
	ErrBaseVersion      = errors.New("another version is in force than the one that this was written against")
	ErrProposalPending  = errors.New("another proposal is on its way")
	ErrNotSettled       = errors.New("the version in force is not settled yet")
	ErrNoProposal       = errors.New("there is no such proposal on its way")
	ErrUnknownSidecar   = errors.New("there is no such sidecar")
	ErrOtherIncarnation = errors.New("another start of this sidecar is known")
	ErrLeaseActive      = errors.New("it is not silent: its lease runs")
	ErrStaleSidecar     = errors.New("a sidecar that is silent may still act on less")
	ErrUnknownVersion   = errors.New("what that version asked is not known any more: it takes the one in force first")
	ErrLimit            = errors.New("too many")
	ErrInvalidEntry     = errors.New("the entry makes no sense")
)

// IsSettled reports whether each live sidecar has the version in force active.
func (s *State) IsSettled() bool {
	for _, c := range s.Sidecars {
		if !c.LeaseExpired && c.ActiveVersion < s.InForce.Version {
			return false
		}
	}
	return true
}

// PendingSidecars returns the names, sorted, of the live sidecars that have not prepared the
// pending proposal or do not have the version in force active.
func (s *State) PendingSidecars() (names []string) {
	for name, c := range s.Sidecars {
		if !c.LeaseExpired && (s.Pending != nil && c.PreparedVersion < s.Pending.Version || c.ActiveVersion < s.InForce.Version) {
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
		c, ok := s.Sidecars[e.Sidecar]
		switch {
		case !ok:
			return fmt.Errorf("%q: %w", e.Sidecar, ErrUnknownSidecar)
		case !c.LeaseExpired:
			return fmt.Errorf("%q: %w", e.Sidecar, ErrLeaseActive)
		}
		delete(s.Sidecars, e.Sidecar)
		s.advance()
		return nil
	}
	c, ok := s.Sidecars[e.Sidecar]
	switch {
	case !ok:
		return fmt.Errorf("%q: %w", e.Sidecar, ErrUnknownSidecar)
	case c.Incarnation != e.Incarnation:
		return fmt.Errorf("%q: %w", e.Sidecar, ErrOtherIncarnation)
	case e.Kind == KindLeaseExpired:
		c.LeaseExpired = true
	case c.LeaseExpired: // its lease has expired: it must join first
		return fmt.Errorf("%q: %w", e.Sidecar, ErrUnknownSidecar)
	case e.Kind == KindPrepared:
		if s.Pending == nil || s.Pending.Version != e.Version {
			return fmt.Errorf("version %d: %w", e.Version, ErrNoProposal)
		}
		c.PreparedVersion = max(c.PreparedVersion, e.Version)
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
		c.ActiveVersion = max(c.ActiveVersion, e.Version)
	default:
		return fmt.Errorf("%q: %w", e.Kind, ErrInvalidEntry)
	}
	s.Sidecars[e.Sidecar] = c
	s.advance()
	return nil
}

// propose makes the document of an entry the pending proposal, with the next version number. A
// proposal whose key is known already has no effect and no error.
func (s *State) propose(e *Entry) error {
	if e.Doc == nil {
		return fmt.Errorf("no document: %w", ErrInvalidEntry)
	}
	d := *e.Doc
	for _, x := range s.Results { // a repeated proposal
		if x.Key == d.Key {
			return nil
		}
	}
	if s.Pending != nil && s.Pending.Key == d.Key {
		return nil
	}
	if err := d.Validate(); err != nil {
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
		return fmt.Errorf("versions that silent sidecars act on: %w", ErrLimit)
	}
	if err := s.checkStaleSidecars(&d); err != nil {
		return err
	}
	s.LastVersion++
	d.Version = s.LastVersion
	s.Pending = &d
	s.advance()
	return nil
}

// checkStaleSidecars returns an error if d requires a stricter level of a class than a sidecar with
// an expired lease applies that has not prepared d. Server keys are not checked: such a sidecar
// can't learn which servers were taken out, and that does not hold up the version.
func (s *State) checkStaleSidecars(d *Doc) error {
	for _, name := range slices.Sorted(maps.Keys(s.Sidecars)) {
		c := s.Sidecars[name]
		if !c.LeaseExpired || d.Version != 0 && c.PreparedVersion == d.Version { // a prepared sidecar applies d's levels too
			continue
		}
		active := s.docOf(c.ActiveVersion)
		for _, key := range slices.Sorted(maps.Keys(d.Rules)) {
			if len(key) > len(ClassPrefix) && key[:len(ClassPrefix)] == ClassPrefix && active.StaleLevel(key) < d.Rules[key] {
				return fmt.Errorf("%s: sidecar %q, silent under version %d: %w", key, name, c.ActiveVersion, ErrStaleSidecar)
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
	c, ok := s.Sidecars[e.Sidecar]
	switch {
	case !ok && len(s.Sidecars) >= MaxSidecars:
		return fmt.Errorf("sidecars: %w", ErrLimit)
	case ok && e.Incarnation < c.Incarnation:
		return fmt.Errorf("%q: %w", e.Sidecar, ErrOtherIncarnation)
	case ok && e.Incarnation == c.Incarnation && !c.LeaseExpired:
		return nil
	case e.Version > s.InForce.Version: // this council never had that version
		return fmt.Errorf("%q acts on version %d, %d is in force: %w", e.Sidecar, e.Version, s.InForce.Version, ErrInvalidEntry)
	}
	if _, isSuperseded := s.Superseded[e.Version]; e.Version != 0 && e.Version != s.InForce.Version && !isSuperseded { // its rules and floors are no longer known
		return fmt.Errorf("%q acts on version %d, %d is in force: %w", e.Sidecar, e.Version, s.InForce.Version, ErrUnknownVersion)
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
	for _, c := range s.Sidecars {
		if !c.LeaseExpired && c.PreparedVersion != s.Pending.Version {
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
		for _, c := range s.Sidecars {
			isActive = isActive || c.ActiveVersion == version
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

package agreed

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Kind is what an entry of the log does.
type Kind string

// Entries.
const (
	Propose  Kind = "propose"  // Doc, against the version Base
	Withdraw Kind = "withdraw" // the proposal on its way, of Version
	Join     Kind = "join"     // a sidecar that was not there, or starts anew, and acts on Version
	Yes      Kind = "yes"      // a sidecar is prepared for Version
	No       Kind = "no"       // it is not, for Reason
	Acts     Kind = "acts"     // a sidecar acts on Version
	Gone     Kind = "gone"     // its lease has ended; Inc is the start that had it
	Forget   Kind = "forget"   // an operator says that a silent one is no more
)

// Entry is one of the log.
type Entry struct {
	Kind    Kind   `json:"kind"`
	Car     string `json:"car,omitempty"`
	Inc     uint64 `json:"inc,omitempty"` // of the sidecar's start
	Version uint64 `json:"version,omitempty"`
	Base    uint64 `json:"base,omitempty"`
	Doc     *Doc   `json:"doc,omitempty"`
	Who     string `json:"who,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// Sidecar is what the council knows of one.
type Sidecar struct {
	Inc   uint64 `json:"inc"`
	Acts  uint64 `json:"acts"`  // the version that it has said it acts on
	Ready uint64 `json:"ready"` // and has said yes to, at the most
	Gone  bool   `json:"gone,omitempty"`
}

// Outcome is what became of a proposal.
type Outcome string

// Outcomes.
const (
	Preparing Outcome = "preparing"
	InForce   Outcome = "in force"
	Refused   Outcome = "refused"   // by a sidecar, for a reason
	Withdrawn Outcome = "withdrawn" // by an operator
)

// Ending is a proposal's, for who asks again.
type Ending struct {
	Key     string  `json:"key"`
	Version uint64  `json:"version"`
	Outcome Outcome `json:"outcome"`
	Who     string  `json:"who,omitempty"`
	Reason  string  `json:"reason,omitempty"`
}

// State is what the log means. It is made by Apply alone, in the log's order, and is the same
// wherever that was. The zero State is of an empty log.
type State struct {
	Last    uint64             `json:"last"` // the highest version that was ever given
	Force   Doc                `json:"force"`
	Next    *Doc               `json:"next,omitempty"`
	Cars    map[string]Sidecar `json:"cars,omitempty"`
	Old     map[uint64]Doc     `json:"old,omitempty"` // what those that are gone act on, without bodies
	Endings []Ending           `json:"endings,omitempty"`
}

// Errors of entries. They change nothing.
var (
	ErrBase      = errors.New("another version is in force than the one that this was written against")
	ErrBusy      = errors.New("another proposal is on its way")
	ErrUnsettled = errors.New("the version in force is not settled yet")
	ErrNone      = errors.New("there is no such proposal on its way")
	ErrCar       = errors.New("there is no such sidecar")
	ErrStarted   = errors.New("another start of this sidecar is known")
	ErrLive      = errors.New("it is not silent: its lease runs")
	ErrFloor     = errors.New("a sidecar that is silent may still act on less")
	ErrForgotten = errors.New("what that version asked is not known any more: it takes the one in force first")
	ErrFull      = errors.New("too many")
	ErrEntry     = errors.New("the entry makes no sense")
)

// Settled says that each live sidecar acts on the version in force.
func (s *State) Settled() bool {
	for _, c := range s.Cars {
		if !c.Gone && c.Acts < s.Force.Version {
			return false
		}
	}
	return true
}

// Waits are the live sidecars that a proposal or the version in force waits for, by name.
func (s *State) Waits() (all []string) {
	for name, c := range s.Cars {
		if !c.Gone && (s.Next != nil && c.Ready < s.Next.Version || c.Acts < s.Force.Version) {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}

// Apply does what an entry says. An error says why it does nothing; it is part of what the log
// means, so that each member gives the same one.
func (s *State) Apply(e *Entry) error {
	switch e.Kind {
	case Propose:
		return s.propose(e)
	case Withdraw:
		if s.Next == nil || s.Next.Version != e.Version {
			return fmt.Errorf("version %d: %w", e.Version, ErrNone)
		}
		s.end(Withdrawn, e.Who, e.Reason)
		return nil
	case Join:
		return s.join(e)
	case Forget:
		c, ok := s.Cars[e.Car]
		switch {
		case !ok:
			return fmt.Errorf("%q: %w", e.Car, ErrCar)
		case !c.Gone:
			return fmt.Errorf("%q: %w", e.Car, ErrLive)
		}
		delete(s.Cars, e.Car)
		s.step()
		return nil
	}
	c, ok := s.Cars[e.Car]
	switch {
	case !ok:
		return fmt.Errorf("%q: %w", e.Car, ErrCar)
	case c.Inc != e.Inc:
		return fmt.Errorf("%q: %w", e.Car, ErrStarted)
	case e.Kind == Gone:
		c.Gone = true
	case c.Gone: // its lease has ended: it joins first
		return fmt.Errorf("%q: %w", e.Car, ErrCar)
	case e.Kind == Yes:
		if s.Next == nil || s.Next.Version != e.Version {
			return fmt.Errorf("version %d: %w", e.Version, ErrNone)
		}
		c.Ready = max(c.Ready, e.Version)
	case e.Kind == No:
		if s.Next == nil || s.Next.Version != e.Version {
			return fmt.Errorf("version %d: %w", e.Version, ErrNone)
		}
		s.end(Refused, e.Car, e.Reason)
		return nil
	case e.Kind == Acts:
		if e.Version > s.Force.Version {
			return fmt.Errorf("version %d: %w", e.Version, ErrNone)
		}
		c.Acts = max(c.Acts, e.Version)
	default:
		return fmt.Errorf("%q: %w", e.Kind, ErrEntry)
	}
	s.Cars[e.Car] = c
	s.step()
	return nil
}

func (s *State) propose(e *Entry) error {
	if e.Doc == nil {
		return fmt.Errorf("no document: %w", ErrEntry)
	}
	d := *e.Doc
	for _, x := range s.Endings { // sent again
		if x.Key == d.Key {
			return nil
		}
	}
	if s.Next != nil && s.Next.Key == d.Key {
		return nil
	}
	if err := d.Validate(); err != nil {
		return err
	}
	switch {
	case e.Base != s.Force.Version:
		return fmt.Errorf("version %d, not %d: %w", s.Force.Version, e.Base, ErrBase)
	case s.Next != nil:
		return fmt.Errorf("version %d: %w", s.Next.Version, ErrBusy)
	case !s.Settled():
		return fmt.Errorf("version %d: %w", s.Force.Version, ErrUnsettled)
	case len(s.Old) >= oldMost:
		return fmt.Errorf("versions that silent sidecars act on: %w", ErrFull)
	}
	if err := s.promised(&d); err != nil {
		return err
	}
	s.Last++
	d.Version = s.Last
	s.Next = &d
	s.step()
	return nil
}

// promised says whether a version asks more than a sidecar that is silent, and has not heard of
// it, acts on. Servers that are out it can't hear of; that is not held against the version.
func (s *State) promised(d *Doc) error {
	for _, name := range slices.Sorted(maps.Keys(s.Cars)) {
		c := s.Cars[name]
		if !c.Gone || d.Version != 0 && c.Ready == d.Version { // who has said yes acts on it too
			continue
		}
		old := s.known(c.Acts)
		for _, key := range slices.Sorted(maps.Keys(d.Rules)) {
			if len(key) > len(ClassKey) && key[:len(ClassKey)] == ClassKey && old.Stale(key) < d.Rules[key] {
				return fmt.Errorf("%s: sidecar %q, silent under version %d: %w", key, name, c.Acts, ErrFloor)
			}
		}
	}
	return nil
}

// known is a version that somebody may act on; the zero Doc where there was none.
func (s *State) known(version uint64) *Doc {
	if version == s.Force.Version {
		return &s.Force
	}
	d := s.Old[version]
	return &d
}

func (s *State) join(e *Entry) error {
	if e.Car == "" || len(e.Car) > KeyMost {
		return fmt.Errorf("a sidecar's name has 1 to %d bytes: %w", KeyMost, ErrEntry)
	}
	c, ok := s.Cars[e.Car]
	switch {
	case !ok && len(s.Cars) >= CarsMost:
		return fmt.Errorf("sidecars: %w", ErrFull)
	case ok && e.Inc < c.Inc:
		return fmt.Errorf("%q: %w", e.Car, ErrStarted)
	case ok && e.Inc == c.Inc && !c.Gone:
		return nil
	case e.Version > s.Force.Version: // it acts on what this council never had
		return fmt.Errorf("%q acts on version %d, %d is in force: %w", e.Car, e.Version, s.Force.Version, ErrEntry)
	}
	if _, old := s.Old[e.Version]; e.Version != 0 && e.Version != s.Force.Version && !old { // nobody knows what it promised
		return fmt.Errorf("%q acts on version %d, %d is in force: %w", e.Car, e.Version, s.Force.Version, ErrForgotten)
	}
	if s.Cars == nil {
		s.Cars = make(map[string]Sidecar)
	}
	// An earlier start may have acted on less: what it sent may still run, no longer.
	s.Cars[e.Car] = Sidecar{Inc: e.Inc, Acts: e.Version}
	s.step()
	return nil
}

// step puts a proposal in force once each live sidecar has said yes.
func (s *State) step() {
	if s.Next != nil && s.ready() {
		was := s.Force
		if s.Old == nil {
			s.Old = make(map[uint64]Doc)
		}
		was.Body = nil
		s.Old[was.Version] = was
		next := s.Next
		s.end(InForce, "", "")
		s.Force = *next
	}
	s.prune()
}

// ready says that each live sidecar is prepared for the proposal, and that none has gone silent
// meanwhile under a version that promises less.
func (s *State) ready() bool {
	for _, c := range s.Cars {
		if !c.Gone && c.Ready != s.Next.Version {
			return false
		}
	}
	return s.promised(s.Next) == nil
}

// end remembers what became of the proposal that was on its way.
func (s *State) end(o Outcome, who, reason string) {
	s.Endings = append(s.Endings, Ending{s.Next.Key, s.Next.Version, o, who, reason})
	s.Endings = s.Endings[max(0, len(s.Endings)-EndingsMost):]
	s.Next = nil
}

// prune forgets versions that nobody who is silent may act on.
func (s *State) prune() {
	for v := range s.Old {
		used := false
		for _, c := range s.Cars {
			used = used || c.Acts == v
		}
		if !used {
			delete(s.Old, v)
		}
	}
}

// Outcome is what became of a proposal, by its key; empty: nothing is known of it.
func (s *State) Outcome(key string) (e Ending, known bool) {
	if s.Next != nil && s.Next.Key == key {
		return Ending{Key: key, Version: s.Next.Version, Outcome: Preparing}, true
	}
	for _, x := range s.Endings {
		if x.Key == key {
			return x, true
		}
	}
	return e, false
}

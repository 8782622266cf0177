package pool

import (
	"sync"

	"chalkrack"
	"chalkrack/internal/membership"
)

// Standby decides which backups serve: all that can while no other member does. It follows the lists
// of a pool's members, after all else that takes members out. Its methods may be called from any
// goroutine; lists must come one after the other.
type Standby struct {
	isBackup map[string]bool
	order    []string // of the members

	mu      sync.Mutex
	entries membership.Servers // as last listed
	applied membership.Servers // as last returned by Apply
}

// NewStandby returns a Standby for the members of p, none of which is listed yet.
func (p *Pool) NewStandby() *Standby {
	s := &Standby{isBackup: make(map[string]bool), entries: make(membership.Servers), applied: make(membership.Servers)}
	for _, m := range p.members {
		s.isBackup[m.Name] = m.Backup
		s.order = append(s.order, m.Name)
	}
	return s
}

// Apply takes a list of the members, or of those that changed, and returns the whole list, with the
// backups that are held back as draining.
func (s *Standby) Apply(l *membership.List) *membership.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries.Apply(l)
	othersServe := false
	for name, e := range s.entries {
		othersServe = othersServe || e.State == chalkrack.Serving && !s.isBackup[name]
	}
	whole := &membership.List{Complete: true}
	for _, name := range s.order {
		e, listed := s.entries[name]
		if !listed {
			continue
		}
		if othersServe && s.isBackup[name] && e.State == chalkrack.Serving {
			e.State = chalkrack.Draining
		}
		whole.Entries = append(whole.Entries, e)
	}
	s.applied.Apply(whole)
	return whole
}

// IsServing reports whether a member may get calls.
func (s *Standby) IsServing(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.applied[name]
	return ok && e.State == chalkrack.Serving
}

// Package pool says which members of a pool of servers may get calls: by the checks that
// they pass or fail, backups only while no other is up, and with a slow start. It has no
// I/O, clock or goroutines. Which member gets a call is the decision module's to say.
//
// The terms and defaults of checks are HAProxy's (Configuration Manual, "server": check,
// inter, rise, fall, backup, slowstart).
package pool

import (
	"fmt"
	"time"

	"chalkrack"
	"chalkrack/internal/membership"
)

// MembersMost bounds a pool.
const MembersMost = 1024

// Member is one server.
type Member struct {
	Name, Address, Zone string
	Weight              float64 // beside the other members; 0: 1
	Backup              bool    // gets calls only while no other member is up
}

// Checks say when a member is up. Without Every all are up always.
type Checks struct {
	Every time.Duration // from one check's beginning to the next
	Rise  int           // passed in a row that bring it up
	Fall  int           // failed in a row that take it down
}

type state struct {
	Member
	up       bool
	row      int           // results in a row that speak against up
	upAt     time.Duration // when it came up; 0: from the beginning
	tried    bool
	draining bool
}

// Pool is the members and their states. One owner calls its methods in turn.
type Pool struct {
	checks  Checks
	members []*state
	byName  map[string]*state
}

// New returns a Pool whose members count as up until their checks say otherwise, as
// HAProxy has it. Errors name the field.
func New(members []Member, checks Checks) (*Pool, error) {
	p := &Pool{checks: checks, byName: make(map[string]*state)}
	switch {
	case len(members) == 0 || len(members) > MembersMost:
		return nil, fmt.Errorf("pool: servers must be 1 to %d", MembersMost)
	case checks.Every < 0:
		return nil, fmt.Errorf("pool: checks.every must be 0 or more")
	case checks.Every > 0 && (checks.Rise < 1 || checks.Fall < 1):
		return nil, fmt.Errorf("pool: checks.rise and fall must be 1 or more")
	}
	for n, m := range members {
		at := fmt.Sprintf("pool: servers[%d].", n)
		switch {
		case m.Name == "" || p.byName[m.Name] != nil:
			return nil, fmt.Errorf("%sname must be set and the only one of its kind, not %q", at, m.Name)
		case m.Address == "":
			return nil, fmt.Errorf("%saddress must be set", at)
		case !(m.Weight >= 0 && m.Weight <= 256):
			return nil, fmt.Errorf("%sweight must be within 0 and 256", at)
		}
		if m.Weight == 0 {
			m.Weight = 1
		}
		s := &state{Member: m, up: true}
		p.members = append(p.members, s)
		p.byName[m.Name] = s
	}
	return p, nil
}

// Result takes a check's result, and says whether the list is another one now. A first
// result counts at once: a member that is down at the start gets no Fall calls on trust.
func (p *Pool) Result(now time.Duration, name string, ok bool) (changed bool) {
	s := p.byName[name]
	if s == nil {
		return false
	}
	first := !s.tried
	s.tried = true
	if ok == s.up {
		s.row = 0
		return false
	}
	need := p.checks.Fall
	if ok {
		need = p.checks.Rise
	}
	if s.row++; s.row < need && !first {
		return false
	}
	s.up, s.row = ok, 0
	if ok {
		s.upAt = max(now, 1)
	}
	return true
}

// Drain has a member finish what it has and get nothing new, or ends that; false if there
// is no such member.
func (p *Pool) Drain(name string, on bool) (known bool) {
	s := p.byName[name]
	if s == nil {
		return false
	}
	s.draining = on
	return true
}

// List is who may get calls now: the members that are up, without backups; if there are
// none, the backups that are up. Members are told as draining otherwise, so that calls
// under way end in peace. A member that came up by its checks counts as just started.
func (p *Pool) List() *membership.List {
	l := &membership.List{Whole: true}
	serving := 0
	for _, backup := range []bool{false, true} {
		for _, s := range p.members {
			if s.Backup != backup {
				continue
			}
			e := membership.Entry{Endpoint: chalkrack.Endpoint{Name: s.Name, Zone: s.Zone, Hint: s.Weight, Started: s.upAt, State: chalkrack.Draining}, Address: s.Address}
			if s.up && !s.draining && (!backup || serving == 0) {
				e.State = chalkrack.Serving
			}
			l.Entries = append(l.Entries, e)
		}
		if !backup {
			for _, e := range l.Entries {
				if e.State == chalkrack.Serving {
					serving++
				}
			}
		}
	}
	return l
}

// View is a member's state for operators.
type View struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Up       bool   `json:"up"`
	Backup   bool   `json:"backup,omitempty"`
	Draining bool   `json:"draining,omitempty"`
	Serving  bool   `json:"serving"`
}

// View is all members' states.
func (p *Pool) View() []View {
	serving := make(map[string]bool)
	for _, e := range p.List().Entries {
		serving[e.Name] = e.State == chalkrack.Serving
	}
	var all []View
	for _, s := range p.members {
		all = append(all, View{s.Name, s.Address, s.up, s.Backup, s.draining, serving[s.Name]})
	}
	return all
}

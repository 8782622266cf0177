// Package pool tracks which members of a server pool are eligible for calls. Members go
// up and down by health check results, backups serve only while no other member does,
// and members that come up are marked for slow start. The package has no I/O, clock or
// goroutines; the decision module selects the member for each call.
//
// The terms and defaults of checks follow HAProxy (Configuration Manual, "server": check,
// inter, rise, fall, backup, slowstart).
package pool

import (
	"fmt"
	"time"

	"chalkrack"
	"chalkrack/internal/membership"
)

// MaxMembers is the maximum number of members of a pool.
const MaxMembers = 1024

// Member is the configuration of one server of a pool.
type Member struct {
	Name, Address, Zone string
	Weight              float64 // relative to the other members, up to 256; 0 means 1
	Backup              bool    // serves only while no other member does
}

// Checks holds the health check thresholds. With an Interval of 0 there are no checks
// and all members stay up.
type Checks struct {
	Interval time.Duration // between the starts of two checks of a member
	Rise     int           // consecutive passes that bring a member up
	Fall     int           // consecutive failures that take a member down
}

// memberState is a member with the state that checks and operators have given it.
type memberState struct {
	Member
	up        bool
	streak    int           // consecutive results that contradict up
	upSince   time.Duration // time of the last change to up; 0: up since the start
	hasResult bool
	draining  bool
}

// Pool holds the members and their states. It is not safe for concurrent use.
type Pool struct {
	checks  Checks
	members []*memberState
	byName  map[string]*memberState
}

// New returns a Pool whose members count as up until a check fails, as in HAProxy. It
// returns an error that names the setting if a member or checks are invalid.
func New(members []Member, checks Checks) (*Pool, error) {
	p := &Pool{checks: checks, byName: make(map[string]*memberState)}
	switch {
	case len(members) == 0 || len(members) > MaxMembers:
		return nil, fmt.Errorf("pool: servers must be 1 to %d", MaxMembers)
	case checks.Interval < 0:
		return nil, fmt.Errorf("pool: checks.every must be 0 or more")
	case checks.Interval > 0 && (checks.Rise < 1 || checks.Fall < 1):
		return nil, fmt.Errorf("pool: checks.rise and fall must be 1 or more")
	}
	for n, m := range members {
		prefix := fmt.Sprintf("pool: servers[%d].", n)
		switch {
		case m.Name == "" || p.byName[m.Name] != nil:
			return nil, fmt.Errorf("%sname must be set and unique, not %q", prefix, m.Name)
		case m.Address == "":
			return nil, fmt.Errorf("%saddress must be set", prefix)
		case !(m.Weight >= 0 && m.Weight <= 256):
			return nil, fmt.Errorf("%sweight must be within 0 and 256", prefix)
		}
		if m.Weight == 0 {
			m.Weight = 1
		}
		s := &memberState{Member: m, up: true}
		p.members = append(p.members, s)
		p.byName[m.Name] = s
	}
	return p, nil
}

// RecordResult records the check result of a member at time now and reports whether the
// member went up or down. The first result takes effect at once, so that a member that is
// down at the start does not get calls until Fall checks have failed. Unknown names are
// ignored.
func (p *Pool) RecordResult(now time.Duration, name string, ok bool) (changed bool) {
	s := p.byName[name]
	if s == nil {
		return false
	}
	first := !s.hasResult
	s.hasResult = true
	if ok == s.up {
		s.streak = 0
		return false
	}
	threshold := p.checks.Fall
	if ok {
		threshold = p.checks.Rise
	}
	if s.streak++; s.streak < threshold && !first {
		return false
	}
	s.up, s.streak = ok, 0
	if ok {
		s.upSince = max(now, 1)
	}
	return true
}

// SetDraining starts or ends draining a member: it finishes its calls and gets no new ones.
// It reports whether the pool has a member of that name.
func (p *Pool) SetDraining(name string, on bool) (known bool) {
	s := p.byName[name]
	if s == nil {
		return false
	}
	s.draining = on
	return true
}

// List returns all members with the state that checks and operators have given them. Those that
// are up and not draining are serving, backups too: Standby holds these back. The rest are listed
// as draining, so that their calls in progress can finish. A member that came up by its checks
// counts as just started.
func (p *Pool) List() *membership.List {
	l := &membership.List{Complete: true}
	for _, s := range p.members {
		e := membership.Entry{Endpoint: chalkrack.Endpoint{Name: s.Name, Zone: s.Zone, Hint: s.Weight, Started: s.upSince, State: chalkrack.Draining}, Address: s.Address}
		if s.up && !s.draining {
			e.State = chalkrack.Serving
		}
		l.Entries = append(l.Entries, e)
	}
	return l
}

// View is the state of one member as shown to operators.
type View struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Up       bool   `json:"up"`
	Backup   bool   `json:"backup,omitempty"`
	Draining bool   `json:"draining,omitempty"`
	Serving  bool   `json:"serving"`
}

// View returns the states of all members, in the configured order. isServing tells which members may
// get calls.
func (p *Pool) View(isServing func(name string) bool) []View {
	var all []View
	for _, s := range p.members {
		all = append(all, View{s.Name, s.Address, s.up, s.Backup, s.draining, isServing(s.Name)})
	}
	return all
}

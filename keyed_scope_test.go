package chalkrack

import (
	"slices"
	"testing"
)

// A keyed request that may have run is repeated only at servers that drop the repeat: those of the scope
// in which it was sent. Guards against a second run when the first server has been replaced under its
// name in another zone or group, or has gone, by the time of the retry.
func TestKeyedScopeIsThatOfTheSend(t *testing.T) {
	replaced := func(zone string, group int) func(*Balancer) {
		return func(b *Balancer) {
			b.ServersChanged(ms, []Endpoint{{Name: "a", Zone: zone, Group: group, Started: ms}})
		}
	}
	for name, c := range map[string]struct {
		scope Scope
		tell  func(*Balancer)
		want  string // the server of the retry; empty: none
	}{
		"zone, nothing is told":      {ScopeZone, func(*Balancer) {}, "sibling"},
		"zone, replaced in another":  {ScopeZone, replaced("y", 1), "sibling"},
		"group, replaced in another": {ScopeGroup, replaced("x", 2), "sibling"},
		"group, replaced elsewhere":  {ScopeGroup, replaced("y", 2), "sibling"},
		"zone, gone": {ScopeZone, func(b *Balancer) {
			b.ServersChanged(ms, []Endpoint{{Name: "a", State: Gone}})
		}, "sibling"},
		"zone, replaced and no sibling": {ScopeZone, func(b *Balancer) {
			replaced("y", 1)(b)
			b.ServersChanged(ms, []Endpoint{{Name: "sibling", State: Gone}})
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Classes[1].Scope = c.scope
			b, host := newTestBalancer(t, cfg, Endpoint{Name: "a", Zone: "x", Group: 1})
			b.disableCopies()
			b.Arrive(0, Request{ID: 1, Class: 1, Deadline: 300 * ms})
			b.ServersChanged(0, []Endpoint{{Name: "sibling", Zone: "x", Group: 1}, {Name: "zone", Zone: "y", Group: 1}, {Name: "group", Zone: "x", Group: 2}, {Name: "both", Zone: "y", Group: 2}})
			if c.scope == ScopeZone {
				b.ServersChanged(0, []Endpoint{{Name: "group", State: Gone}})
			}
			c.tell(b)
			b.AttemptDone(2*ms, 1, 0, Reset, false, LoadReport{})
			want := []string{"a"}
			if c.want != "" {
				want = append(want, c.want)
			}
			if !slices.Equal(host.servers, want) {
				t.Errorf("sent to %v, want %v; decisions %v", host.servers, want, host.decisions)
			}
		})
	}
}

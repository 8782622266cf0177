package chalkrack

import "time"

// Gate tells a Balancer what to leave out while the service is degraded, as in an
// emergency. The Balancer calls it from within its own methods and carries out
// what it says.
type Gate interface {
	Turn(now time.Duration, class int) bool     // whether to refuse a request that arrives
	Copies() bool                               // whether slow requests may be copied
	Probes() bool                               // whether servers may be probed
	Retries(class int) bool                     // whether requests of the class may be retried
	Wait(class int, part float64) time.Duration // least delay to give with a refusal; part is random, from 0 to 1
}

// unrestricted is the policy of a service that is not degraded: it allows
// everything in every zone.
type unrestricted struct{}

func (unrestricted) Turn(time.Duration, int) bool    { return false }
func (unrestricted) Copies() bool                    { return true }
func (unrestricted) Probes() bool                    { return true }
func (unrestricted) Retries(int) bool                { return true }
func (unrestricted) Wait(int, float64) time.Duration { return 0 }

// Zones limits the zones that calls may go to, on behalf of the fleet or its
// operators. The Balancer chooses among the servers that it leaves.
type Zones interface {
	// Room reports whether the zone may take a call of the class.
	Room(now time.Duration, zone string, class int) bool
	// Due returns the zone that the next call should try first, or "" for none.
	// repeats says whether the call may be repeated.
	Due(now time.Duration, repeats bool) (zone string)
}

// Room allows every zone.
func (unrestricted) Room(time.Duration, string, int) bool { return true }

// Due prefers no zone.
func (unrestricted) Due(time.Duration, bool) string { return "" }

// restrictions combines the policies that restrict a Balancer.
type restrictions struct {
	Gate
	Zones
}

// SetGate makes g the Balancer's degradation policy from now on.
func (b *Balancer) SetGate(g Gate) { b.restrictions.Gate = g }

// SetZones makes z the Balancer's zone policy from now on.
func (b *Balancer) SetZones(z Zones) { b.restrictions.Zones = z }

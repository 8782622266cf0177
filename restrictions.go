package chalkrack

import "time"

// DegradationPolicy tells a Balancer what to leave out while the service is degraded, as in an
// emergency. The Balancer calls it from within its own methods and carries out
// what it says.
type DegradationPolicy interface {
	ShouldRefuse(now time.Duration, class int) bool      // whether to refuse a request that arrives
	AllowsCopies() bool                                  // whether slow requests may be copied
	AllowsProbes() bool                                  // whether servers may be probed
	AllowsRetries(class int) bool                        // whether requests of the class may be retried
	MinRetryAfter(class int, part float64) time.Duration // least delay to give with a refusal; part is random, from 0 to 1
}

// unrestricted is the policy of a service that is not degraded: it allows
// everything in every zone.
type unrestricted struct{}

func (unrestricted) ShouldRefuse(time.Duration, int) bool     { return false }
func (unrestricted) AllowsCopies() bool                       { return true }
func (unrestricted) AllowsProbes() bool                       { return true }
func (unrestricted) AllowsRetries(int) bool                   { return true }
func (unrestricted) MinRetryAfter(int, float64) time.Duration { return 0 }

// ZonePolicy limits the zones that calls may go to, on behalf of the fleet or its
// operators. The Balancer chooses among the servers that it leaves.
type ZonePolicy interface {
	// HasRoom reports whether the zone may take a call of the class.
	HasRoom(now time.Duration, zone string, class int) bool
	// PreferredZone returns the zone that the next call should try first, or "" for none.
	// repeats says whether the call may be repeated.
	PreferredZone(now time.Duration, repeats bool) (zone string)
}

// HasRoom allows every zone.
func (unrestricted) HasRoom(time.Duration, string, int) bool { return true }

// PreferredZone prefers no zone.
func (unrestricted) PreferredZone(time.Duration, bool) string { return "" }

// restrictions combines the policies that restrict a Balancer.
type restrictions struct {
	DegradationPolicy
	ZonePolicy
}

// SetDegradationPolicy makes g the Balancer's degradation policy from now on.
func (b *Balancer) SetDegradationPolicy(g DegradationPolicy) { b.restrictions.DegradationPolicy = g }

// SetZonePolicy makes z the Balancer's zone policy from now on.
func (b *Balancer) SetZonePolicy(z ZonePolicy) { b.restrictions.ZonePolicy = z }

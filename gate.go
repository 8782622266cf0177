package chalkrack

import "time"

// Gate is a reduced service that a Balancer asks what to leave out. It decides nothing
// that the Balancer does not carry out, and is asked from within its methods.
type Gate interface {
	Turn(now time.Duration, class int) bool     // whether an arrival is to be refused
	Copies() bool                               // whether slow requests may be copied
	Probes() bool                               // whether servers may be probed
	Retries(class int) bool                     // whether a class may have further attempts
	Wait(class int, part float64) time.Duration // at the least, to tell the refused; part is drawn
}

// open is the gate of a service that is not reduced.
type open struct{}

func (open) Turn(time.Duration, int) bool    { return false }
func (open) Copies() bool                    { return true }
func (open) Probes() bool                    { return true }
func (open) Retries(int) bool                { return true }
func (open) Wait(int, float64) time.Duration { return 0 }

// Zones is what a Balancer asks whether a zone has room for a call. Like a Gate it decides
// for the fleet, or for the operators, what the Balancer then carries out: of the servers
// that it leaves, the Balancer chooses.
type Zones interface {
	Room(now time.Duration, zone string, class int) bool
	Due(now time.Duration, repeats bool) (zone string) // that the next call is to see, if it can; empty: none
}

// Room and Due implement Zones.
func (open) Room(time.Duration, string, int) bool { return true }
func (open) Due(time.Duration, bool) string       { return "" }

// gates are all that a Balancer asks.
type gates struct {
	Gate
	Zones
}

// SetGate has a Balancer ask g from now on.
func (b *Balancer) SetGate(g Gate) { b.gate.Gate = g }

// SetZones has a Balancer ask z from now on.
func (b *Balancer) SetZones(z Zones) { b.gate.Zones = z }

package plan

import "math"

// Usable is the work, in seconds of a core of speed 1 a second, that a node can do with at
// most a share late of requests that it could not begin in time and a share full that find
// no room. Where both are 0 it is all that its cores can do.
//
// A node counts as a queue M/M/c (Erlang's C formula; Gross and Harris, "Fundamentals of
// Queueing Theory", section 2.3): a request waits longer than t with the chance
// C(c, rho) exp(-c mu (1-rho) t), where t is what its aim leaves beside the time that 19
// of 20 requests take, and finds K waiting with C(c, rho) rho^K.
func Usable(d *Node, workMS, aimMS, late, full float64) float64 {
	cores := float64(d.Cores) * d.Speed
	if d.Cores == 0 || late == 0 && full == 0 {
		return cores
	}
	mu := d.Speed / (workMS / 1000) // requests a second a core
	spare := aimMS/1000 - 3/mu      // e^-3 is a twentieth
	if spare < 0 {
		spare = 0
	}
	good := func(rho float64) bool {
		c := erlangC(d.Cores, rho)
		if late > 0 && c*math.Exp(-float64(d.Cores)*mu*(1-rho)*spare) > late {
			return false
		}
		return full == 0 || d.Queue == 0 || c*math.Pow(rho, float64(d.Queue)) <= full
	}
	lo, hi := 0.0, 1.0
	for range 40 { // both chances rise with rho
		if mid := (lo + hi) / 2; good(mid) {
			lo = mid
		} else {
			hi = mid
		}
	}
	return lo * cores
}

// erlangC is the chance that a request has to wait at c servers of which each is busy for
// the share rho of the time.
func erlangC(c int, rho float64) float64 {
	if rho >= 1 {
		return 1
	}
	a, b := rho*float64(c), 1.0 // b: Erlang's B, by its recursion
	for n := 1; n <= c; n++ {
		b = a * b / (float64(n) + a*b)
	}
	return b / (1 - rho*(1-b))
}

package plan

import "math"

// UsableCapacity returns the work that a node can do, in seconds of a core of speed 1 per second,
// if at most the share maxLate of the requests start too late to meet their aim and at most the
// share maxFull find the queue full. If both are 0 it is the whole capacity of the cores.
//
// The node is modelled as an M/M/c queue (Erlang's C formula; Gross and Harris, "Fundamentals of
// Queueing Theory", section 2.3) with c cores, service rate mu per core and utilization rho. A
// request waits longer than t with the probability C(c, rho) exp(-c mu (1-rho) t), where t is the
// aim less the time within which 19 of 20 requests are served. It finds K requests waiting with
// the probability C(c, rho) rho^K.
func UsableCapacity(node *Node, workMS, aimMS, maxLate, maxFull float64) float64 {
	rawCapacity := float64(node.Cores) * node.Speed
	if node.Cores == 0 || maxLate == 0 && maxFull == 0 {
		return rawCapacity
	}
	serviceRate := node.Speed / (workMS / 1000) // requests per second and core
	// e^-3 is about 1/20, so that 19 of 20 requests take at most 3/mu.
	slackSeconds := aimMS/1000 - 3/serviceRate
	if slackSeconds < 0 {
		slackSeconds = 0
	}
	acceptable := func(utilization float64) bool {
		waitChance := erlangC(node.Cores, utilization)
		if maxLate > 0 && waitChance*math.Exp(-float64(node.Cores)*serviceRate*(1-utilization)*slackSeconds) > maxLate {
			return false
		}
		return maxFull == 0 || node.Queue == 0 || waitChance*math.Pow(utilization, float64(node.Queue)) <= maxFull
	}
	low, high := 0.0, 1.0
	for range 40 { // both probabilities grow with the utilization; 40 halvings reach 1e-12
		if middle := (low + high) / 2; acceptable(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low * rawCapacity
}

// erlangC returns the probability that a request has to wait at a number of servers that are each
// busy for the given share of the time.
func erlangC(servers int, utilization float64) float64 {
	if utilization >= 1 {
		return 1
	}
	// blocking is Erlang's B, computed by its recursion.
	load, blocking := utilization*float64(servers), 1.0
	for n := 1; n <= servers; n++ {
		blocking = load * blocking / (float64(n) + load*blocking)
	}
	return blocking / (1 - utilization*(1-blocking))
}

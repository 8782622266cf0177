//go:build !race

// Package racing tells whether the race detector is enabled. Tests of long computations that share
// no state between goroutines run fewer cases then, because the detector slows them down and has
// nothing to find in them.
package racing

// Enabled reports whether the race detector is enabled.
const Enabled = false

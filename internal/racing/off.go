//go:build !race

// Package racing says whether the race detector is on: tests of long computations that
// share nothing play fewer cases under it.
package racing

// On says so.
const On = false

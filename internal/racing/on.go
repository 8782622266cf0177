//go:build race

package racing

// On says whether the race detector is on.
const On = true

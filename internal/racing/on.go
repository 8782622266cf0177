//go:build race

package racing

// On reports whether the race detector is enabled.
const On = true

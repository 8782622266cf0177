//go:build race

package racing

// Enabled reports whether the race detector is enabled.
const Enabled = true

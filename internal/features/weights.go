package features

import (
	"encoding/base64"
	"time"

	"chalkrack/internal/duration"
)

// Weights is the section [weights]: initial weights of servers from a plan, used
// until measurements are available. It is disabled if File is empty.
type Weights struct {
	File string `toml:"file"` // written by 'fawnctl plan --weights'
	Key  string `toml:"key"`  // Ed25519 public key of the plan's signer, in base64
	Zone string `toml:"zone"` // zone of this sidecar; empty: the platform's
	// StepInterval is the interval between two steps.
	StepInterval duration.Duration `toml:"every"`
	// MaxStepFactor is the largest factor by which a server's hint changes in one step.
	MaxStepFactor float64 `toml:"step"`
	// ExpiryGrace is how long an expired plan keeps half of its influence; after that it has none.
	ExpiryGrace duration.Duration `toml:"fade"`
	// MaxUnknownShare is the share of servers that the plan may not know: above it the plan loses
	// half of its influence, above twice of it all.
	MaxUnknownShare float64 `toml:"strangers"`
	// MaxDeviation is the factor by which measurements of a server may differ from the plan.
	MaxDeviation float64 `toml:"off"`
	// MaxDeviatingShare is the share of servers that may differ by more than that factor.
	MaxDeviatingShare float64 `toml:"off_share"`
	// RequiredSteps is the number of consecutive steps with more differing servers after which the
	// plan's influence is halved.
	RequiredSteps int `toml:"proof"`
}

func defaultWeights() Weights {
	return Weights{StepInterval: duration.Duration(2 * time.Second), MaxStepFactor: 1.25, ExpiryGrace: duration.Duration(time.Hour), MaxUnknownShare: 0.2, MaxDeviation: 1.8, MaxDeviatingShare: 0.3, RequiredSteps: 5}
}

func (w *Weights) check(c *checker) {
	key, err := base64.StdEncoding.DecodeString(w.Key)
	c.require(w.File == "" || err == nil && len(key) == 32, "weights.key", "must be an Ed25519 public key: 32 bytes as base64")
	c.require(w.StepInterval >= duration.Duration(100*time.Millisecond) && w.StepInterval <= duration.Duration(time.Minute), "weights.every", "must be within 100ms and 1m")
	c.require(w.MaxStepFactor >= 1.01 && w.MaxStepFactor <= 2, "weights.step", "must be within 1.01 and 2")
	c.require(w.ExpiryGrace >= 0, "weights.fade", "must be 0 or more")
	c.require(w.MaxUnknownShare >= 0 && w.MaxUnknownShare <= 0.5, "weights.strangers", "must be within 0 and 0.5")
	c.require(w.MaxDeviation >= 1.1 && w.MaxDeviation <= 4, "weights.off", "must be within 1.1 and 4")
	c.require(w.MaxDeviatingShare >= 0 && w.MaxDeviatingShare <= 1, "weights.off_share", "must be within 0 and 1")
	c.require(w.RequiredSteps >= 1 && w.RequiredSteps <= 1000, "weights.proof", "must be within 1 and 1000")
}

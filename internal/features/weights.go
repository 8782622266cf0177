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
	// Every is the interval between two steps.
	Every duration.Duration `toml:"every"`
	// Step is the largest factor by which a server's hint changes in one step.
	Step float64 `toml:"step"`
	// Fade is how long an expired plan keeps half of its influence; after that it has none.
	Fade duration.Duration `toml:"fade"`
	// Strangers is the share of servers that the plan may not know: above it the plan loses
	// half of its influence, above twice of it all.
	Strangers float64 `toml:"strangers"`
	// Off is the factor by which measurements of a server may differ from the plan.
	Off float64 `toml:"off"`
	// OffShare is the share of servers that may differ by more than that factor.
	OffShare float64 `toml:"off_share"`
	// Proof is the number of consecutive steps with more differing servers after which the
	// plan's influence is halved.
	Proof int `toml:"proof"`
}

func defaultWeights() Weights {
	return Weights{Every: duration.Duration(2 * time.Second), Step: 1.25, Fade: duration.Duration(time.Hour), Strangers: 0.2, Off: 1.8, OffShare: 0.3, Proof: 5}
}

func (w *Weights) check(c *checker) {
	key, err := base64.StdEncoding.DecodeString(w.Key)
	c.require(w.File == "" || err == nil && len(key) == 32, "weights.key", "must be an Ed25519 public key: 32 bytes as base64")
	c.require(w.Every >= duration.Duration(100*time.Millisecond) && w.Every <= duration.Duration(time.Minute), "weights.every", "must be within 100ms and 1m")
	c.require(w.Step >= 1.01 && w.Step <= 2, "weights.step", "must be within 1.01 and 2")
	c.require(w.Fade >= 0, "weights.fade", "must be 0 or more")
	c.require(w.Strangers >= 0 && w.Strangers <= 0.5, "weights.strangers", "must be within 0 and 0.5")
	c.require(w.Off >= 1.1 && w.Off <= 4, "weights.off", "must be within 1.1 and 4")
	c.require(w.OffShare >= 0 && w.OffShare <= 1, "weights.off_share", "must be within 0 and 1")
	c.require(w.Proof >= 1 && w.Proof <= 1000, "weights.proof", "must be within 1 and 1000")
}

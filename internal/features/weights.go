package features

import (
	"encoding/base64"
	"time"

	"chalkrack/internal/duration"
)

// Weights is the section [weights]: a plan's weights of servers, in place of nothing known.
// Without File it is off.
type Weights struct {
	File string `toml:"file"` // as 'fawnctl plan --weights' writes it
	Key  string `toml:"key"`  // of who signs it: an Ed25519 public key, base64
	Zone string `toml:"zone"` // this sidecar's; empty: the platform's
	// Every is the time between two steps, Step the most that a server's hint changes by
	// in one, as a factor.
	Every duration.Duration `toml:"every"`
	Step  float64           `toml:"step"`
	// Fade is how long a plan that is over keeps half of its hold.
	Fade duration.Duration `toml:"fade"`
	// Strangers is the share of servers that the plan may not know, Off the factor by which
	// measurements may differ from it at a server, OffShare the share of servers at which
	// they may, Proof how many steps in a row they must.
	Strangers float64 `toml:"strangers"`
	Off       float64 `toml:"off"`
	OffShare  float64 `toml:"off_share"`
	Proof     int     `toml:"proof"`
}

func weightsDefault() Weights {
	return Weights{Every: duration.Duration(2 * time.Second), Step: 1.25, Fade: duration.Duration(time.Hour), Strangers: 0.2, Off: 1.8, OffShare: 0.3, Proof: 5}
}

func (w *Weights) check(c *checker) {
	key, err := base64.StdEncoding.DecodeString(w.Key)
	c.need(w.File == "" || err == nil && len(key) == 32, "weights.key", "must be an Ed25519 public key: 32 bytes as base64")
	c.need(w.Every >= duration.Duration(100*time.Millisecond) && w.Every <= duration.Duration(time.Minute), "weights.every", "must be within 100ms and 1m")
	c.need(w.Step >= 1.01 && w.Step <= 2, "weights.step", "must be within 1.01 and 2")
	c.need(w.Fade >= 0, "weights.fade", "must be 0 or more")
	c.need(w.Strangers >= 0 && w.Strangers <= 0.5, "weights.strangers", "must be within 0 and 0.5")
	c.need(w.Off >= 1.1 && w.Off <= 4, "weights.off", "must be within 1.1 and 4")
	c.need(w.OffShare >= 0 && w.OffShare <= 1, "weights.off_share", "must be within 0 and 1")
	c.need(w.Proof >= 1 && w.Proof <= 1000, "weights.proof", "must be within 1 and 1000")
}

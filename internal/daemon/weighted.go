package daemon

import (
	"fmt"
	"time"

	"chalkrack/internal/core"
	"chalkrack/internal/rooms/weighted"
	"chalkrack/internal/weights"
)

// newWeighted returns nil where [weights] is off.
func newWeighted(c *Config, host *core.Host) (*weighted.Weighted, error) {
	f := &c.Features.Weights
	if f.File == "" {
		return nil, nil
	}
	key, err := weights.ParseKey(f.Key)
	if err != nil {
		return nil, fmt.Errorf("features: weights.key: %w", err)
	}
	cfg := weights.Config{Zone: f.Zone, Every: time.Duration(f.Every), Step: f.Step, Fade: time.Duration(f.Fade), Strangers: f.Strangers, Off: f.Off, OffShare: f.OffShare, Proof: f.Proof}
	if cfg.Zone == "" {
		cfg.Zone = c.Settings.Config.Zone
	}
	return weighted.New(host, f.File, key, cfg), nil
}

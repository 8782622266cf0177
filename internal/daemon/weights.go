package daemon

import (
	"fmt"
	"time"

	"chalkrack/internal/core"
	"chalkrack/internal/rooms/weighted"
	"chalkrack/internal/weights"
)

// newWeights returns the learned weights, or nil if [weights] is off.
func newWeights(c *Config, host *core.Host) (*weighted.Weighted, error) {
	settings := &c.Features.Weights
	if settings.File == "" {
		return nil, nil
	}
	key, err := weights.ParseKey(settings.Key)
	if err != nil {
		return nil, fmt.Errorf("features: weights.key: %w", err)
	}
	cfg := weights.Config{Zone: settings.Zone, Every: time.Duration(settings.Every), Step: settings.Step, Fade: time.Duration(settings.Fade), Strangers: settings.Strangers, Off: settings.Off, OffShare: settings.OffShare, Proof: settings.Proof}
	if cfg.Zone == "" {
		cfg.Zone = c.Settings.Config.Zone
	}
	return weighted.New(host, settings.File, key, cfg), nil
}

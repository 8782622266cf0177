package daemon

import (
	"fmt"
	"time"

	"chalkrack/internal/core"
	"chalkrack/internal/rooms/weighted"
	"chalkrack/internal/weights"
)

// newWeights returns the learned weights, or nil if [weights] is off.
func newWeights(c *Config, host *core.Host) (*weighted.HintAdjuster, error) {
	settings := &c.Features.Weights
	if settings.File == "" {
		return nil, nil
	}
	key, err := weights.ParseKey(settings.Key)
	if err != nil {
		return nil, fmt.Errorf("features: weights.key: %w", err)
	}
	cfg := weights.Config{Zone: settings.Zone, UpdateInterval: time.Duration(settings.Every), MaxStepFactor: settings.Step, ExpiryGrace: time.Duration(settings.Fade), MaxUnknownShare: settings.Strangers, MaxDeviation: settings.Off, MaxDeviatingShare: settings.OffShare, ConfirmationUpdates: settings.Proof}
	if cfg.Zone == "" {
		cfg.Zone = c.Settings.Config.Zone
	}
	return weighted.New(host, settings.File, key, cfg), nil
}

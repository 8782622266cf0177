package daemon

import (
	"fmt"
	"time"

	"chalkrack/internal/components/weighted"
	"chalkrack/internal/core"
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
	cfg := weights.Config{Zone: settings.Zone, UpdateInterval: time.Duration(settings.StepInterval), MaxStepFactor: settings.MaxStepFactor, ExpiryGrace: time.Duration(settings.ExpiryGrace), MaxUnknownShare: settings.MaxUnknownShare, MaxDeviation: settings.MaxDeviation, MaxDeviatingShare: settings.MaxDeviatingShare, ConfirmationUpdates: settings.RequiredSteps}
	if cfg.Zone == "" {
		cfg.Zone = c.Settings.Config.Zone
	}
	return weighted.New(host, settings.File, key, cfg), nil
}

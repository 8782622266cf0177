package changes

import (
	"fmt"

	"chalkrack/internal/config"
	"chalkrack/internal/core"
	"chalkrack/internal/generation"
	"chalkrack/internal/settings"
	"chalkrack/internal/upstream"
)

// Path is a way to servers over HTTP: a core with its connections. All paths of a sidecar follow each
// change of the configuration together.
type Path struct {
	Name  string // of the pool, for errors; empty for the platform's servers
	Host  *core.Host
	Conns *upstream.Pool
	// Adapt returns the path's settings under the platform's; nil: the platform's apply as they are.
	Adapt func(*settings.Settings) *settings.Settings
}

// settings returns the settings of the path under those of the platform.
func (p *Path) settings(platform *settings.Settings) *settings.Settings {
	if p.Adapt == nil {
		return platform
	}
	return p.Adapt(platform)
}

// coresOf returns the cores of all paths as a group.
func coresOf(paths []Path) *core.Group {
	hosts := make([]*core.Host, len(paths))
	for n, p := range paths {
		hosts[n] = p.Host
	}
	return core.NewGroup(hosts...)
}

// generationsOf returns the platform's generation as each path serves under it.
func generationsOf(paths []Path, platform *generation.Generation) []*generation.Generation {
	all := make([]*generation.Generation, len(paths))
	for n, p := range paths {
		all[n] = platform.WithSettings(p.settings(platform.Settings))
	}
	return all
}

// checkPaths returns why paths can't serve under a configuration.
func checkPaths(paths []Path, next *config.Config) (why []error) {
	for _, p := range paths {
		if err := p.settings(next.Settings).Config.Validate(); err != nil {
			why = append(why, fmt.Errorf("pools: %q: settings: %w", p.Name, err))
		}
	}
	return why
}

// setTimeouts sets the timeouts of the connections of all paths.
func (g *Manager) setTimeouts(timeouts upstream.Timeouts) {
	for _, p := range g.paths {
		p.Conns.SetTimeouts(timeouts)
	}
}

// connTimes returns the timeouts of connections under a configuration.
func connTimes(c *config.Config) upstream.Timeouts {
	return upstream.Timeouts{
		ConnIdleTimeout: c.Settings.ConnIdle, DialTimeout: c.Settings.DialTimeout, DrainGrace: c.Settings.DrainGrace,
		// Leaves half of the shortest aim for another attempt.
		StallTimeout:       c.Settings.ShortestAim() / 2,
		StreamStallTimeout: upstream.StreamStallTimeoutFor(c.Settings.MaxDeadline()),
	}
}

// strictestTimes returns the times that keep the promises of both configurations.
func strictestTimes(a, b upstream.Timeouts) upstream.Timeouts {
	return upstream.Timeouts{
		ConnIdleTimeout:    min(a.ConnIdleTimeout, b.ConnIdleTimeout),
		DialTimeout:        max(a.DialTimeout, b.DialTimeout),
		DrainGrace:         min(a.DrainGrace, b.DrainGrace),
		StallTimeout:       min(a.StallTimeout, b.StallTimeout),
		StreamStallTimeout: max(a.StreamStallTimeout, b.StreamStallTimeout),
	}
}

package changes

import (
	"fmt"
	"log/slog"
	"time"

	"chalkrack/internal/change"
	"chalkrack/internal/config"
	"chalkrack/internal/history"
)

// Reload reads the files after a SIGHUP. A new address of discovery applies at once,
// without a trial. If changes are on, the rest is proposed if it is new; if they are off,
// the differences are logged.
func (g *Manager) Reload() {
	read := config.ReadFiles
	if g.Enabled() {
		read = func(getenv func(string) string) ([]byte, []byte, string, error) {
			return config.ReadStable(getenv, func() { time.Sleep(config.SettleDelay) })
		}
	}
	getenv := config.PreferFile(g.current.Getenv)
	platform, own, name, err := read(getenv)
	var next *config.Config
	if err == nil {
		next, err = config.Parse(platform, own, name, getenv)
	}
	if err != nil {
		g.figures.CountReload(false)
		slog.Error("new configuration not taken: the old one stays in force", "err", err)
		return
	}
	if next.Discovery != g.current.Discovery {
		from := g.current.Discovery
		slog.Info("address of discovery changed", "from", from, "to", next.Discovery)
		g.current.Discovery = next.Discovery
		g.watcher.SetAddr(next.Discovery)
		if g.onDiscoveryMoved != nil {
			g.onDiscoveryMoved(from, next.Discovery)
		}
	}
	if !g.Enabled() {
		g.logDifferences(next)
	} else if err = g.reloadChange(next); err != nil {
		slog.Error("new configuration not taken: the old one stays in force", "err", err)
	}
	g.figures.CountReload(err == nil)
	slog.Info("configuration files reloaded", "discovery", g.current.Discovery)
}

// reloadChange proposes the configuration in the files if it is new.
func (g *Manager) reloadChange(next *config.Config) error {
	sum, err := change.Hash(next.Document())
	if err != nil {
		return err
	}
	switch st := g.current.History.State(); st.Read(sum) {
	case history.FilesKnown:
		return nil
	case history.FilesRejected:
		slog.Warn("the files hold a configuration that was undone: only 'fawnctl config apply' can apply it again")
		return nil
	case history.FilesRevert:
		g.setStoreError(g.current.History.SetSeen(sum))
		_, err := g.endTrialNow("the files hold the previous configuration again")
		return err
	case history.FilesWaiting:
		g.reloadPending = true
		return fmt.Errorf("%w: %d; this one waits for its end", history.ErrOnTrial, st.Baking)
	}
	// A refused configuration still counts as new: a start accepts it, and the reason for
	// the refusal may be gone by the next SIGHUP.
	if _, err = g.propose(next, "SIGHUP", false); err == nil {
		g.setStoreError(g.current.History.SetSeen(sum))
	}
	return err
}

// logDifferences logs what a start would change, and what weakens the running
// configuration. It is used if changes are off.
func (g *Manager) logDifferences(next *config.Config) {
	plan, err := change.Compare(g.current.Document(), next.Document(), change.Usage{})
	if err != nil {
		return
	}
	for _, ch := range plan.Changes {
		if ch.Field != "discovery" {
			slog.Warn("new configuration: not taken while running", "field", ch.Field, "old", ch.Old, "new", ch.New, "takes", ch.Takes)
		}
	}
	for _, r := range plan.Refusals {
		slog.Error("new configuration: weakens what runs", "err", r)
	}
}

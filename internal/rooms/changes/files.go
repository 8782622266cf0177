package changes

import (
	"fmt"
	"log/slog"
	"time"

	"chalkrack/internal/change"
	"chalkrack/internal/config"
	"chalkrack/internal/history"
)

// Reload takes the files up at a SIGHUP. The address of discovery is a fact and taken at
// once. With changes on, the rest is a proposal if it is new; else it is named.
func (g *Changes) Reload() {
	read := config.ReadFiles
	if g.On() {
		read = func(getenv func(string) string) ([]byte, []byte, string, error) {
			return config.ReadTwice(getenv, func() { time.Sleep(config.SettleWait) })
		}
	}
	getenv := config.FileFirst(g.c.Getenv)
	platform, own, name, err := read(getenv)
	var next *config.Config
	if err == nil {
		next, err = config.Parse(platform, own, name, getenv)
	}
	if err != nil {
		g.fig.Read(false)
		slog.Error("new configuration not taken: the old one stays in force", "err", err)
		return
	}
	if next.Discovery != g.c.Discovery {
		slog.Info("discovery moves", "from", g.c.Discovery, "to", next.Discovery)
		g.c.Discovery = next.Discovery
		g.watcher.Move(next.Discovery)
	}
	if !g.On() {
		g.tell(next)
	} else if err = g.reloadChange(next); err != nil {
		slog.Error("new configuration not taken: the old one stays in force", "err", err)
	}
	g.fig.Read(err == nil)
	slog.Info("configuration read again", "discovery", g.c.Discovery)
}

// reloadChange proposes what the files say, if it is new.
func (g *Changes) reloadChange(next *config.Config) error {
	sum, err := change.Sum(next.Document())
	if err != nil {
		return err
	}
	switch st := g.c.Store.State(); st.Read(sum) {
	case history.Known:
		return nil
	case history.Rejected:
		slog.Warn("the files hold what was undone: it is taken by 'fawnctl config apply' only")
		return nil
	case history.Back:
		g.remember(g.c.Store.See(sum))
		_, err := g.back("the files hold the one before again")
		return err
	case history.Waits:
		g.pending = true
		return fmt.Errorf("%w: %d; this one waits for its end", history.ErrOnTrial, st.Baking)
	}
	// What is refused stays new: a start takes it, and what refused it may be over by the
	// next SIGHUP.
	if _, err = g.propose(next, "SIGHUP", false); err == nil {
		g.remember(g.c.Store.See(sum))
	}
	return err
}

// tell names what a start would take, where changes are off.
func (g *Changes) tell(next *config.Config) {
	plan, err := change.Compare(g.c.Document(), next.Document(), change.Use{})
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

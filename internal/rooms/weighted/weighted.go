// Package weighted puts a plan's weights on the list's hints.
package weighted

import (
	"log/slog"
	"os"
	"sync"
	"time"

	"chalkrack"
	"chalkrack/internal/membership"
	"chalkrack/internal/weights"
)

// Core takes lists, and says what it measured of servers.
type Core interface {
	Listed(*membership.List)
	Measured(names []string) []float64
}

// Weighted stands between discovery and the core and puts a plan's weights on the list's
// hints. It keeps the list as discovery told it.
type Weighted struct {
	host Core
	path string
	key  []byte

	mu      sync.Mutex // also orders what the core is told
	holder  *weights.Holder
	entries map[string]membership.Entry
	told    weights.Reason
	began   bool
}

// New reads the plan's file. One that can't be read is no reason not to start: there is no
// plan then, and the log says so.
func New(host Core, path string, key []byte, cfg weights.Config) *Weighted {
	w := &Weighted{host: host, path: path, key: key, holder: weights.NewHolder(cfg), entries: make(map[string]membership.Entry)}
	w.Reload()
	return w
}

// Reload reads the plan's file; one that can't be used leaves the plan that there is. Of a
// nil one it does nothing.
func (w *Weighted) Reload() {
	if w == nil {
		return
	}
	data, err := os.ReadFile(w.path)
	var p *weights.Plan
	if err == nil {
		p, err = weights.Read(data, w.key)
	}
	if err != nil {
		slog.Warn("weights: no new plan", "file", w.path, "err", err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.holder.Take(p) {
		slog.Warn("weights: the file's plan is older than the one in use", "made", p.Made)
		return
	}
	slog.Info("weights: a plan", "made", p.Made, "until", p.Until)
}

// Listed takes what discovery says and hands it on with hints.
func (w *Weighted) Listed(l *membership.List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.Whole {
		clear(w.entries)
	}
	if !w.began && len(w.entries) == 0 && len(l.Entries) > 0 {
		w.began = true
		nodes := make([]weights.Node, 0, len(l.Entries))
		for _, e := range l.Entries {
			if e.State == chalkrack.Serving {
				nodes = append(nodes, weights.Node{Name: e.Name})
			}
		}
		w.holder.Start(time.Now(), nodes)
	}
	out := &membership.List{Index: l.Index, Whole: l.Whole, Entries: make([]membership.Entry, 0, len(l.Entries))}
	for _, e := range l.Entries {
		if e.State == chalkrack.Gone {
			delete(w.entries, e.Name)
		} else {
			w.entries[e.Name] = e
		}
		out.Entries = append(out.Entries, w.hinted(e))
	}
	w.host.Listed(out)
}

func (w *Weighted) hinted(e membership.Entry) membership.Entry {
	f := w.holder.Hint(e.Name)
	if e.Hint > 0 {
		f *= e.Hint
	}
	e.Hint = f
	return e
}

// Tick makes the next step.
func (w *Weighted) Tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := make([]string, 0, len(w.entries))
	for name, e := range w.entries {
		if e.State == chalkrack.Serving {
			names = append(names, name)
		}
	}
	measured := w.host.Measured(names)
	nodes := make([]weights.Node, 0, len(names))
	for n, name := range names {
		nodes = append(nodes, weights.Node{Name: name, Measured: measured[n]})
	}
	changed := w.holder.Tick(now, nodes)
	if v := w.holder.View(); v.Why != w.told {
		w.told = v.Why
		slog.Info("weights: hold", "hold", v.Hold, "why", string(v.Why))
	}
	if len(changed) == 0 {
		return
	}
	l := &membership.List{}
	for name := range changed {
		l.Entries = append(l.Entries, w.hinted(w.entries[name]))
	}
	w.host.Listed(l)
}

// View is what is held.
func (w *Weighted) View() weights.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holder.View()
}

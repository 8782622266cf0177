// Package zones hosts an evacuation.Machine in a sidecar's process: its clock, its place
// between discovery and the core, its part of notes, its file and what operators see.
package zones

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"chalkrack"
	"chalkrack/internal/durable"
	"chalkrack/internal/evacuation"
	"chalkrack/internal/membership"
)

// tickFirst is when the first tick comes; the Machine says when the next do.
const tickFirst = 50 * time.Millisecond

// Core is what a Zones stands before.
type Core interface {
	// Now is the time that the decision module goes by.
	Now() time.Duration
	// GiveUp stops waiting for attempts, by the tickets that Sent returned.
	GiveUp(tickets []uint64)
}

// Config is what a Zones is told.
type Config struct {
	Machine evacuation.Config
	Folder  string              // remembers what is held over a start; empty: nobody does
	Name    string              // of the sidecar, for its file
	Regions map[string][]string // zones, by the region's name
}

// Zones is a sidecar's. Its methods may be called from any goroutine.
type Zones struct {
	cfg  Config
	path string // empty: nowhere
	stop chan struct{}
	wg   sync.WaitGroup
	core Core
	next func(*membership.List)
	tell func(n int, numbers []int)

	telling sync.Mutex // held over a list's way to the core: they arrive there in order
	mu      sync.Mutex // never held over a call of others'
	m       *evacuation.Machine
	listed  map[string]membership.Entry
	used    map[string]bool // zones, as the core was told last
	written []evacuation.ZoneState
}

// New returns a Zones that holds what its file says, if there is one that can be read.
func New(cfg Config) (*Zones, error) {
	m, err := evacuation.New(cfg.Machine)
	if err != nil {
		return nil, fmt.Errorf("features: %w", err)
	}
	z := &Zones{cfg: cfg, m: m, stop: make(chan struct{}), listed: make(map[string]membership.Entry), used: make(map[string]bool)}
	if cfg.Folder != "" {
		info, err := os.Stat(cfg.Folder)
		if err != nil || !info.IsDir() {
			return nil, fmt.Errorf("features: zones.folder: %q is no folder", cfg.Folder)
		}
		z.path = filepath.Join(cfg.Folder, "fawnrock-zones-"+filepath.Base(cfg.Name)+".json")
	}
	return z, nil
}

// Stand puts it in its place: behind it the core, whose clock it goes by, and next, who
// takes lists as they are used; tell has so many peers, drawn, and those with a number told
// at once. It comes before all but New.
func (z *Zones) Stand(core Core, next func(*membership.List), tell func(n int, numbers []int)) {
	z.core, z.next, z.tell = core, next, tell
}

// Begin starts its clock.
func (z *Zones) Begin() {
	z.recall()
	z.wg.Go(z.run)
}

// recall takes up what the file says. One that can't be read is no reason not to start: the
// others tell what the fleet holds.
func (z *Zones) recall() {
	if z.path == "" {
		return
	}
	text, err := os.ReadFile(z.path)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var all []evacuation.ZoneState
	if err == nil {
		err = json.Unmarshal(text, &all)
	}
	if err != nil {
		slog.Error("zones: what was held before can't be read", "file", z.path, "err", err)
		return
	}
	z.Adopt(all)
}

// Adopt goes on from what another process of the same sidecar held.
func (z *Zones) Adopt(all []evacuation.ZoneState) {
	z.change(func(now time.Duration) evacuation.Output {
		z.m.Adopt(now, all)
		return evacuation.Output{UsesChanged: true}
	})
}

// State is what is held, for another process.
func (z *Zones) State() []evacuation.ZoneState {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.m.State()
}

func (z *Zones) run() {
	t := time.NewTimer(tickFirst)
	defer t.Stop()
	for {
		select {
		case <-z.stop:
			return
		case <-t.C:
		}
		var next time.Duration
		z.change(func(now time.Duration) evacuation.Output {
			out := z.m.Tick(now)
			next = out.NextTick
			return out
		})
		z.remember()
		t.Reset(next)
	}
}

// remember writes what is held down, where that has changed.
func (z *Zones) remember() {
	if z.path == "" {
		return
	}
	z.mu.Lock()
	now := z.m.State()
	same := slices.Equal(now, z.written)
	z.mu.Unlock()
	if same {
		return
	}
	text, err := json.Marshal(now)
	if err == nil {
		err = durable.Replace(z.path, append(text, '\n'))
	}
	if err != nil {
		slog.Error("zones: what is held can't be written down", "file", z.path, "err", err)
	}
	z.mu.Lock()
	z.written = now // else the log would fill
	z.mu.Unlock()
}

// change does something to the Machine and carries out what it wants.
func (z *Zones) change(do func(now time.Duration) evacuation.Output) {
	now := z.core.Now()
	z.mu.Lock()
	out := do(now)
	z.mu.Unlock()
	for _, c := range out.Changes {
		slog.Warn("zone", "zone", c.Zone, "from", c.From, "to", c.To, "why", c.Why)
	}
	if out.UsesChanged {
		z.retell()
	}
	z.core.GiveUp(out.HopelessAttempts)
	if out.RandomNotes > 0 || len(out.Recipients) > 0 {
		z.tell(out.RandomNotes, out.Recipients)
	}
}

// retell tells the core of the servers of zones that are used now and were not, or the
// other way round.
func (z *Zones) retell() {
	z.telling.Lock()
	defer z.telling.Unlock()
	l := &membership.List{}
	z.mu.Lock()
	for name, used := range z.used {
		if is := z.m.Uses(name); is != used {
			z.used[name] = is
			for _, e := range z.listed {
				if e.Zone == name {
					l.Entries = append(l.Entries, z.lay(e))
				}
			}
		}
	}
	z.mu.Unlock()
	if len(l.Entries) > 0 {
		z.next(l)
	}
}

// lay is an entry as it is used: in a zone that is left a server drains.
func (z *Zones) lay(e membership.Entry) membership.Entry {
	if e.State == chalkrack.Serving && !z.used[e.Zone] {
		e.State = chalkrack.Draining
	}
	return e
}

// Listed takes a list and hands it on as it is used.
func (z *Zones) Listed(l *membership.List) {
	z.telling.Lock()
	defer z.telling.Unlock()
	z.mu.Lock()
	if l.Whole {
		clear(z.listed)
	}
	for _, e := range l.Entries {
		if e.State == chalkrack.Gone {
			delete(z.listed, e.Name)
		} else {
			z.listed[e.Name] = e
		}
	}
	servers := make([]evacuation.Server, 0, len(z.listed))
	for _, e := range z.listed {
		if e.State == chalkrack.Serving {
			servers = append(servers, evacuation.Server{Name: e.Name, Zone: e.Zone})
		}
	}
	slices.SortFunc(servers, func(a, b evacuation.Server) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	z.m.Servers(z.core.Now(), servers)
	laid := *l
	laid.Entries = make([]membership.Entry, len(l.Entries))
	for n, e := range l.Entries {
		z.used[e.Zone] = z.m.Uses(e.Zone)
		laid.Entries[n] = z.lay(e)
	}
	z.mu.Unlock()
	z.next(&laid)
}

// Sent implements core.Watch.
func (z *Zones) Sent(now time.Duration, server string) uint64 {
	z.mu.Lock()
	defer z.mu.Unlock()
	if e, ok := z.listed[server]; ok {
		z.m.Booked(now, e.Zone)
	}
	return z.m.Sent(now, server)
}

// kinds are what outcomes are as evidence; those that are not there say nothing.
var kinds = map[chalkrack.Outcome]evacuation.Kind{
	chalkrack.OK: evacuation.Good, chalkrack.ServerError: evacuation.Errored, chalkrack.Full: evacuation.Full,
	chalkrack.TimedOut: evacuation.Late, chalkrack.ConnectFailed: evacuation.NoConn, chalkrack.Reset: evacuation.Broken,
}

// Ended implements core.Watch.
func (z *Zones) Ended(now time.Duration, ticket uint64, o chalkrack.Outcome) {
	k, tells := kinds[o]
	z.mu.Lock()
	defer z.mu.Unlock()
	z.m.Ended(now, ticket, k, !tells)
}

// Room implements chalkrack.Zones.
func (z *Zones) Room(now time.Duration, zone string, class int) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.m.Room(now, zone, class)
}

// Due implements chalkrack.Zones.
func (z *Zones) Due(now time.Duration, repeats bool) string {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.m.Due(now, repeats)
}

// Part is this sidecar's part of a note.
func (z *Zones) Part(room int) []byte {
	now := z.core.Now()
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.m.Note(now, room)
}

// Heard takes the part of another's note.
func (z *Zones) Heard(number int, inc uint64, part []byte) {
	z.change(func(now time.Duration) evacuation.Output { return z.m.ReceiveNote(now, number, inc, part) })
}

// View is what operators see.
type View struct {
	Heard   int               `json:"heard"` // other sidecars, lately
	Peers   int               `json:"peers"` // that there are
	Strange uint64            `json:"strange_notes"`
	Old     uint64            `json:"old_notes"`
	Zones   []evacuation.View `json:"zones"`
}

// View is what is held and seen.
func (z *Zones) View() any {
	now := z.core.Now()
	z.mu.Lock()
	defer z.mu.Unlock()
	v := View{Heard: z.m.RecentPeers(), Peers: z.cfg.Machine.Peers - 1, Zones: z.m.ZoneViews(now)}
	v.Strange, v.Old = z.m.NoteErrors()
	for n := range v.Zones {
		for region, zones := range z.cfg.Regions {
			if slices.Contains(zones, v.Zones[n].Zone) {
				v.Zones[n].Region = region
			}
		}
	}
	return v
}

// Order is what an operator asks for a zone, or for all zones of a region.
type Order struct {
	Zone   string `json:"zone"`
	Action string `json:"action"` // leave, return, hold or auto
	Who    string `json:"who"`
	Reason string `json:"reason"`
}

// Deed takes an Order as JSON.
func (z *Zones) Deed(text []byte) (any, error) {
	var o Order
	if err := json.Unmarshal(text, &o); err != nil {
		return nil, fmt.Errorf("zones: %w", err)
	}
	zones := z.cfg.Regions[o.Zone]
	if len(zones) == 0 {
		zones = []string{o.Zone}
	}
	var err error
	z.change(func(now time.Duration) evacuation.Output {
		for _, name := range zones {
			if e := z.m.SubmitOrder(now, name, o.Action, o.Who, o.Reason); e != nil && err == nil {
				err = e
			}
		}
		return evacuation.Output{UsesChanged: true, RandomNotes: z.cfg.Machine.Spread}
	})
	if err != nil {
		return nil, err
	}
	z.remember()
	return z.View(), nil
}

// Close ends its clock.
func (z *Zones) Close() {
	close(z.stop)
	z.wg.Wait()
}

// Package zones runs an evacuation.Machine in a sidecar's process. It drives the machine's clock,
// filters the server lists on their way from discovery to the core, connects the machine to notes
// between sidecars, stores its state in a file and serves the operators' view and orders.
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

// firstTickDelay is the delay of the first tick. The Machine sets the delay of the following ones.
const firstTickDelay = 50 * time.Millisecond

// Core is the balancer core behind a Zones.
type Core interface {
	// Now returns the time on the clock that the core uses.
	Now() time.Duration
	// AbandonAttempts cancels attempts, identified by the tickets that Sent returned.
	AbandonAttempts(tickets []uint64)
}

// Config holds the parameters of a Zones.
type Config struct {
	Machine evacuation.Config
	Folder  string              // where the state is stored; empty: not stored
	Name    string              // of the sidecar, used in the name of the state file
	Regions map[string][]string // zones by region name
}

// Zones decides which zones a sidecar uses. After Connect its methods may be called from any
// goroutine.
type Zones struct {
	cfg       Config
	statePath string // state file; empty: none
	stop      chan struct{}
	running   sync.WaitGroup
	core      Core
	forward   func(*membership.List)
	sendNotes func(n int, numbers []int)

	forwardMu  sync.Mutex // held while a list is passed to a core, so that lists arrive in order
	pools      []*pool    // guarded by forwardMu
	mu         sync.Mutex // never held during calls to other packages' callbacks
	machine    *evacuation.Machine
	entries    membership.Servers
	zoneUses   map[string]bool // whether the zone is used, as last passed to the core
	savedState []evacuation.ZoneState
}

// New returns a Zones, or an error if cfg is invalid. Start loads the state file.
func New(cfg Config) (*Zones, error) {
	m, err := evacuation.New(cfg.Machine)
	if err != nil {
		return nil, fmt.Errorf("features: %w", err)
	}
	z := &Zones{cfg: cfg, machine: m, stop: make(chan struct{}), entries: make(membership.Servers), zoneUses: make(map[string]bool)}
	if cfg.Folder != "" {
		info, err := os.Stat(cfg.Folder)
		if err != nil || !info.IsDir() {
			return nil, fmt.Errorf("features: zones.folder: %q is not a directory", cfg.Folder)
		}
		z.statePath = filepath.Join(cfg.Folder, "fawnrock-zones-"+filepath.Base(cfg.Name)+".json")
	}
	return z, nil
}

// Connect connects z to the packages around it and must be called before any other method. core
// provides the clock, forward receives the server lists after filtering, and sendNotes sends
// notes at once to n random peers and to the peers with the given numbers.
func (z *Zones) Connect(core Core, forward func(*membership.List), sendNotes func(n int, numbers []int)) {
	z.core, z.forward, z.sendNotes = core, forward, sendNotes
}

// Start loads the stored state and starts the ticks.
func (z *Zones) Start() {
	z.loadState()
	z.running.Go(z.run)
}

// loadState loads the state file. An unreadable file does not prevent the start, since peers report
// the fleet's state in their notes.
func (z *Zones) loadState() {
	if z.statePath == "" {
		return
	}
	text, err := os.ReadFile(z.statePath)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var states []evacuation.ZoneState
	if err == nil {
		err = json.Unmarshal(text, &states)
	}
	if err != nil {
		slog.Error("zones: reading the state file failed", "file", z.statePath, "err", err)
		return
	}
	z.Adopt(states)
}

// Adopt restores the state that another process of the same sidecar held.
func (z *Zones) Adopt(states []evacuation.ZoneState) {
	z.update(func(now time.Duration) evacuation.Output {
		z.machine.RestoreState(now, states)
		return evacuation.Output{UsesChanged: true}
	})
}

// State returns the state to hand over to another process.
func (z *Zones) State() []evacuation.ZoneState {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.machine.State()
}

// run calls Tick and saves the state until z is closed.
func (z *Zones) run() {
	t := time.NewTimer(firstTickDelay)
	defer t.Stop()
	for {
		select {
		case <-z.stop:
			return
		case <-t.C:
		}
		var next time.Duration
		z.update(func(now time.Duration) evacuation.Output {
			out := z.machine.Tick(now)
			next = out.NextTick
			return out
		})
		z.saveState()
		t.Reset(next)
	}
}

// saveState writes the state file if the state has changed.
func (z *Zones) saveState() {
	if z.statePath == "" {
		return
	}
	z.mu.Lock()
	state := z.machine.State()
	unchanged := slices.Equal(state, z.savedState)
	z.mu.Unlock()
	if unchanged {
		return
	}
	text, err := json.Marshal(state)
	if err == nil {
		err = durable.Replace(z.statePath, append(text, '\n'))
	}
	if err != nil {
		slog.Error("zones: writing the state file failed", "file", z.statePath, "err", err)
	}
	z.mu.Lock()
	z.savedState = state // also after an error, so as not to log it at each tick
	z.mu.Unlock()
}

// update applies do to the Machine and carries out the actions that it returns.
func (z *Zones) update(do func(now time.Duration) evacuation.Output) {
	now := z.core.Now()
	z.mu.Lock()
	out := do(now)
	z.mu.Unlock()
	for _, c := range out.Changes {
		slog.Warn("zone", "zone", c.Zone, "from", c.From, "to", c.To, "why", c.Reason)
	}
	if out.UsesChanged {
		z.forwardChangedZones()
	}
	if out.UsesChanged || len(out.Changes) > 0 {
		z.forwardPools()
	}
	z.core.AbandonAttempts(out.HopelessAttempts)
	if out.RandomNotes > 0 || len(out.Recipients) > 0 {
		z.sendNotes(out.RandomNotes, out.Recipients)
	}
}

// forwardChangedZones passes the servers of all zones whose use has changed to the core.
func (z *Zones) forwardChangedZones() {
	z.forwardMu.Lock()
	defer z.forwardMu.Unlock()
	list := &membership.List{}
	z.mu.Lock()
	for name, used := range z.zoneUses {
		if is := z.machine.UsesZone(name); is != used {
			z.zoneUses[name] = is
			for _, e := range z.entries {
				if e.Zone == name {
					list.Entries = append(list.Entries, z.effectiveEntry(e))
				}
			}
		}
	}
	z.mu.Unlock()
	if len(list.Entries) > 0 {
		z.forward(list)
	}
}

// effectiveEntry returns e as the core should see it: a server of a zone that is not used is
// draining.
func (z *Zones) effectiveEntry(e membership.Entry) membership.Entry {
	if e.State == chalkrack.Serving && !z.zoneUses[e.Zone] {
		e.State = chalkrack.Draining
	}
	return e
}

// ApplyList applies a list from discovery and passes it on with the servers of unused zones
// draining.
func (z *Zones) ApplyList(list *membership.List) {
	z.forwardMu.Lock()
	defer z.forwardMu.Unlock()
	z.mu.Lock()
	z.entries.Apply(list)
	servers := make([]evacuation.Server, 0, len(z.entries))
	for _, e := range z.entries {
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
	z.machine.SetServers(z.core.Now(), servers)
	filtered := *list
	filtered.Entries = make([]membership.Entry, len(list.Entries))
	for n, e := range list.Entries {
		z.zoneUses[e.Zone] = z.machine.UsesZone(e.Zone)
		filtered.Entries[n] = z.effectiveEntry(e)
	}
	z.mu.Unlock()
	z.forward(&filtered)
}

// Sent implements core.AttemptObserver.
func (z *Zones) Sent(now time.Duration, server string) uint64 {
	z.mu.Lock()
	defer z.mu.Unlock()
	if e, ok := z.entries[server]; ok {
		z.machine.TakeToken(now, e.Zone)
	}
	return z.machine.RecordSend(now, server)
}

// resultByOutcome maps outcomes to evidence. Outcomes without an entry are no evidence.
var resultByOutcome = map[chalkrack.Outcome]evacuation.ResultKind{
	chalkrack.OK: evacuation.ResultGood, chalkrack.ServerError: evacuation.ResultError, chalkrack.Full: evacuation.ResultRefused,
	chalkrack.TimedOut: evacuation.ResultLate, chalkrack.ConnectFailed: evacuation.ResultConnectFailed, chalkrack.Reset: evacuation.ResultReset,
}

// Ended implements core.AttemptObserver.
func (z *Zones) Ended(now time.Duration, ticket uint64, o chalkrack.Outcome) {
	result, isEvidence := resultByOutcome[o]
	z.mu.Lock()
	defer z.mu.Unlock()
	z.machine.RecordEnd(now, ticket, result, !isEvidence)
}

// HasRoom implements chalkrack.ZonePolicy.
func (z *Zones) HasRoom(now time.Duration, zone string, class int) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.machine.HasRoom(now, zone, class)
}

// PreferredZone implements chalkrack.ZonePolicy.
func (z *Zones) PreferredZone(now time.Duration, repeats bool) string {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.machine.PreferredZone(now, repeats)
}

// NotePart returns this sidecar's part of a note, at most maxBytes long.
func (z *Zones) NotePart(maxBytes int) []byte {
	now := z.core.Now()
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.machine.EncodeNote(now, maxBytes)
}

// ReceiveNote handles the part of a note from the peer with the given number, in incarnation inc.
func (z *Zones) ReceiveNote(number int, inc uint64, part []byte) {
	z.update(func(now time.Duration) evacuation.Output { return z.machine.ReceiveNote(now, number, inc, part) })
}

// View is the state of all zones as shown to operators.
type View struct {
	RecentPeers   int               `json:"heard"` // peers heard recently
	Peers         int               `json:"peers"` // other sidecars configured
	InvalidNotes  uint64            `json:"strange_notes"`
	OutdatedNotes uint64            `json:"old_notes"`
	Zones         []evacuation.View `json:"zones"`
}

// View returns a View of the current state.
func (z *Zones) View() any {
	now := z.core.Now()
	z.mu.Lock()
	defer z.mu.Unlock()
	view := View{RecentPeers: z.machine.RecentPeers(), Peers: z.cfg.Machine.Peers - 1, Zones: z.machine.ZoneViews(now)}
	view.InvalidNotes, view.OutdatedNotes = z.machine.NoteErrors()
	for n := range view.Zones {
		for region, zones := range z.cfg.Regions {
			if slices.Contains(zones, view.Zones[n].Zone) {
				view.Zones[n].Region = region
			}
		}
	}
	return view
}

// Order is an operator's request for a zone, or for all zones of a region.
type Order struct {
	Zone   string `json:"zone"`
	Action string `json:"action"` // leave, return, hold or auto
	Who    string `json:"who"`
	Reason string `json:"reason"`
}

// ExecuteOrder executes an Order given as JSON and returns the resulting View. It returns the
// first error of any zone; the order still applies to the other zones of the region.
func (z *Zones) ExecuteOrder(text []byte) (any, error) {
	var order Order
	if err := json.Unmarshal(text, &order); err != nil {
		return nil, fmt.Errorf("zones: %w", err)
	}
	zones := z.cfg.Regions[order.Zone]
	if len(zones) == 0 {
		zones = []string{order.Zone}
	}
	var err error
	z.update(func(now time.Duration) evacuation.Output {
		for _, name := range zones {
			if orderErr := z.machine.SubmitOrder(now, name, order.Action, order.Who, order.Reason); orderErr != nil && err == nil {
				err = orderErr
			}
		}
		return evacuation.Output{UsesChanged: true, RandomNotes: z.cfg.Machine.Fanout}
	})
	if err != nil {
		return nil, err
	}
	z.saveState()
	return z.View(), nil
}

// Close stops the ticks and waits for the current one to end. It must be called once.
func (z *Zones) Close() {
	close(z.stop)
	z.running.Wait()
}

package daemon

import (
	"encoding/json"
	"maps"
	"net"
	"strings"
	"testing"
	"time"

	"chalkrack"
	"chalkrack/internal/components/zones"
	"chalkrack/internal/duration"
	"chalkrack/internal/evacuation"
	"chalkrack/internal/membership"
)

// recordingClock stands in for the core: it has a clock and records abandoned attempts.
type recordingClock struct{ abandoned []uint64 }

func (c *recordingClock) Now() time.Duration           { return time.Duration(time.Now().UnixNano()) }
func (c *recordingClock) AbandonAttempts(all []uint64) { c.abandoned = append(c.abandoned, all...) }

// configWithZones returns a configuration with [zones] on.
func configWithZones(t *testing.T, folder string) *Config {
	t.Helper()
	c := configWithPeers(t, []string{"127.0.0.1:1", "127.0.0.1:2"}, 1)
	c.Features.Zones.Enabled, c.Features.Zones.Folder = true, folder
	return c
}

// Invalid settings are rejected at the start with an error that names the field. By default there is
// no zone evacuation.
func TestZonesConfigErrorsNameField(t *testing.T) {
	if z, err := newZones(configWithPeers(t, []string{"127.0.0.1:1"}, 0)); z != nil || err != nil || zoneObserver(z) != nil {
		t.Errorf("without [zones]: %v, error %v, want neither", z, err)
	}
	for want, spoil := range map[string]func(c *Config){
		"zones.proof":     func(c *Config) { c.Features.Zones.MinStageDuration = duration.Duration(time.Millisecond) },
		"zones.folder":    func(c *Config) { c.Features.Zones.Folder = "/nowhere" },
		"zones.witnesses": func(c *Config) { c.Features.Zones.MinWitnesses = -1 },
		"zones.self":      func(c *Config) { c.PlatformData = []byte(`{"peers":["127.0.0.1:1"],"settings":{"rank":4}}`) },
	} {
		c := configWithZones(t, "")
		spoil(c)
		if _, err := newZones(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one that names %s", err, want)
		}
	}
}

// An operator's order to leave a zone marks its servers as draining. The order and the stage survive
// a restart, through the file in the folder. An order for an unknown zone is rejected.
func TestZoneOrderDrainsAndOutlivesRestart(t *testing.T) {
	folder := t.TempDir()
	begin := func() (*zones.Zones, chan map[string]chalkrack.State) {
		z, err := newZones(configWithZones(t, folder))
		if err != nil {
			t.Fatal(err)
		}
		told := make(chan map[string]chalkrack.State, 100)
		z.Connect(new(recordingClock), func(l *membership.List) {
			all := make(map[string]chalkrack.State)
			for _, e := range l.Entries {
				all[e.Name] = e.State
			}
			told <- all
		}, func(int, []int) {})
		z.ApplyList(&membership.List{Complete: true, Entries: []membership.Entry{
			{Endpoint: chalkrack.Endpoint{Name: "s1", Zone: "a"}}, {Endpoint: chalkrack.Endpoint{Name: "s2", Zone: "b"}}}})
		z.Start()
		return z, told
	}
	until := func(told chan map[string]chalkrack.State, name string, s chalkrack.State) {
		t.Helper()
		end := time.After(20 * time.Second)
		for {
			select {
			case all := <-told:
				if is, ok := all[name]; ok && is == s {
					return
				}
			case <-end:
				t.Fatalf("%s is not listed as %v", name, s)
			}
		}
	}
	z, told := begin()
	until(told, "s1", chalkrack.Serving)
	text, _ := json.Marshal(zones.Order{Zone: "a", Action: "leave", Who: "kim", Reason: "a test"})
	if _, err := z.ExecuteOrder(text); err != nil {
		t.Fatal(err)
	}
	until(told, "s1", chalkrack.Draining)
	if _, err := z.ExecuteOrder([]byte(`{"zone":"x","action":"leave","who":"a","reason":"b"}`)); err == nil || !strings.Contains(err.Error(), `zone "x"`) {
		t.Error(err)
	}
	z.Close()
	z, told = begin()
	until(told, "s1", chalkrack.Draining)
	if v := z.View().(zones.View); v.Zones[0].Stage != "out" || v.Zones[0].Order == nil || v.Zones[0].Order.Action != evacuation.ActionLeave {
		t.Errorf("after a restart: %+v", v.Zones[0])
	}
	z.Close()
}

// Guards against pools that go on using a zone that was left by an operator's order: its servers drain
// in each pool that has others, whatever its lists say, until the zone is back for all sidecars.
func TestPoolsLeaveZones(t *testing.T) {
	z, err := newZones(configWithZones(t, ""))
	if err != nil {
		t.Fatal(err)
	}
	z.Connect(new(recordingClock), func(*membership.List) {}, func(int, []int) {})
	at := func(name, zone string) membership.Entry {
		return membership.Entry{Endpoint: chalkrack.Endpoint{Name: name, Zone: zone}}
	}
	whole := func(entries ...membership.Entry) *membership.List {
		return &membership.List{Complete: true, Entries: entries}
	}
	z.ApplyList(whole(at("s1", "a"), at("s2", "b")))
	type poolUse struct {
		used  map[string]bool
		apply func(*membership.List)
	}
	newPool := func() *poolUse {
		p := &poolUse{used: make(map[string]bool)}
		p.apply = z.AddPool(func(l *membership.List) {
			if l.Complete {
				clear(p.used)
			}
			for _, e := range l.Entries {
				p.used[e.Name] = e.State == chalkrack.Serving
			}
		})
		return p
	}
	both, onlyA := newPool(), newPool()
	both.apply(whole(at("p1", "a"), at("p2", "b"), at("p3", "elsewhere")))
	onlyA.apply(whole(at("q1", "a")))
	check := func(step string, want map[string]bool) {
		t.Helper()
		if !maps.Equal(both.used, want) || !onlyA.used["q1"] {
			t.Errorf("%s: pool uses %v, want %v; the pool with servers in that zone only: %v", step, both.used, want, onlyA.used)
		}
	}
	check("at the start", map[string]bool{"p1": true, "p2": true, "p3": true})
	text, _ := json.Marshal(zones.Order{Zone: "a", Action: "leave", Who: "kim", Reason: "a test"})
	if _, err := z.ExecuteOrder(text); err != nil {
		t.Fatal(err)
	}
	check("left", map[string]bool{"p1": false, "p2": true, "p3": true})
	both.apply(&membership.List{Entries: []membership.Entry{at("p1", "a"), at("p4", "a")}})
	check("listed again", map[string]bool{"p1": false, "p2": true, "p3": true, "p4": false})
	record := z.State()[0].Record
	for _, stage := range []evacuation.Stage{evacuation.StageOneIn64, evacuation.StageOneIn4} {
		record.Step, record.Stage = record.Step+1, stage
		z.Adopt([]evacuation.ZoneState{{Zone: "a", Record: record}})
		check("returning", map[string]bool{"p1": false, "p2": true, "p3": true, "p4": false})
	}
	record.Step, record.Stage = record.Step+1, evacuation.StageAll
	z.Adopt([]evacuation.ZoneState{{Zone: "a", Record: record}})
	check("back", map[string]bool{"p1": true, "p2": true, "p3": true, "p4": true})
}

// If another process of this sidecar still holds the port for notes, a starting process waits for
// it; without an inherited listener the start fails.
func TestStartWaitsForNotesPort(t *testing.T) {
	previous, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 4)})
	if err != nil {
		t.Fatal(err)
	}
	addr := previous.LocalAddr().String()
	c := configWithPeers(t, []string{addr, "127.0.0.1:2"}, 0)
	if _, err := newDuties(c, nil); err == nil || !strings.Contains(err.Error(), "peer_listen") {
		t.Errorf("start at the held port without an inherited listener: %v", err)
	}
	c.InheritedFD = 9
	s, err := newDuties(c, nil)
	if err != nil {
		t.Fatal(err)
	}
	s.Start()
	time.Sleep(150 * time.Millisecond)
	if s.IsBound() {
		t.Error("bound to a port that another process holds")
	}
	previous.Close()
	for end := time.Now().Add(20 * time.Second); !s.IsBound(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never bound to the free port")
		}
	}
	s.Close()
}

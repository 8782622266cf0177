package daemon

import (
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"chalkrack"
	"chalkrack/internal/duration"
	"chalkrack/internal/evacuation"
	"chalkrack/internal/membership"
	"chalkrack/internal/rooms/zones"
)

// clocked is a core of a clock only.
type clocked struct{ gave []uint64 }

func (c *clocked) Now() time.Duration  { return time.Duration(time.Now().UnixNano()) }
func (c *clocked) GiveUp(all []uint64) { c.gave = append(c.gave, all...) }

func zonedConfig(t *testing.T, folder string) *Config {
	t.Helper()
	c := peered(t, []string{"127.0.0.1:1", "127.0.0.1:2"}, 1)
	c.Features.Zones.Enabled, c.Features.Zones.Folder = true, folder
	return c
}

// What can't be is refused at the start with the field's name; nothing is there by default.
func TestZonedConfig(t *testing.T) {
	if z, err := newZoned(peered(t, []string{"127.0.0.1:1"}, 0)); z != nil || err != nil || watchOf(z) != nil {
		t.Errorf("%v %v", z, err)
	}
	for want, spoil := range map[string]func(c *Config){
		"zones.proof":     func(c *Config) { c.Features.Zones.Proof = duration.Duration(time.Millisecond) },
		"zones.folder":    func(c *Config) { c.Features.Zones.Folder = "/nowhere" },
		"zones.witnesses": func(c *Config) { c.Features.Zones.Witnesses = -1 },
		"zones.self":      func(c *Config) { c.Platform = []byte(`{"peers":["127.0.0.1:1"],"settings":{"rank":4}}`) },
	} {
		c := zonedConfig(t, "")
		spoil(c)
		if _, err := newZoned(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

// An order lays a zone's servers out as draining, and back; it and the stage outlive the
// process by the folder's file; one that can't be read is no reason not to start.
func TestZonesLayAndRemember(t *testing.T) {
	folder := t.TempDir()
	begin := func() (*zones.Zones, chan map[string]chalkrack.State) {
		z, err := newZoned(zonedConfig(t, folder))
		if err != nil {
			t.Fatal(err)
		}
		told := make(chan map[string]chalkrack.State, 100)
		z.Stand(new(clocked), func(l *membership.List) {
			all := make(map[string]chalkrack.State)
			for _, e := range l.Entries {
				all[e.Name] = e.State
			}
			told <- all
		}, func(int, []int) {})
		z.Listed(&membership.List{Whole: true, Entries: []membership.Entry{
			{Endpoint: chalkrack.Endpoint{Name: "s1", Zone: "a"}}, {Endpoint: chalkrack.Endpoint{Name: "s2", Zone: "b"}}}})
		z.Begin()
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
				t.Fatalf("%s is not told as %v", name, s)
			}
		}
	}
	z, told := begin()
	until(told, "s1", chalkrack.Serving)
	text, _ := json.Marshal(zones.Order{Zone: "a", Action: "leave", Who: "kim", Reason: "a test"})
	if _, err := z.Deed(text); err != nil {
		t.Fatal(err)
	}
	until(told, "s1", chalkrack.Draining)
	if _, err := z.Deed([]byte(`{"zone":"x","action":"leave","who":"a","reason":"b"}`)); err == nil || !strings.Contains(err.Error(), `zone "x"`) {
		t.Error(err)
	}
	z.Close()
	z, told = begin()
	until(told, "s1", chalkrack.Draining)
	if v := z.View().(zones.View); v.Zones[0].Stage != "out" || v.Zones[0].Order == nil || v.Zones[0].Order.Action != evacuation.Leave {
		t.Errorf("after a start: %+v", v.Zones[0])
	}
	z.Close()
}

// Where another process of this sidecar still has the port for notes, a start waits for it.
func TestNotesPortOfTheProcessBefore(t *testing.T) {
	before, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 4)})
	if err != nil {
		t.Fatal(err)
	}
	addr := before.LocalAddr().String()
	c := peered(t, []string{addr, "127.0.0.1:2"}, 0)
	if _, err := newDuties(c, nil); err == nil || !strings.Contains(err.Error(), "peer_listen") {
		t.Errorf("a second sidecar at the port: %v", err)
	}
	c.Inherited = 9
	s, err := newDuties(c, nil)
	if err != nil {
		t.Fatal(err)
	}
	s.Begin()
	time.Sleep(150 * time.Millisecond)
	if s.Bound() {
		t.Error("it has a port that another has")
	}
	before.Close()
	for end := time.Now().Add(20 * time.Second); !s.Bound(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it never has the port")
		}
	}
	s.Close()
}

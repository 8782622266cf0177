package maintenance

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chalkrack"
	"chalkrack/internal/membership"
)

// consumer follows what a Set passes on for each of its sources.
type consumer struct {
	*Set
	used map[*Source]map[string]membership.Entry
}

func newConsumer(sources ...string) (*consumer, []*Source) {
	c := &consumer{Set: New(), used: make(map[*Source]map[string]membership.Entry)}
	var all []*Source
	for _, name := range sources {
		network := "tcp"
		if name == "radius" {
			network = "udp"
		}
		src := c.AddSource(name, network)
		c.used[src] = make(map[string]membership.Entry)
		all = append(all, src)
	}
	return c, all
}

func (c *consumer) take(src *Source, l *membership.List) {
	if l.Complete {
		clear(c.used[src])
	}
	for _, e := range l.Entries {
		if c.used[src][e.Name] = e; e.State == chalkrack.Gone {
			delete(c.used[src], e.Name)
		}
	}
}

func (c *consumer) takeAll(updates []Update) {
	for _, u := range updates {
		c.take(u.Source, u.List)
	}
}

// list passes a list to a source: each server as name@address, or -name for one that is gone.
func (c *consumer) list(src *Source, complete bool, servers ...membership.Entry) {
	applied, others := c.ApplyList(src, &membership.List{Complete: complete, Entries: servers})
	c.take(src, applied)
	c.takeAll(others)
}

func at(name, address string) membership.Entry {
	return membership.Entry{Endpoint: chalkrack.Endpoint{Name: name, Started: 5}, Address: address}
}

func gone(name string) membership.Entry {
	return membership.Entry{Endpoint: chalkrack.Endpoint{Name: name, State: chalkrack.Gone}}
}

// disabled returns whether the servers of a source are out.
func (c *consumer) disabledServers(src *Source) map[string]bool {
	out := make(map[string]bool)
	for name, e := range c.used[src] {
		out[name] = e.State != chalkrack.Serving
	}
	return out
}

// Guards against a disabled server that is used on another path: under its name or, where a path has
// another name for it, at its address, whatever lists say in between.
func TestDisabledServerIsOutInAllSources(t *testing.T) {
	type lists struct{ platform, fixed, radius map[string]bool }
	for name, c := range map[string]struct {
		do   func(c *consumer, platform, fixed, radius *Source)
		want lists
	}{
		"by its name and address": {func(c *consumer, platform, fixed, radius *Source) {},
			lists{map[string]bool{"s1": false, "s2": true}, map[string]bool{"w1": false, "w2": true}, map[string]bool{"r": false, "s2": true}}},
		"it leaves the platform's list": {func(c *consumer, platform, fixed, radius *Source) { c.list(platform, false, gone("s2")) },
			lists{map[string]bool{"s1": false}, map[string]bool{"w1": false, "w2": true}, map[string]bool{"r": false, "s2": true}}},
		"another is at its address then": {func(c *consumer, platform, fixed, radius *Source) {
			c.list(platform, false, gone("s2"))
			c.list(platform, false, at("s9", "x:2"))
		}, lists{map[string]bool{"s1": false, "s9": false}, map[string]bool{"w1": false, "w2": false}, map[string]bool{"r": false, "s2": true}}},
		"another is listed beside it": {func(c *consumer, platform, fixed, radius *Source) { c.list(platform, false, at("s9", "x:2")) },
			lists{map[string]bool{"s1": false, "s2": true, "s9": false}, map[string]bool{"w1": false, "w2": true}, map[string]bool{"r": false, "s2": true}}},
		"it moves": {func(c *consumer, platform, fixed, radius *Source) { c.list(platform, false, at("s2", "x:1")) },
			lists{map[string]bool{"s1": false, "s2": true}, map[string]bool{"w1": true, "w2": false}, map[string]bool{"r": false, "s2": true}}},
		"it is listed again": {func(c *consumer, platform, fixed, radius *Source) {
			c.list(platform, true, at("s1", "x:7"))
			c.list(platform, true, at("s1", "x:7"), at("s2", "x:2"))
		}, lists{map[string]bool{"s1": false, "s2": true}, map[string]bool{"w1": false, "w2": true}, map[string]bool{"r": false, "s2": true}}},
		"the other path lists it later": {func(c *consumer, platform, fixed, radius *Source) {
			c.list(fixed, true)
			c.list(fixed, true, at("w1", "x:1"), at("w2", "x:2"))
		}, lists{map[string]bool{"s1": false, "s2": true}, map[string]bool{"w1": false, "w2": true}, map[string]bool{"r": false, "s2": true}}},
	} {
		t.Run(name, func(t *testing.T) {
			consumer, sources := newConsumer("", "pool", "radius")
			platform, fixed, radius := sources[0], sources[1], sources[2]
			consumer.list(platform, true, at("s1", "x:7"), at("s2", "x:2"))
			consumer.list(fixed, true, at("w1", "x:1"), at("w2", "x:2"))
			consumer.list(radius, true, at("r", "x:2"), at("s2", "x:3")) // r is at the port of another network
			updates, err := consumer.Disable("s2")
			if err != nil {
				t.Fatal(err)
			}
			consumer.takeAll(updates)
			c.do(consumer, platform, fixed, radius)
			for source, want := range map[*Source]map[string]bool{platform: c.want.platform, fixed: c.want.fixed, radius: c.want.radius} {
				if got := consumer.disabledServers(source); !maps.Equal(got, want) {
					t.Errorf("%q: out %v, want %v", source.name, got, want)
				}
			}
			if updates, err = consumer.Enable("s2", 100); err != nil {
				t.Fatal(err)
			}
			consumer.takeAll(updates)
			for _, source := range sources {
				for name, e := range consumer.used[source] {
					wasOut := map[*Source]map[string]bool{platform: c.want.platform, fixed: c.want.fixed, radius: c.want.radius}[source][name]
					if e.State != chalkrack.Serving || (e.Started == 100) != wasOut {
						t.Errorf("%q after the call back: %+v, was out: %v", source.name, e, wasOut)
					}
				}
			}
		})
	}
}

// A server that only a pool has can be disabled, which takes the platform's server at its address out
// too; one that no path has can't.
func TestServerOfOnePathIsDisabled(t *testing.T) {
	c, sources := newConsumer("", "pool")
	c.list(sources[0], true, at("s1", "x:1"), at("s2", "x:2"))
	c.list(sources[1], true, at("w1", "x:1"))
	if _, err := c.Disable("w9"); !errors.Is(err, ErrUnknownServer) {
		t.Errorf("a server that no path has: %v", err)
	}
	updates, err := c.Disable("w1")
	if err != nil {
		t.Fatal(err)
	}
	c.takeAll(updates)
	if !c.disabledServers(sources[0])["s1"] || c.disabledServers(sources[0])["s2"] || !c.disabledServers(sources[1])["w1"] {
		t.Errorf("out: %v and %v", c.disabledServers(sources[0]), c.disabledServers(sources[1]))
	}
	if n := c.DisabledCount(sources[0]); n != 1 {
		t.Errorf("%d of the platform's servers count as disabled, want 1", n)
	}
}

// Guards against a yes to a call back that is not true: a server that is out by several names is back
// by any of them, on all paths, unless one of the names is a server elsewhere too.
func TestServerIsCalledBackByAnyOfItsNames(t *testing.T) {
	for _, back := range []string{"s2", "w2"} {
		for _, out := range [][]string{{"s2"}, {"w2"}, {"s2", "w2"}} {
			c, sources := newConsumer("", "pool")
			c.list(sources[0], true, at("s1", "x:1"), at("s2", "x:2"))
			c.list(sources[1], true, at("w1", "x:1"), at("w2", "x:2"))
			for _, id := range out {
				updates, err := c.Disable(id)
				if err != nil {
					t.Fatal(err)
				}
				c.takeAll(updates)
			}
			updates, err := c.Enable(back, 100)
			if err != nil {
				t.Fatal(err)
			}
			c.takeAll(updates)
			for n, name := range []string{"s2", "w2"} {
				if e := c.used[sources[n]][name]; e.State != chalkrack.Serving || e.Started != 100 {
					t.Errorf("out as %v, called back as %s: %+v", out, back, e)
				}
			}
		}
	}
	c, sources := newConsumer("", "pool", "pool 2")
	c.list(sources[0], true, at("s2", "x:2"))
	c.list(sources[1], true, at("w2", "x:2"))
	c.list(sources[2], true, at("w2", "y:2"))
	for _, id := range []string{"s2", "w2"} {
		if _, err := c.Disable(id); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.Enable("s2", 100); !errors.Is(err, ErrOutByOtherName) || !c.Set.disabled["s2"] {
		t.Errorf("a server that is out by another's name too: %v", err)
	}
	if _, err := c.Enable("w2", 100); err != nil || len(c.Set.disabled) != 0 {
		t.Errorf("called back by the other name: %v, out %v", err, c.Set.disabled)
	}
}

// Guards against a server that the next process uses before the platform's list has named it: the
// state says at which address it was, by source.
func TestNextProcessKnowsTheAddressOfADisabledServer(t *testing.T) {
	old, sources := newConsumer("", "pool")
	old.list(sources[0], true, at("s1", "x:1"), at("s2", "x:2"))
	if _, err := old.Disable("s2"); err != nil {
		t.Fatal(err)
	}
	old.list(sources[0], true, at("s1", "x:1"))
	next, sources := newConsumer("", "pool")
	next.takeAll(next.Adopt(old.State()))
	next.list(sources[1], true, at("w1", "x:1"), at("w2", "x:2"))
	if got := next.disabledServers(sources[1]); got["w1"] || !got["w2"] {
		t.Errorf("out in the next process: %v", got)
	}
	// The platform's own list tells another server from it that comes to the address.
	next.list(sources[0], true, at("s1", "x:1"), at("s9", "x:2"))
	if got := next.disabledServers(sources[0]); got["s1"] || got["s9"] {
		t.Errorf("out on the platform's list: %v", got)
	}
	if got := next.disabledServers(sources[1]); got["w2"] {
		t.Error("the address is another server's, and still out")
	}
}

// Over random lists and calls, what the paths have been told is what the operators' changes make of
// their lists, in this process and in one that has adopted its state; a server's name alone decides
// on its own list.
func TestPathsAreToldWhatChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"", "pool", "radius"}
		c, sources := newConsumer(names...)
		server := rapid.Custom(func(t *rapid.T) membership.Entry {
			e := at(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"), fmt.Sprint("x:", rapid.IntRange(1, 3).Draw(t, "port")))
			e.State = rapid.SampledFrom([]chalkrack.State{chalkrack.Serving, chalkrack.Serving, chalkrack.Draining, chalkrack.Gone}).Draw(t, "state")
			return e
		})
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			src := rapid.SampledFrom(sources).Draw(t, "source")
			var updates []Update
			switch name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "server"); rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				updates, _ = c.Disable(name)
			case 1:
				updates, _ = c.Enable(name, time.Duration(100+step))
			default:
				c.list(src, rapid.Bool().Draw(t, "complete"), rapid.SliceOfNDistinct(server, 0, 4, func(e membership.Entry) string { return e.Name }).Draw(t, "list")...)
			}
			c.takeAll(updates)
			other, others := newConsumer(names...)
			other.takeAll(other.Adopt(c.State()))
			for n, src := range sources {
				if len(c.used[src]) != len(src.listed) {
					t.Fatalf("%q lists %v and was told %v", src.name, src.listed, c.used[src])
				}
				for name, told := range c.used[src] {
					if want := c.overlay(src, src.listed[name]); told != want {
						t.Fatalf("%q was told %+v, which is %+v now", src.name, told, want)
					}
					if c.Set.disabled[name] && told.State == chalkrack.Serving {
						t.Fatalf("%q: the disabled %s serves", src.name, name)
					}
				}
				other.list(others[n], true, src.List()...)
			}
			for n, src := range sources {
				if !maps.Equal(other.used[others[n]], c.used[src]) {
					t.Fatalf("%q: %v in another process, %v here", src.name, other.used[others[n]], c.used[src])
				}
			}
		}
	})
}

package operating

import (
	"testing"
	"time"

	"chalkrack"
	"chalkrack/internal/core"
	"chalkrack/internal/front"
	"chalkrack/internal/membership"
	"chalkrack/internal/settings"
	"chalkrack/internal/upstream"
)

// Guards against a server that counts as warm in the next process, although it was called back a moment
// ago: the machine's clock was stepped between the starts of the two, so the times that the first one
// wrote are by another clock. Without a step they are taken as they are.
func TestTimesOfAnotherProcessAreByItsClock(t *testing.T) {
	set, err := settings.Parse([]byte(`{"replicasOfMe":1,"caps":{"attemptsCap":2},"classes":[{"name":"a","effect":"repeatable","promiseUs":1000000,"hardLimitUs":3000000}]}`))
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []time.Duration{0, time.Hour, -time.Hour} {
		dir := t.TempDir()
		started := make(map[string]time.Duration) // of the server, by process
		start := func(process string) *Operation {
			host, err := core.New(core.Config{Settings: set, Seed: 1, Transport: upstream.New(upstream.Config{MaxConns: 8})})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(host.Close)
			o := New(Config{Host: host, Shared: true, Tmp: dir, Listen: "127.0.0.1:1", ApplyList: func(l *membership.List) {
				for _, e := range l.Entries {
					started[process] = e.Started
				}
			}})
			o.SetFront(front.New(front.Config{MaxConns: 8}, host))
			t.Cleanup(o.Close)
			return o
		}
		list := &membership.List{Complete: true, Entries: []membership.Entry{{Endpoint: chalkrack.Endpoint{Name: "s", Hint: 1}, Address: "127.0.0.1:1"}}}
		first := start("first")
		first.clock -= step // the machine's clock is stepped after the start
		first.ApplyList(list)
		for _, call := range []func(string) error{first.Disable, first.Enable} {
			if err := call("s"); err != nil {
				t.Fatal(err)
			}
		}
		if err := first.Drain(); err != nil {
			t.Fatal(err)
		}
		second := start("second")
		second.ApplyList(list)
		// The difference of the two clocks is not exactly the step, as they were read one after the other.
		if d := started["second"] - started["first"] - step; started["first"] == 0 || d.Abs() > time.Minute {
			t.Errorf("step %v: called back at %v, in the next process at %v", step, started["first"], started["second"])
		}
		since, on := first.drain.Since()
		sinceThere, onThere := second.drain.Since()
		if d := sinceThere - since - step; !on || !onThere || d.Abs() > time.Minute {
			t.Errorf("step %v: drains since %v, in the next process since %v", step, since, sinceThere)
		}
	}
}

package core_test

import (
	"fmt"
	"testing"
	"time"

	"chalkrack"
	"chalkrack/internal/core"
	"chalkrack/internal/membership"
)

// Guards against calls for a server that is gone and still listed, which reach the process that has
// come up at its address.
func TestReplacedServerGetsNoAttempts(t *testing.T) {
	transport := &memTransport{onStart: func(a *memAttempt) { a.order.Sink.Done(chalkrack.OK, "hi", chalkrack.LoadReport{}) }}
	h := newQuietHostWith(t, core.Config{Settings: shortSettings(), Seed: 1, Transport: transport, OneServerPerAddress: true}, 0)
	defer h.Close()
	entry := func(name, address string, started time.Duration) membership.Entry {
		return membership.Entry{Endpoint: chalkrack.Endpoint{Name: name, Zone: "z", Hint: 1, Started: started}, Address: address}
	}
	old, other, replacement := entry("old", "10.0.0.1:1", 0), entry("other", "10.0.0.2:1", 0), entry("replacement", "10.0.0.1:1", time.Second)
	for _, list := range []*membership.List{
		{Complete: true, Entries: []membership.Entry{old, other}},
		{Entries: []membership.Entry{replacement}},
		{Entries: []membership.Entry{old}}, // a late change of what is gone
	} {
		h.ApplyList(list)
	}
	used := make(map[string]int)
	for n := range 200 {
		h.Arrive(&core.Call{ID: fmt.Sprint(n), Class: "a", Received: time.Now(), Caller: new(recordingCaller)})
	}
	for _, a := range transport.attempts {
		used[a.order.Server]++
	}
	if used["old"] > 0 || used["replacement"] == 0 || used["other"] == 0 {
		t.Errorf("attempts by server: %v", used)
	}
}

package operating

import (
	"testing"

	"chalkrack"
	"chalkrack/internal/core"
	"chalkrack/internal/membership"
	"chalkrack/internal/settings"
	"chalkrack/internal/upstream"
)

// A pool of a new process takes over its predecessor's list and learned state; its own list stays if its
// discovery has been heard already, since it is the newer one.
func TestPoolsTakeOverListAndLearnedState(t *testing.T) {
	set, err := settings.Parse([]byte(`{"replicasOfMe":1,"caps":{"attemptsCap":2},"classes":[{"name":"a","effect":"repeatable","promiseUs":1000000,"hardLimitUs":3000000}]}`))
	if err != nil {
		t.Fatal(err)
	}
	newHost := func() *core.Host {
		h, err := core.New(core.Config{Settings: set, Seed: 1, Transport: upstream.New(upstream.Config{MaxConns: 8})})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(h.Close)
		return h
	}
	platform := newHost()
	o := New(Config{Host: platform, ApplyList: platform.ApplyList})
	listOf := func(name string) *membership.List {
		return &membership.List{Complete: true, Entries: []membership.Entry{{Endpoint: chalkrack.Endpoint{Name: name, Hint: 1}, Address: "127.0.0.1:1"}}}
	}
	silent, heard := newHost(), newHost()
	o.AddPool("silent", silent, silent.ApplyList)
	o.AddPool("heard", heard, heard.ApplyList)(listOf("new"))
	var states []poolState
	for _, name := range []string{"unknown here", "silent", "heard"} {
		states = append(states, poolState{Name: name, List: listOf("old").Entries, Memory: chalkrack.LearnedState{RetryTokens: 2}})
	}
	o.takeOverPools(states)
	for name, c := range map[string]struct {
		host   *core.Host
		server string
	}{"silent": {silent, "old"}, "heard": {heard, "new"}} {
		learned := c.host.LearnedState()
		if len(learned.Servers) != 1 || learned.Servers[0].Name != c.server || learned.RetryTokens != 2 {
			t.Errorf("pool %s: servers %+v, %v retry tokens; want %s and 2", name, learned.Servers, learned.RetryTokens, c.server)
		}
	}
}

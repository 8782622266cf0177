package core_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"chalkrack"
	"chalkrack/internal/configtrial"
	"chalkrack/internal/core"
	"chalkrack/internal/generation"
	"chalkrack/internal/membership"
)

// Guards against a change that some cores of a process serve under and others do not: one that can't
// take it prevents it at all of them, the calls of each count for one ruling, and it ends at all.
func TestGroupChangesTogether(t *testing.T) {
	const count = 3
	trial := configtrial.Config{Share: 0.5, FalseUndo: 0.01, DetectableShare: 0.5, Duration: time.Minute}
	var hosts []*core.Host
	var transports []*recordingTransport
	for range count {
		transport := new(recordingTransport)
		h, err := core.New(core.Config{Generation: newGeneration(t, 1, "", ""), Seed: 1, Transport: transport})
		if err != nil {
			t.Fatal(err)
		}
		defer h.Close()
		h.ApplyList(&membership.List{Complete: true, Entries: []membership.Entry{{Endpoint: chalkrack.Endpoint{Name: "s0", Zone: "z", Hint: 1}, Address: "x"}}})
		hosts, transports = append(hosts, h), append(transports, transport)
	}
	group := core.NewGroup(hosts...)
	next := func(id int) (all []*generation.Generation) {
		for range count {
			all = append(all, newGeneration(t, id, `"attemptsCap":4`, `"attemptsCap":1`))
		}
		return all
	}
	check := func(step string, current, onTrial int) {
		t.Helper()
		for n, h := range hosts {
			v := h.Generations()
			got := 0
			if v.Next != nil {
				got = v.Next.ID
			}
			if v.Current.ID != current || got != onTrial {
				t.Errorf("%s: core %d serves under %d, with %d on trial; want %d and %d", step, n, v.Current.ID, got, current, onTrial)
			}
		}
	}
	broken := next(2)
	broken[count-1].Settings.Config.MaxAttempts = 0
	if err := group.StartTrial(broken, trial, 1); err == nil {
		t.Error("a change that one core can't take began")
	}
	check("refused", 1, 0)
	if err := group.StartTrial(next(2), configtrial.Config{}, 1); err == nil {
		t.Error("a trial without a share began")
	}
	check("refused", 1, 0)
	if err := group.EndTrial(true); !errors.Is(err, generation.ErrIdle) {
		t.Errorf("the end without a trial: %v", err)
	}
	if err := group.StartTrial(next(3), trial, 1); err != nil {
		t.Fatal(err)
	}
	check("on trial", 1, 3)
	// Failed calls of the last core alone undo the change.
	last := hosts[count-1]
	for n := range 60 {
		under := last.Stamp()
		for under.Gen.ID != 3 {
			under = last.Stamp()
		}
		last.Arrive(&core.Call{ID: fmt.Sprint(n), Class: "u", Generation: under, Received: time.Now(), Caller: new(countingCaller)})
		orders := transports[count-1].orders
		orders[len(orders)-1].Sink.Done(chalkrack.Reset, nil, chalkrack.LoadReport{})
	}
	ruling, class, _, err := group.TrialRuling()
	if err != nil || ruling.Verdict != configtrial.Undo || class != "u" || ruling.Calls != 60 {
		t.Errorf("ruling %+v, class %q, error %v", ruling, class, err)
	}
	if err := group.EndTrial(false); err != nil {
		t.Error(err)
	}
	check("undone", 1, 0)
	if err := group.StartTrial(next(4), trial, 1); err != nil {
		t.Fatal(err)
	}
	if err := group.EndTrial(true); err != nil {
		t.Error(err)
	}
	check("kept", 4, 0)
}

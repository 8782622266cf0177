package core_test

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"chalkrack"
	"chalkrack/internal/configtrial"
	"chalkrack/internal/core"
	"chalkrack/internal/generation"
	"chalkrack/internal/membership"
	"chalkrack/internal/settings"
)

// recordingTransport is a transport that records the attempts, which the test ends.
type recordingTransport struct {
	inertTransport
	orders []core.Order
}

func (o *recordingTransport) NewAttempt(order core.Order) core.Attempt {
	o.orders = append(o.orders, order)
	return inertTransport{}
}

// failAll ends all attempts so far as attempts that never ran, so that their calls may be retried.
func (o *recordingTransport) failAll() {
	for _, order := range o.orders {
		order.Sink.Done(chalkrack.ConnectFailed, nil, chalkrack.LoadReport{})
	}
}

// countingCaller counts how its calls end.
type countingCaller struct {
	core.Caller
	refused, failed, served, released int
}

func (f *countingCaller) Serve(any) { f.served++ }

func (f *countingCaller) Refuse(time.Duration, bool) { f.refused++ }
func (f *countingCaller) Fail()                      { f.failed++ }
func (f *countingCaller) Release()                   { f.released++ }

// newGeneration returns a generation whose settings differ by one replaced piece of text.
func newGeneration(t *testing.T, id int, oldText, newText string) *generation.Generation {
	t.Helper()
	text := `{"replicasOfMe":1,"zone":"z","caps":{"attemptsCap":4,"mayCancel":true,"secondCopies":false,"mostHeld":1000},
		"guarantees":{"drainGraceUs":2000000},"classes":[
		{"name":"a","effect":"repeatable","promiseUs":10000000,"hardLimitUs":20000000,"worth":1},
		{"name":"u","effect":"once","promiseUs":10000000,"hardLimitUs":20000000,"worth":1}]}`
	s, err := settings.Parse(bytes.Replace([]byte(text), []byte(oldText), []byte(newText), 1))
	if err != nil {
		t.Fatal(err)
	}
	return &generation.Generation{ID: id, Settings: s}
}

// Guards against a call being handled under two configurations. The configuration that a call was
// stamped with must decide on its attempts and its class, whatever trial is started, kept or undone
// while the call's body arrives or its attempts are outstanding.
func TestCallsKeepTheirGeneration(t *testing.T) {
	for _, keep := range []bool{false, true} {
		transport := new(recordingTransport)
		h, err := core.New(core.Config{Generation: newGeneration(t, 1, `"attemptsCap":4`, `"attemptsCap":2`), Seed: 1, Transport: transport})
		if err != nil {
			t.Fatal(err)
		}
		defer h.Close()
		group := core.NewGroup(h)
		l := &membership.List{Complete: true}
		for _, name := range []string{"s0", "s1", "s2", "s3", "s4", "s5"} {
			l.Entries = append(l.Entries, membership.Entry{Endpoint: chalkrack.Endpoint{Name: name, Zone: "z", Hint: 1}, Address: "x"})
		}
		h.ApplyList(l)
		arrive := func(id string, under generation.Stamp) *countingCaller {
			c := new(countingCaller)
			h.Arrive(&core.Call{ID: id, Class: "a", Generation: under, Received: time.Now(), Caller: c})
			return c
		}
		// ends returns the number of the call's attempts until its answer.
		ends := func(c *countingCaller) (attempts int) {
			for c.refused+c.failed == 0 {
				if attempts++; attempts > 10 {
					t.Fatal("the call has no answer after 10 attempts")
				}
				transport.failAll()
			}
			return attempts
		}
		out := arrive("sent before", generation.Stamp{})
		_, coming, known := h.Route("/a")
		if !known || coming.Gen.ID != 1 {
			t.Fatalf("stamp before the trial: %+v, want generation 1", coming)
		}
		next := newGeneration(t, 2, `"attemptsCap":4`, `"attemptsCap":1`)
		next = &generation.Generation{ID: 2, Settings: next.Settings, Paths: map[string]string{"/b": "a"}}
		if err := group.StartTrial([]*generation.Generation{next}, configtrial.Config{Share: 0.5, FalseUndo: 0.01, DetectableShare: 0.5, Duration: time.Minute}, 1); err != nil {
			t.Fatal(err)
		}
		if err := group.StartTrial([]*generation.Generation{newGeneration(t, 3, "", "")}, configtrial.Config{}, 1); err == nil {
			t.Error("a second trial was started during the first")
		}
		seen := make(map[int]generation.Stamp)
		for len(seen) < 2 {
			s := h.Stamp()
			seen[s.Gen.ID] = s
		}
		if n := ends(out); n != 2 {
			t.Errorf("keep %v: call sent before the trial: %d attempts, want 2", keep, n)
		}
		under := arrive("new", seen[2])
		if n := ends(under); n != 1 {
			t.Errorf("keep %v: call of the new generation: %d attempts, want 1", keep, n)
		}
		late := arrive("stamped in the trial", seen[1])
		if err := group.EndTrial(keep); err != nil {
			t.Fatal(err)
		}
		if n := ends(late); n != 2 {
			t.Errorf("keep %v: call of the old generation, sent before the end of the trial: %d attempts, want 2", keep, n)
		}
		if n := ends(arrive("its body came slowly", coming)); n != 2 {
			t.Errorf("keep %v: call stamped before the trial: %d attempts, want 2", keep, n)
		}
		want := map[bool]int{false: 2, true: 1}[keep]
		if n := ends(arrive("after", generation.Stamp{})); n != want || h.Generations().Next != nil {
			t.Errorf("keep %v: call after the end of the trial: %d attempts", keep, n)
		}
		if _, _, known := h.Route("/b"); known != keep {
			t.Errorf("keep %v: the path of the new generation is known: %v", keep, known)
		}
		if _, _, _, err := group.TrialRuling(); err == nil {
			t.Error("Rule returned no error after the trial had ended")
		}
	}
}

// A class that the new configuration drops must stay known to calls stamped with the old one, and
// calls of this class under the new one must count against it.
func TestDroppedClassCountsAgainstTrial(t *testing.T) {
	transport := new(recordingTransport)
	h, err := core.New(core.Config{Generation: newGeneration(t, 1, "", ""), Seed: 1, Transport: transport})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	group := core.NewGroup(h)
	h.ApplyList(&membership.List{Complete: true, Entries: []membership.Entry{{Endpoint: chalkrack.Endpoint{Name: "s0", Zone: "z", Hint: 1}, Address: "x"}}})
	_, early, _ := h.Route("/u")
	if err := group.StartTrial([]*generation.Generation{newGeneration(t, 2, `"name":"u"`, `"name":"v"`)}, configtrial.Config{Share: 0.5, FalseUndo: 0.01, DetectableShare: 0.5, Duration: time.Minute}, 1); err != nil {
		t.Fatal(err)
	}
	c := new(countingCaller)
	h.Arrive(&core.Call{ID: "1", Class: "u", Generation: early, Received: time.Now(), Caller: c})
	if len(transport.orders) != 1 || !transport.orders[0].AtMostOnce {
		t.Errorf("orders %+v, want one with Once set", transport.orders)
	}
	unknown := 0
	for range 200 {
		if _, _, known := h.Route("/u"); !known {
			unknown++
		}
	}
	r, class, _, err := group.TrialRuling()
	if err != nil || r.Verdict != configtrial.Undo || class != "u" || r.Calls != unknown {
		t.Errorf("ruling %+v, class %q, %d calls of an unknown class, error %v", r, class, unknown, err)
	}
	if err := group.EndTrial(false); err != nil {
		t.Fatal(err)
	}
	if _, _, known := h.Route("/u"); !known {
		t.Error("the class is unknown after the trial was undone")
	}
}

// Calls must count in a trial as they ended: as late if their aim passed, measured from their
// arrival or from the end of their body; not at all if the client left within the aim; and as
// refused also if they were refused for lack of capacity.
func TestTrialCountsHowCallsEnded(t *testing.T) {
	const aim = 10 * time.Second // of the classes that newGeneration defines
	for _, c := range []struct {
		name  string
		next  [2]string // the text replaced in the new configuration, and its replacement
		call  func(h *core.Host, c *core.Call, last func() core.Sink)
		calls int // calls of the new generation that count, out of 60
		undo  bool
		kind  configtrial.Kind
	}{
		{"served in time", [2]string{}, func(h *core.Host, c *core.Call, last func() core.Sink) {
			h.Arrive(c)
			time.Sleep(aim - time.Millisecond)
			last().Done(chalkrack.OK, "", chalkrack.LoadReport{})
		}, 60, false, 0},
		{"served late", [2]string{}, func(h *core.Host, c *core.Call, last func() core.Sink) {
			h.Arrive(c)
			time.Sleep(aim + time.Millisecond)
			last().Done(chalkrack.OK, "", chalkrack.LoadReport{})
		}, 60, true, configtrial.Late},
		{"failed", [2]string{}, func(h *core.Host, c *core.Call, last func() core.Sink) {
			c.Class = "u"
			h.Arrive(c)
			last().Done(chalkrack.Reset, nil, chalkrack.LoadReport{})
		}, 60, true, configtrial.Failed},
		{"left in time", [2]string{}, func(h *core.Host, c *core.Call, _ func() core.Sink) {
			h.Arrive(c)
			time.Sleep(aim / 2)
			h.ClientGone(c)
		}, 0, false, 0},
		{"left late", [2]string{}, func(h *core.Host, c *core.Call, _ func() core.Sink) {
			h.Arrive(c)
			time.Sleep(aim + time.Millisecond)
			h.ClientGone(c)
		}, 60, true, configtrial.Late},
		{"body that takes long", [2]string{}, func(h *core.Host, c *core.Call, last func() core.Sink) {
			c.Limits = &core.Limits{BodyTimeout: time.Minute}
			h.Arrive(c)
			time.Sleep(2 * aim)
			h.BodyComplete(c)
			last().Done(chalkrack.OK, "", chalkrack.LoadReport{})
		}, 60, false, 0},
		{"no room", [2]string{`"mostHeld":1000`, `"mostHeld":1`}, func(h *core.Host, c *core.Call, last func() core.Sink) {
			other := &core.Call{ID: c.ID + "x", Class: "a", Received: time.Now(), Caller: new(countingCaller), Generation: c.Generation}
			h.Arrive(other) // uses the only place
			h.Arrive(c)
			h.ClientGone(other)
		}, 60, true, configtrial.Refused},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport := new(recordingTransport)
				h, err := core.New(core.Config{Generation: newGeneration(t, 1, "", ""), Seed: 1, Transport: transport})
				if err != nil {
					t.Fatal(err)
				}
				defer h.Close()
				group := core.NewGroup(h)
				h.ApplyList(&membership.List{Complete: true, Entries: []membership.Entry{{Endpoint: chalkrack.Endpoint{Name: "s0", Zone: "z", Hint: 1}, Address: "x"}}})
				if err := group.StartTrial([]*generation.Generation{newGeneration(t, 2, c.next[0], c.next[1])}, configtrial.Config{Share: 0.5, FalseUndo: 0.01, DetectableShare: 0.5, Duration: time.Hour}, 1); err != nil {
					t.Fatal(err)
				}
				var under generation.Stamp
				for under.Gen == nil || under.Gen.ID != 2 {
					under = h.Stamp()
				}
				for n := range 60 {
					c.call(h, &core.Call{ID: fmt.Sprint(n), Class: "a", Generation: under, Received: time.Now(), Caller: new(countingCaller)}, func() core.Sink { return transport.orders[len(transport.orders)-1].Sink })
				}
				r, _, _, err := group.TrialRuling()
				if err != nil || r.Calls != c.calls || (r.Verdict == configtrial.Undo) != c.undo || c.undo && r.Kind != c.kind {
					t.Errorf("ruling %+v, error %v", r, err)
				}
			})
		})
	}
}

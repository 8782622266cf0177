package chalkrack

import (
	"testing"
	"time"
)

// An attempt whose answer has begun and pauses goes on. The request gets another one beside it only
// under the terms of a retry.
func TestStalledAnswerGetsAnotherAttempt(t *testing.T) {
	const aim = time.Second
	for name, c := range map[string]struct {
		class   Class
		change  func(cfg *Config, r *Request)
		clear   bool // the retry budget is empty
		at      time.Duration
		stalled []int // attempts, in order
		sends   int
	}{
		"safe":                        {stalled: []int{0}, at: aim / 2, sends: 2},
		"safe, reported twice":        {stalled: []int{0, 0}, at: aim / 2, sends: 2},
		"safe, both stalled":          {stalled: []int{0, 1}, at: aim / 2, sends: 3},
		"safe, all attempts used":     {stalled: []int{0, 1, 2}, at: aim / 2, sends: 3},
		"safe, past its aim":          {stalled: []int{0}, at: aim, sends: 1},
		"safe, past its deadline":     {stalled: []int{0}, at: 3 * aim, class: Class{LateWorth: 1}, sends: 1},
		"no budget":                   {stalled: []int{0}, at: aim / 2, clear: true, sends: 1},
		"no second copies":            {stalled: []int{0}, at: aim / 2, change: func(cfg *Config, _ *Request) { cfg.SecondCopies = false }, sends: 1},
		"another tier retries":        {stalled: []int{0}, at: aim / 2, change: func(_ *Config, r *Request) { r.MaxAttempts = 1 }, sends: 1},
		"keyed":                       {stalled: []int{0}, at: aim / 2, class: Class{Effect: Keyed, Window: aim}, sends: 2},
		"keyed, past its window":      {stalled: []int{0}, at: aim / 2, class: Class{Effect: Keyed, Window: aim / 4}, sends: 1},
		"unsafe":                      {stalled: []int{0}, at: aim / 2, class: Class{Effect: Unsafe}, sends: 1},
		"an attempt that wasn't made": {stalled: []int{1, -1}, at: aim / 2, sends: 1},
	} {
		t.Run(name, func(t *testing.T) {
			c.class.Aim, c.class.Worth = aim, 1
			cfg, request := Config{Instances: 1, MaxAttempts: 3, SecondCopies: true, Classes: []Class{c.class}}, Request{ID: 1, Tenant: -1, Deadline: 2 * aim}
			if c.change != nil {
				c.change(&cfg, &request)
			}
			h := new(countingHost)
			b, err := New(cfg, 1, h)
			if err != nil {
				t.Fatal(err)
			}
			b.disableCopies()
			b.admitter.arrivalShares[0] = 0.1 // the mean worth is low, so that a retry takes one token
			b.ServersListed(0, []Endpoint{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}})
			b.Arrive(0, request)
			if c.clear {
				b.ClearBudgets()
				b.admitter.arrivalShares[0] = 1
			}
			for _, n := range c.stalled {
				b.AnswerStalled(c.at, 1, n)
			}
			if h.sends != c.sends || h.refused+h.failed != 0 {
				t.Errorf("%d sends, %d refused, %d failed, want %d sends and no end", h.sends, h.refused, h.failed, c.sends)
			}
		})
	}
}

// The server of a stalled answer counts as failing if another attempt answers first, and not if the
// answer goes on.
func TestStalledServersAreFailing(t *testing.T) {
	for _, goesOn := range []bool{false, true} {
		b, h := fourServers(t)
		b.disableCopies()
		b.Arrive(0, Request{ID: 1, Tenant: -1, Deadline: 2 * time.Second})
		b.AnswerStalled(time.Millisecond, 1, 0)
		if len(h.servers) != 2 {
			t.Fatalf("sent to %v", h.servers)
		}
		winner, loser := 1, 0
		if goesOn {
			winner, loser = 0, 1
		}
		b.AttemptDone(2*time.Millisecond, 1, winner, OK, true, LoadReport{})
		b.AttemptDone(2*time.Millisecond, 1, loser, Cancelled, true, LoadReport{})
		if failing := b.fleet.byName[h.servers[0]].ejection.failures > 0; failing == goesOn {
			t.Errorf("goes on %v: counts as failing %v", goesOn, failing)
		}
	}
}

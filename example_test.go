package chalkrack_test

import (
	"fmt"
	"time"

	"chalkrack"
)

// printer is a Host that prints the decisions. A real one carries them out, and
// reports the end of each attempt and each expired timer to the balancer.
type printer struct{ timers []uint64 }

func (p *printer) Send(id chalkrack.RequestID, server string, _ time.Duration) {
	fmt.Printf("send request %d to %s\n", id, server)
}
func (p *printer) Cancel(id chalkrack.RequestID, attempt int) {
	fmt.Printf("cancel attempt %d of request %d\n", attempt, id)
}
func (p *printer) Refuse(id chalkrack.RequestID, _ time.Duration) {
	fmt.Printf("refuse request %d\n", id)
}
func (p *printer) Fail(id chalkrack.RequestID)             { fmt.Printf("fail request %d\n", id) }
func (p *printer) SetTimer(cookie uint64, _ time.Duration) { p.timers = append(p.timers, cookie) }
func (p *printer) CloseIdle(string)                        {}
func (p *printer) Probe(string)                            {}
func (p *printer) Subscribe()                              {}

// A request gets a copy, and the slower attempt is cancelled. A new balancer has
// no response times yet and copies one request in ten at once; with this seed
// the first request is one of them.
func Example() {
	host := new(printer)
	b, err := chalkrack.New(chalkrack.Config{
		Instances:    1,
		MaxAttempts:  3,
		MayCancel:    true,
		SecondCopies: true,
		Classes:      []chalkrack.Class{{Aim: 200 * time.Millisecond, Worth: 1}},
	}, 9, host)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0)
	b.ServersListed(now, []chalkrack.Endpoint{{Name: "red"}, {Name: "blue"}})

	b.Arrive(now, chalkrack.Request{ID: 7, Tenant: -1, Deadline: now + time.Second})
	now += time.Millisecond
	b.Timer(now, host.timers[0]) // the copy's delay is over

	now += 30 * time.Millisecond
	b.AttemptDone(now, 7, 1, chalkrack.OK, true, chalkrack.LoadReport{}) // the copy answers first
	b.AttemptDone(now, 7, 0, chalkrack.Cancelled, true, chalkrack.LoadReport{})

	_, err = chalkrack.New(chalkrack.Config{Instances: 1, MaxAttempts: 3}, 1, host)
	fmt.Println(err)
	// Output:
	// send request 7 to blue
	// send request 7 to red
	// cancel attempt 0 of request 7
	// chalkrack: config: Classes must be non-empty
}

// Package evacuation decides when a fleet of sidecars leaves a zone that fails, and how it
// returns. Each sidecar judges by what its own attempts met and by what others say of
// theirs in notes; each speaks for itself only, and counts once however loud it is. What
// the fleet has agreed on is a record for each zone that only grows, so that sidecars
// which hold different ones come to the same in the end, and an order of an operator, of
// which the latest wins everywhere. The package has no I/O, clock or goroutines.
package evacuation

import (
	"errors"
	"fmt"
	"hash/fnv"
	"time"
)

// Bounds of what a Machine holds.
const (
	ZonesMost   = 32
	ServersMost = 4096
	PeersMost   = 8192
	openMost    = 4096 // attempts that are watched for silence
)

// Config is what a Machine is told. Times are as the zones' page says.
type Config struct {
	Self  int    // this sidecar's number
	Peers int    // how many there are, this one too
	Seed  uint64 // of whom notes go to
	Inc   uint64 // grows with each start

	Witnesses int           // whose word it takes to leave; fewer in a smaller fleet
	Share     float64       // of those that have an opinion must say that the zone fails
	Fails     float64       // the part of a zone's answers that are bad from which on it fails
	Limps     float64       // and from which on it limps
	Silence   time.Duration // an attempt with no answer for so long is bad, at the least
	Slow      float64       // and one that takes so many times as long as elsewhere
	Window    time.Duration // evidence is forgotten in about this time
	Settle    time.Duration // how long others have to contradict before one leaves who has seen nothing itself
	Alone     time.Duration // after which one leaves alone whom nobody answers
	Dwell     time.Duration // out for so long before the first return
	DwellMost time.Duration // and at most, as it doubles with each relapse
	Proof     time.Duration // each stage lasts for so long at least
	Bears     float64       // calls a second that one server of a zone bears
	Spread    int           // peers that are told at once of what is new
	Full      float64       // the share of refusals elsewhere from which on a zone is left in part only
	Dear      []bool        // by class: worth more than the mean; these leave first
	// Regions has the region of zones. Where more than half of one's zones are out, anybody's
	// word is enough for another of them.
	Regions map[string]string
	// Carried is what share of the fleet's calls the other zones carry without one, as
	// 'fawnctl plan' has it for its loss; what is not there they carry. Below 1 a zone that
	// serves anything is left in part.
	Carried map[string]float64
}

// Default is a Config with the times and shares of the operators' page.
func Default() Config {
	return Config{Peers: 1, Witnesses: 3, Share: 0.6, Fails: 0.6, Limps: 0.2, Silence: 400 * time.Millisecond, Slow: 4, Window: 1500 * time.Millisecond,
		Settle: 150 * time.Millisecond, Alone: time.Second, Dwell: 5 * time.Second, DwellMost: time.Minute, Proof: time.Second, Bears: 20, Spread: 4, Full: 0.1}
}

// Validate says what can't be used, by the name of the field as the operators' file has it.
func (c *Config) Validate() error {
	var err error
	need := func(ok bool, field, want string, args ...any) {
		if !ok && err == nil {
			err = fmt.Errorf("zones.%s: must be %s", field, fmt.Sprintf(want, args...))
		}
	}
	need(c.Peers >= 1 && c.Peers <= PeersMost, "peers", "within 1 and %d", PeersMost)
	need(c.Self >= 0 && c.Self < c.Peers, "self", "one of the peers")
	need(c.Witnesses >= 1 && c.Witnesses <= 64, "witnesses", "within 1 and 64")
	need(c.Share >= 0.5 && c.Share <= 1, "share", "within 0.5 and 1")
	need(c.Fails > 0 && c.Fails <= 1, "fails", "above 0, 1 at most")
	need(c.Limps > 0 && c.Limps < c.Fails, "limps", "above 0 and below fails")
	need(c.Silence >= 50*time.Millisecond && c.Silence <= 10*time.Second, "silence", "within 50ms and 10s")
	need(c.Slow >= 1.5 && c.Slow <= 100, "slow", "within 1.5 and 100")
	need(c.Window >= c.Silence && c.Window <= time.Minute, "window", "silence at least, 1m at most")
	need(c.Settle >= 0 && c.Settle < c.Window, "settle", "0 or more, and below window")
	need(c.Alone >= c.Settle && c.Alone <= time.Minute, "alone", "settle at least, 1m at most")
	need(c.Proof >= c.Silence && c.Proof <= time.Hour, "proof", "silence at least, 1h at most: a stage is judged by what has had time to fail")
	need(c.Dwell >= c.Proof && c.Dwell <= time.Hour, "dwell", "proof at least, 1h at most")
	need(c.DwellMost >= c.Dwell && c.DwellMost <= 24*time.Hour, "dwell_most", "dwell at least, 24h at most")
	need(c.Bears > 0 && c.Bears <= 1e6, "bears", "above 0, 1000000 at most")
	need(c.Spread >= 1 && c.Spread <= 16, "spread", "within 1 and 16")
	for zone, share := range c.Carried {
		need(share >= 0 && share <= 1, "carried."+zone, "within 0 and 1")
	}
	need(c.Full > 0 && c.Full <= 1, "full", "above 0, 1 at most")
	return err
}

// ZoneID names a zone in notes: a hash of its name.
type ZoneID uint16

// IDOf is a zone's.
func IDOf(zone string) ZoneID {
	h := fnv.New32a()
	h.Write([]byte(zone))
	x := h.Sum32()
	return ZoneID(x ^ x>>16)
}

// Stage is what part of the fleet sends to a zone.
type Stage uint8

const (
	All     Stage = iota // everybody
	Part                 // all but the dear classes
	Out                  // nobody
	First                // a sixty-fourth of the sidecars, within a pace
	Second               // a sixteenth
	Quarter              // a quarter
	stages
)

// String is the stage's word.
func (s Stage) String() string {
	return [...]string{"all", "part", "out", "1/64", "1/16", "1/4"}[s]
}

// back is the stage that a relapse goes to, next the one that proof leads to.
var (
	before = [stages]Stage{Out, Out, Out, Out, First, Second}
	after  = [stages]Stage{All, All, First, Second, Quarter, All}
	part   = [stages]float64{1, 1, 0, 1.0 / 64, 1.0 / 16, 1.0 / 4}
	// caution orders stages of one step: of two that were taken at once the one that sends
	// less holds.
	caution = [stages]int{0, 1, 5, 4, 3, 2}
)

// Record is what the fleet holds of a zone. It only grows, by Gen and then by Step.
type Record struct {
	Gen   uint32 // counts departures
	Step  uint16 // counts changes of the stage since
	Fails uint8  // relapses in a row: how long it dwells
	Stage Stage
}

// Later says that r goes before o.
func (r Record) Later(o Record) bool {
	switch {
	case r.Gen != o.Gen:
		return r.Gen > o.Gen
	case r.Step != o.Step:
		return r.Step > o.Step
	case r.Stage != o.Stage:
		return caution[r.Stage] > caution[o.Stage]
	}
	return r.Fails > o.Fails
}

// Action is what an operator orders.
type Action uint8

const (
	Auto  Action = iota // no order: evidence decides
	Leave               // out, whatever is seen
	Hold                // as it is now
	actions
)

// String is the action's word.
func (a Action) String() string { return [...]string{"auto", "leave", "hold"}[a] }

// Order is an operator's, of which the latest wins everywhere: by Version, then by Author.
type Order struct {
	Version uint32
	Author  uint16 // the number of the sidecar that took it
	Action  Action
	Stage   Stage  // that Hold holds
	Who     string // asked, whoMost bytes at most
	Reason  string // reasonMost bytes at most
}

// Lengths of an order's texts, in bytes.
const (
	WhoMost    = 16
	ReasonMost = 40
)

func (o Order) later(p Order) bool {
	if o.Version != p.Version {
		return o.Version > p.Version
	}
	return o.Author > p.Author
}

// Vote is what a sidecar says of a zone by its own evidence.
type Vote uint8

const (
	None    Vote = iota // nothing seen lately, or nothing that tells
	Fine                // most of what it asked was answered well
	Limping             // a part was not
	Failing             // most was not, and it is better elsewhere
	CutOff              // most was not, and others see it well
	Alike               // most was not, and it is no better elsewhere
	votes
)

// String is the vote's word.
func (v Vote) String() string {
	return [...]string{"unknown", "fine", "limping", "failing", "cut off", "failing like all"}[v]
}

// Errors of orders.
var (
	ErrZone = errors.New("there is no such zone")
	ErrLast = errors.New("it is all there is")
	ErrText = fmt.Errorf("the reason may have %d bytes, the name %d, and neither may be empty", ReasonMost, WhoMost)
)

// Package evacuation decides when a fleet of sidecars stops sending to a failing zone and how it
// returns to it. Each sidecar votes on a zone by the results of its own attempts and exchanges
// votes with its peers in notes; a sidecar reports only what it saw itself and has one vote
// whatever its traffic. The agreed state of a zone is a record that only advances, so that sidecars
// with different records converge, and an operator's order, of which the latest wins on every
// sidecar. The package does no I/O, reads no clock and starts no goroutines.
package evacuation

import (
	"errors"
	"fmt"
	"hash/fnv"
	"time"
)

// Limits on the number of zones, servers, peers and open attempts that a Machine tracks.
const (
	MaxZones        = 32
	MaxServers      = 4096
	MaxPeers        = 8192
	maxOpenAttempts = 4096 // attempts watched for a late response
)

// Config holds the parameters of a Machine.
type Config struct {
	Self        int    // number of this sidecar
	Peers       int    // number of sidecars, including this one
	Seed        uint64 // seeds the choice of peers that notes go to
	Incarnation uint64 // incarnation number, increases with each start

	// MinWitnesses is the number of sidecars that must report a failure before the fleet leaves a
	// zone. A fleet too small for it needs half of its sidecars, rounded up.
	MinWitnesses int
	// MinFailingShare is the least share of the sidecars with an opinion that must vote that the
	// zone fails.
	MinFailingShare float64
	// FailingRatio is the ratio of bad results to all results at which a zone fails.
	FailingRatio float64
	// DegradedRatio is the ratio of bad results at which a zone is degraded.
	DegradedRatio float64
	// ResponseTimeout is the least time without a response after which an attempt counts as late.
	ResponseTimeout time.Duration
	// SlowFactor is the factor over the response time of the fastest zone above which an attempt
	// counts as late.
	SlowFactor float64
	// EvidenceWindow is the time constant with which evidence decays.
	EvidenceWindow time.Duration
	// SettleDelay is how long peers have to contradict before the fleet leaves a zone.
	SettleDelay time.Duration
	// LocalDepartureDelay is how long a sidecar sees a zone fail, without agreement of its peers,
	// before it leaves the zone by itself.
	LocalDepartureDelay time.Duration
	// MinDwell is how long a zone stays out before its first return.
	MinDwell time.Duration
	// MaxDwell bounds the dwell time, which doubles with each relapse.
	MaxDwell time.Duration
	// MinStageDuration is the least duration of each stage of a return.
	MinStageDuration time.Duration
	// ServerCapacity is the number of calls per second that one server of a zone can take.
	ServerCapacity float64
	// Fanout is the number of peers that are notified at once of a change.
	Fanout int
	// MaxRefusalShare is the share of refusals in the other zones above which a zone is left
	// only in part.
	MaxRefusalShare float64
	// HighWorthClasses marks the classes, by index, that are worth more than the mean. Only
	// they leave a zone that is left in part.
	HighWorthClasses []bool
	// RegionByZone maps a zone to its region. Once more than half of a region's zones are out, the
	// vote of a single sidecar is enough to leave another of them.
	RegionByZone map[string]string
	// CapacityWithoutZone maps a zone to the share of the fleet's calls that the other zones
	// can carry without it, as 'fawnctl plan' computes it for the loss of that zone. A zone
	// without an entry counts as 1. Below 1, a zone that still serves some calls is left only in part.
	CapacityWithoutZone map[string]float64
}

// Default returns a Config with the defaults that are documented for operators.
func Default() Config {
	return Config{Peers: 1, MinWitnesses: 3, MinFailingShare: 0.6, FailingRatio: 0.6, DegradedRatio: 0.2, ResponseTimeout: 400 * time.Millisecond, SlowFactor: 4, EvidenceWindow: 1500 * time.Millisecond,
		SettleDelay: 150 * time.Millisecond, LocalDepartureDelay: time.Second, MinDwell: 5 * time.Second, MaxDwell: time.Minute, MinStageDuration: time.Second, ServerCapacity: 20, Fanout: 4, MaxRefusalShare: 0.1}
}

// Validate returns an error for the first invalid field, under the name that the field has in the
// configuration file.
func (c *Config) Validate() error {
	var err error
	require := func(ok bool, field, want string, args ...any) {
		if !ok && err == nil {
			err = fmt.Errorf("zones.%s: must be %s", field, fmt.Sprintf(want, args...))
		}
	}
	require(c.Peers >= 1 && c.Peers <= MaxPeers, "peers", "within 1 and %d", MaxPeers)
	require(c.Self >= 0 && c.Self < c.Peers, "self", "the number of a peer")
	require(c.MinWitnesses >= 1 && c.MinWitnesses <= 64, "witnesses", "within 1 and 64")
	require(c.MinFailingShare >= 0.5 && c.MinFailingShare <= 1, "share", "within 0.5 and 1")
	require(c.FailingRatio > 0 && c.FailingRatio <= 1, "fails", "above 0 and at most 1")
	require(c.DegradedRatio > 0 && c.DegradedRatio < c.FailingRatio, "limps", "above 0 and below fails")
	require(c.ResponseTimeout >= 50*time.Millisecond && c.ResponseTimeout <= 10*time.Second, "silence", "within 50ms and 10s")
	require(c.SlowFactor >= 1.5 && c.SlowFactor <= 100, "slow", "within 1.5 and 100")
	require(c.EvidenceWindow >= c.ResponseTimeout && c.EvidenceWindow <= time.Minute, "window", "within silence and 1m")
	require(c.SettleDelay >= 0 && c.SettleDelay < c.EvidenceWindow, "settle", "0 or more, and below window")
	require(c.LocalDepartureDelay >= c.SettleDelay && c.LocalDepartureDelay <= time.Minute, "alone", "within settle and 1m")
	require(c.MinStageDuration >= c.ResponseTimeout && c.MinStageDuration <= time.Hour, "proof", "within silence and 1h, because an attempt counts as late only after silence")
	require(c.MinDwell >= c.MinStageDuration && c.MinDwell <= time.Hour, "dwell", "within proof and 1h")
	require(c.MaxDwell >= c.MinDwell && c.MaxDwell <= 24*time.Hour, "dwell_most", "within dwell and 24h")
	require(c.ServerCapacity > 0 && c.ServerCapacity <= 1e6, "bears", "above 0 and at most 1000000")
	require(c.Fanout >= 1 && c.Fanout <= 16, "spread", "within 1 and 16")
	for zone, share := range c.CapacityWithoutZone {
		require(share >= 0 && share <= 1, "carried."+zone, "within 0 and 1")
	}
	require(c.MaxRefusalShare > 0 && c.MaxRefusalShare <= 1, "full", "above 0 and at most 1")
	return err
}

// ZoneID identifies a zone in notes. It is a hash of the zone's name.
type ZoneID uint16

// HashZoneName returns the ID of the zone with the given name.
func HashZoneName(zone string) ZoneID {
	h := fnv.New32a()
	h.Write([]byte(zone))
	x := h.Sum32()
	return ZoneID(x ^ x>>16)
}

// Stage determines which part of the fleet sends to a zone.
type Stage uint8

const (
	StageAll     Stage = iota // all sidecars send
	StagePart                 // all sidecars send, except calls of classes marked in Config.HighWorthClasses
	StageOut                  // no sidecar sends
	StageOneIn64              // 1/64 of the sidecars send, rate limited
	StageOneIn16              // 1/16 of the sidecars send, rate limited
	StageOneIn4               // 1/4 of the sidecars send, rate limited
	stageCount
)

// String returns the name of the stage as shown to operators.
func (s Stage) String() string {
	return [...]string{"all", "part", "out", "1/64", "1/16", "1/4"}[s]
}

// relapseStage is the stage that follows a relapse, nextStage the one that follows a successful
// stage, and sendingShare the share of the sidecars that send.
var (
	relapseStage = [stageCount]Stage{StageOut, StageOut, StageOut, StageOut, StageOneIn64, StageOneIn16}
	nextStage    = [stageCount]Stage{StageAll, StageAll, StageOneIn64, StageOneIn16, StageOneIn4, StageAll}
	sendingShare = [stageCount]float64{1, 1, 0, 1.0 / 64, 1.0 / 16, 1.0 / 4}
	// restrictiveness orders the stages of records with equal Gen and Step: of two concurrent
	// changes the one that sends less wins.
	restrictiveness = [stageCount]int{0, 1, 5, 4, 3, 2}
)

// Record is the replicated state of a zone. It only advances, first by Gen and then by Step.
type Record struct {
	Gen   uint32 // number of departures
	Step  uint16 // number of stage changes since the departure
	Fails uint8  // consecutive relapses; each doubles the dwell time
	Stage Stage
}

// IsLater reports whether r supersedes o.
func (r Record) IsLater(o Record) bool {
	switch {
	case r.Gen != o.Gen:
		return r.Gen > o.Gen
	case r.Step != o.Step:
		return r.Step > o.Step
	case r.Stage != o.Stage:
		return restrictiveness[r.Stage] > restrictiveness[o.Stage]
	}
	return r.Fails > o.Fails
}

// Action is what an operator's order demands.
type Action uint8

const (
	ActionAuto  Action = iota // no order: evidence decides
	ActionLeave               // keep the zone out, whatever the evidence
	ActionHold                // keep the current stage
	actionCount
)

// String returns the name of the action as shown to operators.
func (a Action) String() string { return [...]string{"auto", "leave", "hold"}[a] }

// Order is an operator's order for a zone. The one with the highest Version, then the highest
// Author, wins on every sidecar.
type Order struct {
	Version uint32
	Author  uint16 // number of the sidecar that accepted it
	Action  Action
	Stage   Stage  // stage that ActionHold keeps
	Who     string // name of the operator, at most MaxWhoBytes bytes
	Reason  string // at most MaxReasonBytes bytes
}

// Maximum lengths of an order's texts, in bytes.
const (
	MaxWhoBytes    = 16
	MaxReasonBytes = 40
)

// isLater reports whether o replaces p.
func (o Order) isLater(p Order) bool {
	if o.Version != p.Version {
		return o.Version > p.Version
	}
	return o.Author > p.Author
}

// Vote is the conclusion of a sidecar about a zone from its own evidence.
type Vote uint8

const (
	VoteUnknown     Vote = iota // no recent or no conclusive evidence
	VoteFine                    // most attempts succeeded
	VoteDegraded                // part of the attempts failed
	VoteFailing                 // most attempts failed, and another zone is better
	VoteCutOff                  // most attempts failed, and other sidecars see the zone work
	VoteCommonCause             // most attempts failed, and no other zone is better
	voteCount
)

// String returns the name of the vote as shown to operators.
func (v Vote) String() string {
	return [...]string{"unknown", "fine", "limping", "failing", "cut off", "failing like all"}[v]
}

// Errors of orders.
var (
	ErrUnknownZone = errors.New("there is no such zone")
	ErrLastZone    = errors.New("it is the last zone in use and cannot be left")
	ErrOrderText   = fmt.Errorf("the reason must have 1 to %d bytes and the name of the operator 1 to %d", MaxReasonBytes, MaxWhoBytes)
)

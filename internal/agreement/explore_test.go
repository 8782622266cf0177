package agreement

import (
	"encoding/json"
	"fmt"
	"hash/maphash"
	"maps"
	"os"
	"slices"
	"testing"
	"time"
)

// modelTick is the model's unit of time. A lease lasts two ticks.
const modelTick = time.Microsecond

var modelTimes = LeaseTimes{Lease: 2 * modelTick, Drift: 0.25, MaxCallTime: 1}

// defect is a defect injected into the state machines, or none.
type defect int

const (
	noDefect               defect = iota // no defect
	leaseFromResponse                    // a lease counts from the arrival of the response
	ignoresDrift                         // the leader allows for no clock drift
	newLeaderForgetsLeases               // a new leader takes leases that it has not granted itself as expired
	acceptsOldResponses                  // a response older than one already processed is accepted
	skipsPreparation                     // a version comes into force although a sidecar has not prepared it
	keepsLevelWithoutLease               // a sidecar without a lease keeps the levels of its active version
	deposedLeaderGrants                  // a deposed leader grants leases without contacting a majority
	losesPrepared                        // the prepared version is lost on a restart
	skipsStaleCheck                      // the levels that an expired sidecar may apply are not checked
)

// modelBounds limits the exploration of the model.
type modelBounds struct {
	ticks, restarts, leaderChanges, duplicates int
	requests                                   [2]int  // requests of each sidecar after its first
	knowsProposal                              [2]bool // the sidecar's first request comes after the proposal of version 2
	hasFloor                                   bool    // version 1 has a floor below LevelOnce for its class
}

// message is a request or response that has been sent and not yet delivered.
type message struct {
	sidecar     int
	incarnation uint64 // incarnation of the sidecar
	request     *Request
	response    *Response
}

// modelState is one state of the model: the replicated log, its leader, two sidecars and the
// messages in flight between them.
type modelState struct {
	now              int // in ticks
	state            State
	index            uint64
	leases           *LeaseTracker
	deposedState     *State // state at the previous leader, which may continue to grant leases
	sidecars         [2]*Participant
	requestsLeft     [2]int // requests that each sidecar may still send
	restarts         int    // restarts of sidecars so far
	leaderChanges    int    // changes of leader so far
	duplicates       int    // messages delivered twice so far
	proposedVersions int    // number of versions proposed so far
	messages         []message
	inForceSince     []int // the tick at which each version from 2 on came into force
}

// sidecarNow returns the time by the clock of a sidecar. The clock of the first sidecar is slow,
// and that of the leader fast, by the maximum drift.
func (w *modelState) sidecarNow(n int) time.Duration {
	rate := []float64{1 - modelTimes.Drift, 1}[n]
	return time.Duration(float64(w.now) * rate * float64(modelTick))
}

func (w *modelState) leaderNow() time.Duration {
	return time.Duration(float64(w.now) * (1 + modelTimes.Drift) * float64(modelTick))
}

const modelKey = ClassPrefix + "a"

// versionLevels holds the class level of each version, from version 1 on.
var versionLevels = []uint64{0, LevelOnce, 0}

func modelDoc(version int, hasFloor bool) *Doc {
	d := &Doc{Rules: Rules{modelKey: versionLevels[version-1]}, Key: fmt.Sprint("k", version), Who: "w", Reason: "r"}
	if version == 1 {
		d.Version = 1
		if hasFloor { // below the level of version 2, so that an expired sidecar holds up version 2
			d.Floor = Rules{modelKey: 1}
		}
	}
	return d
}

func (w *modelState) clone() *modelState {
	x := *w
	x.state.Sidecars, x.state.Superseded = maps.Clone(w.state.Sidecars), maps.Clone(w.state.Superseded)
	x.state.Results = slices.Clone(w.state.Results)
	h := *w.leases
	h.last = maps.Clone(h.last)
	x.leases = &h
	for n, sidecar := range w.sidecars {
		y := *sidecar
		y.outstanding = slices.Clone(sidecar.outstanding)
		x.sidecars[n] = &y
	}
	x.messages, x.inForceSince = slices.Clone(w.messages), slices.Clone(w.inForceSince)
	return &x
}

// normalize removes messages that can have no effect and sorts the others, so that states which
// differ only in the order of their messages are the same. A late message is one not delivered yet,
// a lost one is never delivered.
func (w *modelState) normalize() {
	w.messages = slices.DeleteFunc(w.messages, func(m message) bool {
		sidecar := w.sidecars[m.sidecar]
		if m.request != nil {
			return m.request.Incarnation < w.state.Sidecars[sidecar.name].Incarnation
		}
		known := slices.ContainsFunc(sidecar.outstanding, func(a sentRequest) bool { return a.seq == m.response.Seq })
		return !known || m.incarnation != sidecar.incarnation
	})
	slices.SortFunc(w.messages, func(a, b message) int {
		key := func(m message) int {
			if m.request != nil {
				return m.sidecar<<16 | int(m.request.Incarnation)<<12 | int(m.request.Seq)<<8
			}
			return m.sidecar<<16 | int(m.response.Seq)<<8 | int(m.response.Index)<<1 | 1
		}
		return key(a) - key(b)
	})
}

var modelSeed = maphash.MakeSeed()

// hash returns a hash that is the same for equivalent states.
func (w *modelState) hash() uint64 {
	var h maphash.Hash
	h.SetSeed(modelSeed)
	put := func(all ...int) {
		for _, n := range all {
			h.WriteByte(byte(n))
			h.WriteByte(byte(n >> 8))
		}
	}
	doc := func(d *Doc) {
		if d == nil {
			put(999)
		} else {
			put(int(d.Version))
		}
	}
	put(w.now, int(w.index), w.restarts, w.leaderChanges, w.duplicates, w.proposedVersions, int(w.state.LastVersion), int(w.state.InForce.Version), len(w.state.Results), len(w.state.Superseded))
	doc(w.state.Pending)
	for n, sidecar := range w.sidecars {
		s, ok := w.state.Sidecars[sidecar.name]
		put(w.requestsLeft[n], int(sidecar.incarnation), int(sidecar.leaseEnd), int(sidecar.index), int(sidecar.seq), int(sidecar.rejectedVersion), int(sidecar.active.Version), int(s.Incarnation), int(s.ActiveVersion), int(s.PreparedVersion))
		put(map[bool]int{true: 1}[ok], map[bool]int{true: 1}[s.LeaseExpired], int(w.leases.last[sidecar.name]))
		doc(sidecar.prepared)
		for _, a := range sidecar.outstanding {
			put(int(a.seq), int(a.sentAt))
		}
	}
	put(int(w.leases.since), len(w.inForceSince))
	put(w.inForceSince...)
	if w.deposedState != nil {
		put(int(w.deposedState.InForce.Version))
		doc(w.deposedState.Pending)
	}
	for _, m := range w.messages {
		put(7, m.sidecar)
		if m.request != nil {
			put(int(m.request.Seq), int(m.request.Incarnation), int(m.request.ActiveVersion), int(m.request.PreparedVersion))
		} else {
			put(int(m.response.Seq), int(m.response.Index), map[bool]int{true: 1}[m.response.LeaseGranted])
			doc(m.response.InForce)
			doc(m.response.Pending)
		}
	}
	return h.Sum64()
}

// applyEntry appends an entry to the log and applies it.
func (w *modelState) applyEntry(injected defect, e *Entry) {
	if injected == skipsPreparation && e.Kind == KindPrepared {
		for name, sidecar := range w.state.Sidecars {
			sidecar.PreparedVersion = e.Version
			w.state.Sidecars[name] = sidecar
		}
	}
	if injected == skipsStaleCheck && w.state.Pending != nil { // without floors, every expired sidecar counts as applying LevelOnce
		for v, d := range w.state.Superseded {
			d.Floor = nil
			w.state.Superseded[v] = d
		}
		w.state.InForce.Floor = nil
	}
	before := w.state.InForce.Version
	if w.state.Apply(e) == nil {
		w.index++
	}
	if w.state.InForce.Version == before {
		return
	}
	w.inForceSince = append(w.inForceSince, w.now)
}

// handleRequest has the council process a request, and returns the response.
func (w *modelState) handleRequest(injected defect, m message) message {
	r := m.request
	w.applyEntry(injected, &Entry{Kind: KindJoin, Sidecar: r.Sidecar, Incarnation: r.Incarnation, Version: r.ActiveVersion})
	w.applyEntry(injected, &Entry{Kind: KindActive, Sidecar: r.Sidecar, Incarnation: r.Incarnation, Version: r.ActiveVersion})
	if r.PreparedVersion > 0 {
		w.applyEntry(injected, &Entry{Kind: KindPrepared, Sidecar: r.Sidecar, Incarnation: r.Incarnation, Version: r.PreparedVersion})
	}
	a := &Response{Seq: r.Seq, Index: w.index}
	if sidecar, ok := w.state.Sidecars[r.Sidecar]; ok && sidecar.Incarnation == r.Incarnation && !sidecar.LeaseExpired {
		w.leases.RecordGrant(r.Sidecar, w.leaderNow())
		a.LeaseGranted = true
	}
	force := w.state.InForce
	a.InForce, a.Pending = &force, w.state.Pending
	return message{sidecar: m.sidecar, incarnation: m.incarnation, response: a}
}

// successors returns all states that can be reached in one step.
func (w *modelState) successors(injected defect, b modelBounds) (successors []*modelState) {
	add := func(do func(x *modelState)) {
		x := w.clone()
		do(x)
		x.normalize()
		successors = append(successors, x)
	}
	if w.now < b.ticks {
		add(func(x *modelState) { x.now++ })
	}
	for n := range w.sidecars {
		if w.requestsLeft[n] > 0 {
			add(func(x *modelState) {
				x.requestsLeft[n]--
				r := x.sidecars[n].NextRequest(x.sidecarNow(n))
				x.messages = append(x.messages, message{sidecar: n, incarnation: r.Incarnation, request: &r})
			})
		}
		if w.restarts < b.restarts {
			add(func(x *modelState) {
				x.restarts++
				sidecar := x.sidecars[n]
				k := sidecar.PersistentState()
				if injected == losesPrepared {
					k.Prepared = nil
				}
				x.sidecars[n] = NewParticipant(sidecar.name, sidecar.incarnation+1, modelTimes, k)
			})
		}
	}
	for i, m := range w.messages {
		for _, isDuplicated := range []bool{false, true} { // the message may be delivered again
			if isDuplicated && w.duplicates >= b.duplicates {
				continue
			}
			add(func(x *modelState) {
				if isDuplicated {
					x.duplicates++
				} else {
					x.messages = slices.Delete(x.messages, i, i+1)
				}
				if m.request != nil {
					x.messages = append(x.messages, x.handleRequest(injected, m))
					return
				}
				x.deliverResponse(injected, m)
			})
		}
		if m.request != nil && injected == deposedLeaderGrants && w.deposedState != nil {
			add(func(x *modelState) {
				force := x.deposedState.InForce
				x.messages[i] = message{sidecar: m.sidecar, incarnation: m.incarnation, response: &Response{Seq: m.request.Seq, Index: x.index, LeaseGranted: true, InForce: &force, Pending: x.deposedState.Pending}}
			})
		}
	}
	expired := w.leases.Expired(w.leaderNow(), &w.state)
	if injected == ignoresDrift {
		h := *w.leases
		h.times.Lease, h.times.Drift = h.times.Lease-2, 0 // makes up for rounding up, which would hide the defect
		expired = h.Expired(time.Duration(w.now)*modelTick, &w.state)
	}
	for _, name := range expired {
		add(func(x *modelState) {
			x.applyEntry(injected, &Entry{Kind: KindLeaseExpired, Sidecar: name, Incarnation: x.state.Sidecars[name].Incarnation})
			x.leases.Prune(&x.state)
		})
	}
	if w.leaderChanges < b.leaderChanges {
		add(func(x *modelState) {
			x.leaderChanges++
			deposed := x.state
			x.deposedState = &deposed
			since := x.leaderNow()
			if injected == newLeaderForgetsLeases {
				since -= modelTimes.ExpiryDelay()
			}
			x.leases = NewLeaseTracker(modelTimes, since)
		})
	}
	switch w.proposedVersions {
	case 1, 2:
		add(func(x *modelState) {
			if x.state.IsSettled() && x.state.Pending == nil && x.state.InForce.Version == uint64(x.proposedVersions) {
				x.applyEntry(injected, &Entry{Kind: KindPropose, BaseVersion: uint64(x.proposedVersions), Doc: modelDoc(x.proposedVersions+1, false)})
				x.proposedVersions++
			}
		})
	}
	if w.state.Pending != nil && w.proposedVersions == 2 {
		add(func(x *modelState) {
			x.applyEntry(injected, &Entry{Kind: KindWithdraw, Version: x.state.Pending.Version})
		})
	}
	return successors
}

// deliverResponse delivers a response to its sidecar.
func (w *modelState) deliverResponse(injected defect, m message) {
	sidecar, a := w.sidecars[m.sidecar], *m.response
	if injected == leaseFromResponse {
		for n := range sidecar.outstanding {
			sidecar.outstanding[n].sentAt = w.sidecarNow(m.sidecar)
		}
	}
	if injected == acceptsOldResponses && a.Index < sidecar.index {
		a.Index = sidecar.index
		if a.InForce.Version < sidecar.active.Version {
			sidecar.active = *a.InForce
		}
	}
	if actions := sidecar.HandleResponse(w.sidecarNow(m.sidecar), a); actions.Prepare != nil {
		sidecar.RecordPrepareResult(actions.Prepare, nil)
	}
}

// violation describes the property that the state violates, or returns "": a sidecar applies a
// lower level than every version that was in force within T, or a version is in force that a
// sidecar with a lease has neither active nor prepared.
func (w *modelState) violation(injected defect) string {
	now := time.Duration(w.now) * modelTick
	minLevel := versionLevels[len(w.inForceSince)]
	for v := len(w.inForceSince); v > 0 && now-time.Duration(w.inForceSince[v-1])*modelTick <= modelTimes.MaxStaleness()-modelTimes.MaxCallTime; v-- {
		minLevel = min(minLevel, versionLevels[v-1])
	}
	for n, sidecar := range w.sidecars {
		level := sidecar.Level(w.sidecarNow(n), modelKey)
		if injected == keepsLevelWithoutLease {
			level = sidecar.active.Rules[modelKey]
		}
		if level < minLevel {
			return fmt.Sprintf("sidecar %d applies level %d with version %d active, has lease: %v, lowest level in force within T: %d", n, level, sidecar.active.Version, sidecar.HasLease(w.sidecarNow(n)), minLevel)
		}
		if in := w.state.InForce.Version; sidecar.HasLease(w.sidecarNow(n)) && sidecar.active.Version < in && (sidecar.prepared == nil || sidecar.prepared.Version != in) {
			return fmt.Sprintf("version %d is in force, but sidecar %d has a lease with version %d active and has not prepared it", in, n, sidecar.active.Version)
		}
	}
	return ""
}

// exploreModel visits all states within the bounds, until one violates a property. It returns the
// number of states found and a description of the violation.
func exploreModel(injected defect, b modelBounds) (seen int, violation string) {
	w := &modelState{leases: NewLeaseTracker(modelTimes, 0), proposedVersions: 1}
	w.state.InForce, w.state.LastVersion = *modelDoc(1, b.hasFloor), 1
	for n := range w.sidecars {
		w.sidecars[n] = NewParticipant(string(rune('a'+n)), 1, modelTimes, PersistentState{Active: *modelDoc(1, b.hasFloor)})
		w.requestsLeft[n] = b.requests[n]
		w.applyEntry(noDefect, &Entry{Kind: KindJoin, Sidecar: w.sidecars[n].name, Incarnation: 1, Version: 1})
	}
	sendFirstRequest := func(n int) { // each sidecar starts with a lease
		r := w.sidecars[n].NextRequest(0)
		w.deliverResponse(noDefect, w.handleRequest(noDefect, message{sidecar: n, incarnation: 1, request: &r}))
	}
	for _, first := range []bool{true, false} {
		for n := range w.sidecars {
			if b.knowsProposal[n] != first {
				sendFirstRequest(n)
			}
		}
		if first {
			w.applyEntry(noDefect, &Entry{Kind: KindPropose, BaseVersion: 1, Doc: modelDoc(2, false)})
			w.proposedVersions = 2
		}
	}
	known := map[uint64]bool{w.hash(): true}
	todo := []*modelState{w}
	for len(todo) > 0 {
		w := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if violation := w.violation(injected); violation != "" {
			text, _ := json.Marshal(w.state)
			return len(known), fmt.Sprintf("tick %d: %s; versions from 2 in force since ticks %v; state %s", w.now, violation, w.inForceSince, text)
		}
		for _, x := range w.successors(injected, b) {
			if s := x.hash(); !known[s] {
				known[s] = true
				todo = append(todo, x)
			}
		}
	}
	return len(known), ""
}

// initialBounds returns the initial conditions to explore: which sidecars know of the proposal of
// version 2, and whether version 1 has a floor.
func initialBounds(b modelBounds) (variants []modelBounds) {
	for _, knows := range [][2]bool{{true, true}, {true, false}, {false, true}, {false, false}} {
		for _, floor := range []bool{false, true} {
			b.knowsProposal, b.hasFloor = knows, floor
			variants = append(variants, b)
		}
	}
	return variants
}

// Explores all executions, within the bounds, of a log, its leader and two sidecars with drifting
// clocks, where messages are late, lost or reordered. No sidecar may apply a lower level than every
// version that was in force within T, and none with a lease may have a superseded version active
// unless it has prepared the one in force. With FAWN_EXPLORE set, to be run by hand, the bounds are
// wider and include restarts, changes of leader and duplicated messages.
func TestModelHoldsBounds(t *testing.T) {
	oneRequest := [2]int{1, 1}
	further := []modelBounds{{ticks: 4, requests: oneRequest}}
	if os.Getenv("FAWN_EXPLORE") != "" {
		further = append(further, modelBounds{ticks: 5, requests: oneRequest}, modelBounds{ticks: 4, requests: oneRequest, duplicates: 1}, modelBounds{ticks: 4, requests: oneRequest, restarts: 1, leaderChanges: 1})
	}
	for _, b := range further {
		all, began := 0, time.Now()
		for _, b := range initialBounds(b) {
			seen, violation := exploreModel(noDefect, b)
			if all += seen; violation != "" {
				t.Errorf("bounds %+v: %s", b, violation)
			}
		}
		t.Logf("bounds %+v: %d states in %v", b, all, time.Since(began))
	}
}

// The exploration must find each defect injected into the state machines; otherwise
// TestModelHoldsBounds would not detect it either.
func TestModelFindsInjectedDefects(t *testing.T) {
	oneRequest := [2]int{1, 1}
	for injected, b := range map[defect]modelBounds{
		leaseFromResponse:      {ticks: 4, requests: oneRequest, knowsProposal: [2]bool{true, true}},
		ignoresDrift:           {ticks: 3, requests: oneRequest, knowsProposal: [2]bool{true, true}},
		newLeaderForgetsLeases: {ticks: 2, requests: oneRequest, knowsProposal: [2]bool{false, true}, leaderChanges: 1},
		acceptsOldResponses:    {ticks: 4, requests: [2]int{2, 1}, knowsProposal: [2]bool{true, true}},
		skipsPreparation:       {ticks: 2, requests: oneRequest, knowsProposal: [2]bool{false, true}},
		keepsLevelWithoutLease: {ticks: 3, requests: oneRequest, knowsProposal: [2]bool{true, true}},
		deposedLeaderGrants:    {ticks: 4, requests: oneRequest, knowsProposal: [2]bool{false, true}, leaderChanges: 1},
		losesPrepared:          {ticks: 3, requests: oneRequest, knowsProposal: [2]bool{true, true}, restarts: 1, hasFloor: true},
		skipsStaleCheck:        {ticks: 6, requests: oneRequest, knowsProposal: [2]bool{false, true}, hasFloor: true},
	} {
		seen, violation := exploreModel(injected, b)
		t.Logf("defect %d: %d states: %.120s", injected, seen, violation)
		if violation == "" {
			t.Errorf("defect %d was not found in %d states", injected, seen)
		}
	}
}

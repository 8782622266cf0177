package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"chalkrack/internal/duration"
)

// zoneFeatures are the features of a fleet that leaves failed zones. @SOCKET@ is replaced by the
// path of the admin socket of each sidecar.
const zoneFeatures = `[admin]
socket = "@SOCKET@"
[duty]
enabled = true
probing = false
key = "of the fleet"
[zones]
enabled = true
dwell = "1s"
proof = "500ms"
`

// shortSchedule returns an embedded schedule with zoneFeatures, whose faults last maxFault at most.
// The run ends at 2 s plus maxFault plus after.
func shortSchedule(t *testing.T, name string, maxFault, after time.Duration) *Schedule {
	s := shippedSchedule(t, name)
	s.Features = zoneFeatures
	for n := range s.Faults {
		if s.Faults[n].For > duration.Duration(maxFault) {
			s.Faults[n].For = duration.Duration(maxFault)
		}
	}
	s.Length = duration.Duration(2*time.Second + maxFault + after)
	return s
}

// stageLine is a log line of a sidecar about a change of its stage for a zone.
type stageLine struct {
	at             time.Duration
	party          Party
	zone, from, to string
	reason         string
}

// stageLines returns the changes of stages that the sidecars logged.
func (h *History) stageLines() (all []stageLine) {
	for _, e := range h.Events {
		if e.Kind != EventLogLine || !strings.Contains(e.Detail, "msg=zone ") {
			continue
		}
		l := stageLine{at: e.At, party: e.Party}
		for name, to := range map[string]*string{"zone": &l.zone, "from": &l.from, "to": &l.to} {
			_, rest, _ := strings.Cut(e.Detail, " "+name+"=")
			if quoted, ok := strings.CutPrefix(rest, `"`); ok {
				*to, _, _ = strings.Cut(quoted, `"`)
			} else {
				*to, _, _ = strings.Cut(rest, " ")
			}
		}
		_, l.reason, _ = strings.Cut(e.Detail, " why=")
		all = append(all, l)
	}
	return all
}

// logStages logs the process events and the stages of a sidecar, for a test that fails.
func (h *History) logStages(t *testing.T, party Party) {
	for _, e := range h.Events {
		if e.Kind == EventProcess && e.Party == party {
			t.Logf("%s %v: %s", party, e.At.Round(time.Millisecond), e.Detail)
		}
	}
	for _, l := range h.stageLines() {
		if l.party == party {
			t.Logf("%s %v: zone %s from %s to %s, %s", party, l.at.Round(time.Millisecond), l.zone, l.from, l.to, l.reason)
		}
	}
}

// enteredStage returns the sidecars that logged a stage for a zone, with the time when each first
// entered it.
func (h *History) enteredStage(zone, stage string) map[Party]time.Duration {
	entered := make(map[Party]time.Duration)
	for _, l := range h.stageLines() {
		if _, known := entered[l.party]; l.zone == zone && l.to == stage && !known {
			entered[l.party] = l.at
		}
	}
	return entered
}

// departures returns the sidecars that left a zone, with the time when each first did so: when it
// went from a stage in which it sends normally to one in which it sends nothing or little. A
// sidecar that learns of a departure late, after a partition, enters a stage of the return
// directly.
func (h *History) departures(zone string) map[Party]time.Duration {
	departed, sendingStages := make(map[Party]time.Duration), map[string]bool{"all": true, "part": true, "left alone": true}
	for _, l := range h.stageLines() {
		if _, known := departed[l.party]; l.zone == zone && sendingStages[l.from] && !sendingStages[l.to] && !known {
			departed[l.party] = l.at
		}
	}
	return departed
}

// departureLimit is the guaranteed time for all sidecars to leave a zone, plus a tolerance for slow
// machines.
const departureLimit = 2*time.Second + 700*time.Millisecond

// A zone becomes unreachable, or its servers die with resets, and is back later. The test guards
// against sidecars that leave too late, also those with very few calls, against many lost calls,
// and against a return that is not gradual or not complete.
func TestFleetLeavesAndReturns(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"zone-vanishes", "zone-dies"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := shortSchedule(t, name, 1500*time.Millisecond, 12*time.Second)
			s.QuietSidecars = 2
			h := runSchedule(t, s)
			exit := h.ZoneExits()[0]
			departed := h.departures("a")
			for n := range 12 {
				if left, ok := departed[sidecarParty(n)]; !ok || left > exit.Start+departureLimit {
					t.Errorf("sidecar %d left zone a %v after the fault (left: %v)", n+1, left-exit.Start, ok)
				}
			}
			if exit.NotServed*20 > exit.Calls {
				t.Errorf("%d of %d calls not served", exit.NotServed, exit.Calls)
			}
			returned := h.enteredStage("a", "all")
			if len(returned) != 12 {
				t.Errorf("%d sidecars returned to zone a, want 12", len(returned))
				for n := range 12 {
					if party := sidecarParty(n); returned[party] == 0 {
						h.logStages(t, party)
					}
				}
			}
			for _, other := range []string{"b", "c"} {
				if n := len(h.departures(other)); n > 0 {
					t.Errorf("%d sidecars left zone %s, which is healthy", n, other)
				}
			}
			// Sidecars return one after the other until the first of them lets all return.
			h.checkReturnPace(t, "a", exit.End)
		})
	}
}

// checkReturnPace fails the test if a second of the return to a zone, before any sidecar is in the
// stage in which all may send there, has more sends than a quarter of what three servers can serve
// plus two for each of the three sidecars that return first.
func (h *History) checkReturnPace(t *testing.T, zone string, from time.Duration) {
	t.Helper()
	firstAll := time.Duration(1 << 62)
	for _, at := range h.enteredStage(zone, "all") {
		firstAll = min(firstAll, at)
	}
	perSecond := make(map[time.Duration]int)
	for _, a := range h.Attempts() {
		if a.Zone == zone && a.At > from && a.At < firstAll-100*time.Millisecond {
			perSecond[a.At/time.Second]++
		}
	}
	for second, n := range perSecond {
		if n > 15+6 {
			t.Errorf("second %d: %d sends to the zone before all may send, want 21 at most", second, n)
		}
	}
}

// finalStages returns the stage of each sidecar for a zone at the end, according to its log.
// Sidecars that logged no change since their last start are omitted: they are in the stage in which
// all may send, which is the first one.
func (h *History) finalStages(zone string) map[Party]string {
	stages, started := make(map[Party]string), make(map[Party]time.Duration)
	for _, e := range h.Events {
		if e.Kind == EventProcess && e.Detail == "started" {
			started[e.Party] = max(e.At, started[e.Party])
		}
	}
	for _, l := range h.stageLines() {
		if l.zone == zone && l.at >= started[l.party] {
			stages[l.party] = l.to
		}
	}
	return stages
}

// Guards against a fleet that leaves a zone which has not failed for the fleet: half of the
// sidecars are cut off from it, one has a bad link, or all zones fail at once. Only the sidecars
// that are cut off may leave, each for itself.
func TestNoDepartureFromWorkingZones(t *testing.T) {
	t.Parallel()
	for name, cutOff := range map[string]int{"half-cut": 6, "bad-link": 1, "all-zones": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := runSchedule(t, shortSchedule(t, name, 3*time.Second, time.Second))
			for _, zone := range []string{"a", "b", "c"} {
				if departed := h.departures(zone); len(departed) > 0 {
					t.Errorf("zone %s was left by %v, want none", zone, departed)
				}
			}
			leftAlone := h.enteredStage("a", "left alone")
			for party := range leftAlone {
				var n int
				fmt.Sscanf(string(party), "sidecar:%d", &n)
				if n > cutOff {
					t.Errorf("%s left zone a alone and is not cut off", party)
				}
			}
			if cutOff > 0 && len(leftAlone) == 0 {
				t.Error("no sidecar that is cut off left zone a alone")
				sends, toZoneA := 0, 0
				for _, a := range h.Attempts() {
					if a.Sidecar == sidecarParty(0) && a.At > 2*time.Second {
						if sends++; a.Zone == "a" {
							toZoneA++
						}
					}
				}
				t.Logf("sidecar 1 since the fault: %d sends, %d of them to zone a", sends, toZoneA)
				h.logStages(t, sidecarParty(0))
			}
		})
	}
}

// Sidecars are killed and started again while the fleet leaves a zone and afterwards. The test
// guards against a restarted sidecar that does not soon adopt the stage of the fleet, and sends
// into the zone that the fleet has left.
func TestRestartedSidecarsAdoptStage(t *testing.T) {
	t.Parallel()
	s := shortSchedule(t, "restarts", 5*time.Second, 500*time.Millisecond)
	s.Features = strings.Replace(zoneFeatures, `dwell = "1s"`, `dwell = "20s"`+"\n"+`dwell_most = "1m"`, 1)
	h := runSchedule(t, s)
	started := make(map[Party]time.Duration)
	for _, e := range h.Events {
		if e.Kind == EventProcess && e.Detail == "serves" {
			started[e.Party] = e.At
		}
	}
	if len(started) != 4 {
		t.Fatalf("%d sidecars served again after a restart, want 4", len(started))
	}
	for party, at := range started {
		for _, a := range h.Attempts() {
			if a.Sidecar == party && a.Zone == "a" && a.At > at+1500*time.Millisecond {
				t.Errorf("%s serves since %v and sends to zone a at %v, although the fleet has left it", party, at, a.At)
				break
			}
		}
	}
}

// A zone returns with other, cold servers; the only other zone is cold; the zone that remains of
// three lacks the capacity; servers drain while sidecars are stopped. The test guards against
// violations of the rules, above all cold servers that fail from overload, and against a departure
// from the last usable zone.
func TestZonesWithFurtherFaults(t *testing.T) {
	t.Parallel()
	for name, lastZone := range map[string]string{"other-servers": "b", "cold-refuge": "b", "too-little": "c", "drain": "a"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := shippedSchedule(t, name)
			s.Features = zoneFeatures
			h := runSchedule(t, s)
			if departed := h.departures(lastZone); len(departed) > 0 {
				t.Errorf("zone %s was left by %v, want none", lastZone, departed)
			}
			if name == "other-servers" {
				otherServerSends := 0
				for _, a := range h.Attempts() {
					if n := a.Server; n == "s10" || n == "s13" || n == "s16" {
						otherServerSends++
					}
				}
				if len(h.departures("a")) < 12 || otherServerSends == 0 {
					t.Errorf("%d sidecars left zone a, want 12; %d sends to its other servers, want some", len(h.departures("a")), otherServerSends)
				}
				for party, at := range h.departures("a") {
					if at > 2*time.Second+departureLimit {
						t.Errorf("%s left zone a at %v, want %v after the cut at most", party, at, departureLimit)
					}
				}
			}
		})
	}
}

// Guards against orders that do not reach all sidecars, or that an earlier order overrides, while
// half of the notes are lost.
func TestOrdersReachAllSidecars(t *testing.T) {
	t.Parallel()
	s := shippedSchedule(t, "zone-vanishes")
	s.Features, s.Length = zoneFeatures, duration.Duration(9*time.Second)
	order := func(at time.Duration, on, action string) Fault {
		return Fault{At: duration.Duration(at), Kind: AdminCall, On: on, Name: "zones/order", Argument: `{"zone":"b","action":"` + action + `","who":"kim","reason":"a test"}`}
	}
	s.Faults = []Fault{{At: 0, Kind: Loss, From: "sidecars", To: "sidecars", Share: 0.5},
		order(1500*time.Millisecond, "sidecar:3", "leave"), order(5*time.Second, "sidecar:9", "return")}
	h := runSchedule(t, s)
	departed, returned := h.departures("b"), h.enteredStage("b", "1/64")
	for n := range 12 {
		party := sidecarParty(n)
		if at, ok := departed[party]; !ok || at > 1500*time.Millisecond+departureLimit {
			t.Errorf("%s left zone b at %v (left: %v)", party, at, ok)
		}
		if at, ok := returned[party]; !ok || at < 5*time.Second {
			t.Errorf("%s began its return to zone b at %v (began: %v)", party, at, ok)
		}
	}
	for _, e := range h.Events {
		if e.Kind == EventProcess && strings.HasPrefix(e.Detail, "deed") && !strings.HasSuffix(e.Detail, "done") {
			t.Error(e.Detail)
		}
	}
}

// Guards against sidecars that send notes or leave zones although the features do not enable it.
func TestNoNotesAndNoDeparturesByDefault(t *testing.T) {
	t.Parallel()
	s := shortSchedule(t, "zone-vanishes", 2*time.Second, 500*time.Millisecond)
	s.Features = "[admin]\nsocket = \"@SOCKET@\"\n"
	h := runSchedule(t, s)
	for _, e := range h.Events {
		if e.Kind == EventMeasurement && e.Detail == "notes" && e.Value > 0 {
			t.Errorf("%s sent %v notes", e.Party, e.Value)
		}
	}
	if lines := h.stageLines(); len(lines) > 0 {
		t.Errorf("changes of stages: %+v, want none", lines)
	}
}

package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Tolerances of the rules. Check verifies limits, never exact times.
const (
	// answerSlack is how long after the client's deadline an answer may arrive.
	answerSlack = 250 * time.Millisecond
	// lateSendSlack is how long after the end of a call its sidecar may still send attempts: they
	// were in flight, or this program was busy and read them late from its links. It is above
	// maxWakeupDelay, the delay from which starvation of the machine excuses a finding.
	lateSendSlack = 300 * time.Millisecond
	// drainSlack is added to drainGrace, the drain grace of 2 s in the settings.
	drainSlack = 300 * time.Millisecond
	drainGrace = 2 * time.Second
	// keyWindow is how long servers drop repeats of a key. keySlack allows for attempts in flight.
	keyWindow = 1500 * time.Millisecond
	keySlack  = 250 * time.Millisecond
	// starvationMargin is the time before and after a starvation of the machine in which findings
	// are excused.
	starvationMargin = 500 * time.Millisecond
)

// Finding is one violation of a rule.
type Finding struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at_ns"`
	Party   Party         `json:"who"`
	ID      string        `json:"id,omitempty"`
	Message string        `json:"text"`
	Excused bool          `json:"excused"` // the machine was starved at about that time
}

// String describes a finding on one line.
func (f Finding) String() string {
	text := fmt.Sprintf("%v %s: %s %s: %s", f.At.Round(time.Millisecond), f.Rule, f.Party, f.ID, f.Message)
	if f.Excused {
		text += " (the machine was starved)"
	}
	return text
}

// span is a period of time, both ends included.
type span struct{ start, end time.Duration }

func (s span) overlaps(from, to time.Duration) bool { return from <= s.end && to >= s.start }

// downtimes returns the periods in which a sidecar did not serve: from when it was killed, was
// stopped, got SIGTERM or exited, until it continued or served again.
func (h *History) downtimes(party Party) (spans []span) {
	var open *span
	for _, e := range h.Events {
		if e.Kind != EventProcess || e.Party != party {
			continue
		}
		switch {
		case e.Detail == "stopped", e.Detail == "killed", strings.HasPrefix(e.Detail, "ended"), e.Detail == "told to end":
			if open == nil {
				open = &span{e.At, 1 << 62}
			}
		case e.Detail == "goes on", e.Detail == "serves":
			if open != nil {
				open.end = e.At
				spans, open = append(spans, *open), nil
			}
		}
	}
	if open != nil {
		spans = append(spans, *open)
	}
	return spans
}

// starvedSpans returns the periods in which the machine did not let this program run, extended by
// starvationMargin on both sides.
func (h *History) starvedSpans() (spans []span) {
	for _, e := range h.Events {
		if e.Kind == EventStarved {
			spans = append(spans, span{e.At - e.Elapsed - starvationMargin, e.At + starvationMargin})
		}
	}
	return spans
}

// Check returns all violations of the rules in a history, sorted by time. The rules are: each call
// to a running sidecar gets one answer in time; nothing is sent for a call after its client has the
// result or has given up; no call has an effect twice; a draining server gets nothing after the
// grace; no cold server fails from overload; servers get only requests that a client sent.
func Check(h *History) (findings []Finding) {
	calls := make(map[string]Event)
	downtimes := make(map[Party][]span)
	starvedSpans := h.starvedSpans()
	report := func(rule string, e Event, id, text string) {
		finding := Finding{Rule: rule, At: e.At, Party: e.Party, ID: id, Message: text}
		for _, s := range starvedSpans {
			finding.Excused = finding.Excused || s.overlaps(e.At, e.At+e.Elapsed)
		}
		findings = append(findings, finding)
	}
	for _, e := range h.Events {
		if e.Kind != EventCall {
			continue
		}
		calls[e.ID] = e
		if _, ok := downtimes[e.Party]; !ok {
			downtimes[e.Party] = h.downtimes(e.Party)
		}
		down := slices.ContainsFunc(downtimes[e.Party], func(s span) bool { return s.overlaps(e.At, e.At+e.Elapsed) })
		switch {
		case down || e.Verdict == "unsent":
		case e.Verdict == "none":
			report("one answer", e, e.ID, fmt.Sprintf("no answer within %v", e.Elapsed))
		case e.Elapsed > e.Deadline+answerSlack:
			report("one answer", e, e.ID, fmt.Sprintf("answered after %v, deadline was %v", e.Elapsed, e.Deadline))
		}
	}
	executions := make(map[string]int)
	for _, e := range h.Events {
		if e.Kind != EventArrival {
			continue
		}
		call, known := calls[e.ID]
		if !known {
			report("known calls", e, e.ID, "no client sent this request")
			continue
		}
		if e.Executed {
			executions[e.ID]++
			if h.ClassEffects[e.Class] == "unsafe" && executions[e.ID] == 2 {
				report("no effect twice", e, e.ID, "an unsafe request was executed again")
			}
		}
		knownSince := e.At - e.DrainingFor
		for _, downtime := range downtimes[call.Party] { // a stopped sidecar learns of the drain when it continues
			if downtime.start <= e.At && downtime.end > knownSince && downtime.end <= e.At {
				knownSince = downtime.end
			}
		}
		if e.DrainingFor > 0 && e.At-knownSince > drainGrace+drainSlack {
			report("drains", e, e.ID, fmt.Sprintf("sent to a draining server %v after the sidecar could know of the drain", e.At-knownSince))
		}
	}
	for _, e := range h.Events {
		call, known := calls[e.ID]
		if e.Kind != EventSend || !known {
			continue
		}
		// The time at which the sidecar wrote the request counts: a cut link delivers it later.
		if end, sent := call.At+call.Elapsed, e.At+e.Elapsed; sent > end+lateSendSlack && e.Verdict == "" {
			report("nothing after", e, e.ID, fmt.Sprintf("sent to %s %v after the call ended for its client (%s)", e.Detail, sent-end, call.Verdict))
		}
	}
	first, last := make(map[string]time.Duration), make(map[string]time.Duration)
	for _, e := range h.Events {
		if e.Kind == EventSend {
			if _, ok := first[e.ID]; !ok {
				first[e.ID] = e.At
			}
			last[e.ID] = max(last[e.ID], e.At)
		}
	}
	for id, effects := range h.EffectCounts {
		// If a link delays an attempt until servers have forgotten its key, the sidecar is not
		// at fault as long as it sent all attempts within that time.
		if call := calls[id]; h.ClassEffects[call.Class] == "keyed" && (last[id]-first[id] > keyWindow+keySlack || !h.mayDelayAttempts()) {
			report("no effect twice", call, id, fmt.Sprintf("a request with one key had %d effects", effects))
		}
	}
	for _, name := range h.Fallen {
		report("cold servers", Event{Party: serverParty(name)}, "", "failed from overload while cold")
	}
	slices.SortStableFunc(findings, func(a, b Finding) int { return int(a.At - b.At) })
	return findings
}

// mayDelayAttempts reports whether a fault of the schedule may delay attempts in flight.
func (h *History) mayDelayAttempts() bool {
	return slices.ContainsFunc(h.Schedule.Faults, func(f Fault) bool {
		return f.Kind == Cut || f.Kind == Delay || f.Kind == Trickle || f.Kind == Freeze
	})
}

// Unexcused returns the findings that no starvation of the machine excuses.
func Unexcused(findings []Finding) []Finding {
	return slices.DeleteFunc(slices.Clone(findings), func(f Finding) bool { return f.Excused })
}

// Attempt is one send of a request to a server, known from a link or from the log of a sidecar.
type Attempt struct {
	At      time.Duration
	Sidecar Party
	Server  string
	Zone    string
	Failure string // from the log; empty: the request was written
}

// Attempts returns all known attempts sorted by time: those that links saw, and those whose
// connection could not be established according to the logs.
func (h *History) Attempts() (attempts []Attempt) {
	for _, e := range h.Events {
		switch e.Kind {
		case EventSend:
			attempts = append(attempts, Attempt{At: e.At, Sidecar: e.Party, Server: e.Detail, Zone: e.Zone})
		case EventLogLine:
			if a, ok := parseFailedConnect(e); ok {
				a.Zone = h.serverZone(a.Server)
				attempts = append(attempts, a)
			}
		}
	}
	slices.SortStableFunc(attempts, func(a, b Attempt) int { return int(a.At - b.At) })
	return attempts
}

// serverZone returns the zone of a server, or "" if the schedule has no such server.
func (h *History) serverZone(server string) string {
	for n := range h.Schedule.ServersPerZone * len(h.Schedule.Zones) {
		if serverName(n) == server {
			return h.Schedule.serverZone(n)
		}
	}
	return ""
}

// parseFailedConnect parses a log line of the daemon about an attempt whose connection could not be
// established. ok is false for all other lines.
func parseFailedConnect(e Event) (a Attempt, ok bool) {
	_, outcome, ok := strings.Cut(e.Detail, `msg="attempt ended: `)
	if !ok {
		return a, false
	}
	outcome, rest, _ := strings.Cut(outcome, `"`)
	if outcome != "connect failed" { // attempts that ended otherwise were written to a link
		return a, false
	}
	field := func(name string) string {
		_, v, _ := strings.Cut(rest, " "+name+"=")
		v, _, _ = strings.Cut(v, " ")
		return v
	}
	after, err := time.ParseDuration(field("after"))
	if err != nil {
		return a, false
	}
	return Attempt{At: e.At - after, Sidecar: e.Party, Server: field("server"), Failure: outcome}, true
}

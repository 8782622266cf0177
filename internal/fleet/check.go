package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Slacks of the checkers. They speak of bounds, never of exact times.
const (
	// answerSlack is how late an answer may be after the client's time.
	answerSlack = 250 * time.Millisecond
	// afterSlack is how long after its client had its end a call may still arrive at a
	// server: what was on its way then, and what a busy run reads late from its links. More than
	// lagMost, from which on a lag excuses.
	afterSlack = 300 * time.Millisecond
	// drainSlack is added to the grace of 2 s that the settings have.
	drainSlack = 300 * time.Millisecond
	drainGrace = 2 * time.Second
	// keyWindow is how long servers drop repeats of a key; keySlack is for what is on its way.
	keyWindow = 1500 * time.Millisecond
	keySlack  = 250 * time.Millisecond
	// starvedRound is how long round a lag of the machine nothing is held against anybody.
	starvedRound = 500 * time.Millisecond
)

// Finding is one breach of a bound.
type Finding struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at_ns"`
	Who     Party         `json:"who"`
	ID      string        `json:"id,omitempty"`
	Text    string        `json:"text"`
	Excused bool          `json:"excused"` // the machine was starved about then
}

// String is a finding in a line.
func (f Finding) String() string {
	text := fmt.Sprintf("%v %s: %s %s: %s", f.At.Round(time.Millisecond), f.Rule, f.Who, f.ID, f.Text)
	if f.Excused {
		text += " (the machine was starved)"
	}
	return text
}

// span is a time within which something held.
type span struct{ from, to time.Duration }

func (s span) touches(from, to time.Duration) bool { return from <= s.to && to >= s.from }

// downs are the times within which a sidecar was not running as it should: killed, or
// stopped, with what was left of a kill's time until it was started.
func (h *History) downs(who Party) (all []span) {
	var open *span
	for _, e := range h.Events {
		if e.Kind != Process || e.Who != who {
			continue
		}
		switch {
		case e.What == "stopped", e.What == "killed", strings.HasPrefix(e.What, "ended"), e.What == "told to end":
			if open == nil {
				open = &span{e.At, 1 << 62}
			}
		case e.What == "goes on", e.What == "serves":
			if open != nil {
				open.to = e.At
				all, open = append(all, *open), nil
			}
		}
	}
	if open != nil {
		all = append(all, *open)
	}
	return all
}

// starved are the times round which the machine did not let the run go on.
func (h *History) starved() (all []span) {
	for _, e := range h.Events {
		if e.Kind == Lagged {
			all = append(all, span{e.At - e.Took - starvedRound, e.At + starvedRound})
		}
	}
	return all
}

// Check is what the four rules say of a history: one answer to each call that a running
// sidecar took, in time; nothing sent for it after its client had its end; no effect
// twice; nothing new to a draining server after the grace; no cold server pushed over.
func Check(h *History) (all []Finding) {
	calls := make(map[string]Event)
	downs := make(map[Party][]span)
	starves := h.starved()
	find := func(rule string, e Event, id, text string) {
		f := Finding{Rule: rule, At: e.At, Who: e.Who, ID: id, Text: text}
		for _, s := range starves {
			f.Excused = f.Excused || s.touches(e.At, e.At+e.Took)
		}
		all = append(all, f)
	}
	for _, e := range h.Events {
		if e.Kind != Called {
			continue
		}
		calls[e.ID] = e
		if _, ok := downs[e.Who]; !ok {
			downs[e.Who] = h.downs(e.Who)
		}
		down := slices.ContainsFunc(downs[e.Who], func(s span) bool { return s.touches(e.At, e.At+e.Took) })
		switch {
		case down || e.Verdict == "unsent":
		case e.Verdict == "none":
			find("one answer", e, e.ID, fmt.Sprintf("none within %v", e.Took))
		case e.Took > e.Wait+answerSlack:
			find("one answer", e, e.ID, fmt.Sprintf("after %v, %v were left", e.Took, e.Wait))
		}
	}
	ran := make(map[string]int)
	for _, e := range h.Events {
		if e.Kind != Arrived {
			continue
		}
		call, known := calls[e.ID]
		if !known {
			find("known calls", e, e.ID, "no client sent it")
			continue
		}
		if e.Ran {
			ran[e.ID]++
			if h.Effects[e.Class] == "unsafe" && ran[e.ID] == 2 {
				find("no effect twice", e, e.ID, "run again")
			}
		}
		told := e.At - e.Drained
		for _, d := range downs[call.Who] { // who was stopped hears of it when it goes on
			if d.from <= e.At && d.to > told && d.to <= e.At {
				told = d.to
			}
		}
		if e.Drained > 0 && e.At-told > drainGrace+drainSlack {
			find("drains", e, e.ID, fmt.Sprintf("%v after its sidecar could know that it drains", e.At-told))
		}
	}
	for _, e := range h.Events {
		call, known := calls[e.ID]
		if e.Kind != Sent || !known {
			continue
		}
		// What counts is when the sidecar wrote it: a cut link lets go of it later.
		if end, sent := call.At+call.Took, e.At+e.Took; sent > end+afterSlack && e.Verdict == "" {
			find("nothing after", e, e.ID, fmt.Sprintf("sent to %s %v after its client's end (%s)", e.What, sent-end, call.Verdict))
		}
	}
	first, last := make(map[string]time.Duration), make(map[string]time.Duration)
	for _, e := range h.Events {
		if e.Kind == Sent {
			if _, ok := first[e.ID]; !ok {
				first[e.ID] = e.At
			}
			last[e.ID] = max(last[e.ID], e.At)
		}
	}
	for id, n := range h.Runs {
		// A link that lets go of an attempt later than servers remember its key is no
		// sidecar's fault, whose attempts lie within that time.
		if call := calls[id]; h.Effects[call.Class] == "keyed" && (last[id]-first[id] > keyWindow+keySlack || !h.holdsUp()) {
			find("no effect twice", call, id, fmt.Sprintf("%d effects of one key", n))
		}
	}
	for _, name := range h.Fallen {
		find("cold servers", Event{Who: serverParty(name)}, "", "pushed over")
	}
	slices.SortStableFunc(all, func(a, b Finding) int { return int(a.At - b.At) })
	return all
}

// holdsUp says that a fault of the schedule may hold an attempt up on its way.
func (h *History) holdsUp() bool {
	return slices.ContainsFunc(h.Schedule.Faults, func(f Fault) bool {
		return f.Kind == Cut || f.Kind == Delay || f.Kind == Trickle || f.Kind == Freeze
	})
}

// Held is the findings that no starving excuses.
func Held(all []Finding) []Finding {
	return slices.DeleteFunc(slices.Clone(all), func(f Finding) bool { return f.Excused })
}

// Attempt is a send to a server, as links and sidecars' logs tell of it.
type Attempt struct {
	At     time.Duration
	By     Party
	Server string
	Zone   string
	Failed string // how, by the log; empty: it was written
}

// Attempts are all sends that are known, by time: those that came on a link, and those
// that the logs say of that no connection came up for them.
func (h *History) Attempts() (all []Attempt) {
	for _, e := range h.Events {
		switch e.Kind {
		case Sent:
			all = append(all, Attempt{At: e.At, By: e.Who, Server: e.What, Zone: e.Zone})
		case Logged:
			if a, ok := failedAttempt(e); ok {
				a.Zone = h.zoneOf(a.Server)
				all = append(all, a)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Attempt) int { return int(a.At - b.At) })
	return all
}

func (h *History) zoneOf(server string) string {
	for n := range h.Schedule.Servers * len(h.Schedule.Zones) {
		if serverName(n) == server {
			return h.Schedule.zoneOf(n)
		}
	}
	return ""
}

// failedAttempt reads the daemon's line of an attempt that did not arrive.
func failedAttempt(e Event) (a Attempt, ok bool) {
	_, how, ok := strings.Cut(e.What, `msg="attempt ended: `)
	if !ok {
		return a, false
	}
	how, rest, _ := strings.Cut(how, `"`)
	if how != "connect failed" { // the others were written
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
	return Attempt{At: e.At - after, By: e.Who, Server: field("server"), Failed: how}, true
}

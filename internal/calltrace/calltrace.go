// Package calltrace reads the traces of calls that were not served within their aim, as
// the core's log tells them, and groups them by cause. It has no I/O of its own.
package calltrace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"chalkrack/internal/core"
)

// lineMost bounds a line of a log; a longer one is passed over and counted.
const lineMost = 1 << 20

// Log is what was read of one log or several.
type Log struct {
	Traces []core.Trace
	Other  int // lines that are no traces
}

// Read adds the traces of a log in slog's JSON to l.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), lineMost)
	for s.Scan() {
		line := s.Bytes()
		if !bytes.Contains(line, []byte(`"`+core.TraceMessage+`"`)) {
			l.Other++
			continue
		}
		// What collects logs often writes a time or a name ahead of each line.
		line = line[max(0, bytes.IndexByte(line, '{')):]
		var entry struct {
			Msg   string
			Trace *core.Trace `json:"story"`
		}
		if json.Unmarshal(line, &entry) != nil || entry.Msg != core.TraceMessage || entry.Trace == nil {
			l.Other++
			continue
		}
		l.Traces = append(l.Traces, *entry.Trace)
	}
	return s.Err()
}

// Cause says in a few words why a call was not served in time: how its decisive
// attempt went, and why there was no other. The same trace has the same cause always.
func Cause(s *core.Trace) string {
	if s.End == "left" {
		if len(s.Attempts) == 0 {
			return "client left before an attempt"
		}
		return "client left: " + attempt(s, &s.Attempts[len(s.Attempts)-1])
	}
	if len(s.Attempts) == 0 {
		switch {
		case s.State.Members == 0:
			return "no server is listed"
		case s.State.Level > 0.06:
			return "shed on arrival"
		case s.State.Set > 0 && s.State.Ejected >= s.State.Set:
			return "all servers ejected"
		}
		return "no server to be had"
	}
	if s.End == "served" {
		if len(s.Attempts) == 1 {
			return "late: " + slow(s, &s.Attempts[0])
		}
		return fmt.Sprintf("late after: %s", attempt(s, &s.Attempts[0]))
	}
	last := &s.Attempts[len(s.Attempts)-1]
	return attempt(s, last) + "; " + noMore(s)
}

// attempt is how one attempt went.
func attempt(s *core.Trace, a *core.AttemptTrace) string {
	switch a.Outcome {
	case "ok":
		return slow(s, a)
	case "timed out", "cancelled":
		where := "no answer"
		switch {
		case strings.HasPrefix(a.Phase, "connecting"):
			where = "no connection yet"
		case strings.HasPrefix(a.Phase, "writing"):
			where = "request not written"
		case strings.HasPrefix(a.Phase, "reading"):
			where = "answer stopped"
		}
		return where + " from " + server(a)
	case "connect failed":
		if strings.Contains(a.Phase, "connecting") {
			return "no connection to " + server(a)
		}
		return "connection broke before the request was out, " + connection(a)
	case "reset":
		return "reset behind the request, " + connection(a)
	case "full":
		return "turned away by " + server(a)
	}
	return a.Outcome + " from " + server(a)
}

// connection is what the connection had behind it.
func connection(a *core.AttemptTrace) string {
	if strings.Contains(a.Phase, "on a new connection") {
		return "new connection"
	}
	if _, rest, ok := strings.Cut(a.Phase, "idle for "); ok {
		if idle, _, _ := strings.Cut(rest, " "); strings.HasSuffix(idle, "ms") || idle == "0s" {
			return "connection in use"
		}
		return "connection that idled over a second"
	}
	return "unknown connection"
}

// server is a server's state as it was known.
func server(a *core.AttemptTrace) string {
	switch b := &a.Before; {
	case !a.After.Serving && b.Serving:
		return "a server told to leave meanwhile"
	case !b.Serving:
		return "a server that is not listed"
	case b.Warmth < 0.999:
		return "a cold server"
	case b.Ejected:
		return "an ejected server"
	case b.Failures > 0:
		return "a server that failed before"
	case b.Latency > 1.7:
		return "a server known as slow"
	case b.UpFor > 0 && b.UpFor < 60:
		return "a young server"
	}
	return "a server known as good"
}

func slow(s *core.Trace, a *core.AttemptTrace) string {
	switch {
	case a.Took < s.Aim && a.Sent > s.Aim/4:
		return "sent late"
	case a.Before.InFlight > 0:
		return fmt.Sprintf("slow answer beside %s in flight, from %s", few(a.Before.InFlight), server(a))
	}
	return "slow answer from " + server(a)
}

func few(n int) string {
	if n > 3 {
		return "over 3"
	}
	return fmt.Sprint(n)
}

// noMore is why there was no further attempt.
func noMore(s *core.Trace) string {
	last := &s.Attempts[len(s.Attempts)-1]
	ran := false
	for n := range s.Attempts {
		switch s.Attempts[n].Outcome {
		case "full", "connect failed", "not sent":
		default:
			ran = true
		}
	}
	switch end := last.Sent + last.Took; {
	case len(s.Attempts) >= 5:
		return "all attempts used"
	case end >= s.Aim:
		return "past its aim"
	case s.Effect == "once" && ran:
		return "may not run twice"
	case s.StateEnd.Retries < 1:
		return "no retries left in the budget"
	case s.Effect == "keyed" && ran:
		return "its window or group over"
	}
	return "no other server to be had"
}

// Group is all traces of one cause.
type Group struct {
	Cause   string         `json:"cause"`
	Calls   int            `json:"calls"`
	Worth   float64        `json:"worth"`
	Share   float64        `json:"share"` // of the lost worth
	Classes map[string]int `json:"classes"`
	Example *core.Trace    `json:"example"`
}

// Groups are the causes of a log, the dearest first. only, where set, keeps the traces
// of one class.
func (l *Log) Groups(only string) []Group {
	by := make(map[string]*Group)
	total := 0.0
	for n := range l.Traces {
		s := &l.Traces[n]
		if only != "" && s.Class != only {
			continue
		}
		c := Cause(s)
		g := by[c]
		if g == nil {
			g = &Group{Cause: c, Classes: make(map[string]int), Example: s}
			by[c] = g
		}
		g.Calls++
		g.Worth += s.Worth
		g.Classes[s.Class]++
		total += s.Worth
	}
	var all []Group
	for _, g := range by {
		g.Share = g.Worth / max(total, 1e-9)
		all = append(all, *g)
	}
	slices.SortFunc(all, func(a, b Group) int { return cmp.Or(cmp.Compare(b.Worth, a.Worth), cmp.Compare(a.Cause, b.Cause)) })
	return all
}

// Row is one cause in two logs.
type Row struct {
	Cause  string  `json:"cause"`
	A, B   int     // calls
	WorthA float64 `json:"worth_a"`
	WorthB float64 `json:"worth_b"`
}

// Compare sets the causes of two logs side by side, those that differ most in worth
// first.
func Compare(a, b *Log, only string) []Row {
	by := make(map[string]*Row)
	row := func(cause string) *Row {
		if by[cause] == nil {
			by[cause] = &Row{Cause: cause}
		}
		return by[cause]
	}
	for _, g := range a.Groups(only) {
		r := row(g.Cause)
		r.A, r.WorthA = g.Calls, g.Worth
	}
	for _, g := range b.Groups(only) {
		r := row(g.Cause)
		r.B, r.WorthB = g.Calls, g.Worth
	}
	var all []Row
	for _, r := range by {
		all = append(all, *r)
	}
	diff := func(r Row) float64 { return max(r.WorthA-r.WorthB, r.WorthB-r.WorthA) }
	slices.SortFunc(all, func(x, y Row) int { return cmp.Or(cmp.Compare(diff(y), diff(x)), cmp.Compare(x.Cause, y.Cause)) })
	return all
}

// Package calltrace reads the traces of calls that were not served within their aim from
// the log of a sidecar, and groups them by cause. It opens no files itself.
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

// maxLineBytes limits the length of a line; Read fails at a longer one.
const maxLineBytes = 1 << 20

// Log holds the traces read from one or more logs.
type Log struct {
	Traces     []core.Trace
	OtherLines int // number of lines that are not traces
}

// Read adds the traces of a log in slog's JSON format to l. It counts lines without a
// valid trace, and returns an error if reading fails.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		if !bytes.Contains(line, []byte(`"`+core.TraceMessage+`"`)) {
			l.OtherLines++
			continue
		}
		// Log collectors often write a time or a name before each line.
		line = line[max(0, bytes.IndexByte(line, '{')):]
		var entry struct {
			Msg   string
			Trace *core.Trace `json:"story"`
		}
		if json.Unmarshal(line, &entry) != nil || entry.Msg != core.TraceMessage || entry.Trace == nil {
			l.OtherLines++
			continue
		}
		l.Traces = append(l.Traces, *entry.Trace)
	}
	return scanner.Err()
}

// Cause describes in a few words why a call was not served in time: how its decisive
// attempt ended, and why there was no further one. It depends on the trace only.
func Cause(trace *core.Trace) string {
	if trace.End == "left" {
		if len(trace.Attempts) == 0 {
			return "client left before an attempt"
		}
		return "client left: " + describeAttempt(trace, &trace.Attempts[len(trace.Attempts)-1])
	}
	if len(trace.Attempts) == 0 {
		switch {
		case trace.State.ServingServers == 0:
			return "no server is listed"
		case trace.State.ShedLevel > 0.06:
			return "shed on arrival"
		case trace.State.WorkingSet > 0 && trace.State.Ejected >= trace.State.WorkingSet:
			return "all servers ejected"
		}
		return "no server to be had"
	}
	if trace.End == "served" {
		if len(trace.Attempts) == 1 {
			return "late: " + describeSlowAnswer(trace, &trace.Attempts[0])
		}
		return fmt.Sprintf("late after: %s", describeAttempt(trace, &trace.Attempts[0]))
	}
	last := &trace.Attempts[len(trace.Attempts)-1]
	return describeAttempt(trace, last) + "; " + noRetryReason(trace)
}

// describeAttempt describes how an attempt ended.
func describeAttempt(trace *core.Trace, a *core.AttemptTrace) string {
	switch a.Outcome {
	case "ok":
		return describeSlowAnswer(trace, a)
	case "timed out", "cancelled":
		problem := "no answer"
		switch {
		case strings.HasPrefix(a.Phase, "connecting"):
			problem = "no connection yet"
		case strings.HasPrefix(a.Phase, "writing"):
			problem = "request not written"
		case strings.HasPrefix(a.Phase, "reading"):
			problem = "answer stopped"
		}
		return problem + " from " + describeServer(a)
	case "connect failed":
		if strings.Contains(a.Phase, "connecting") {
			return "no connection to " + describeServer(a)
		}
		return "connection broke before the request was out, " + describeConnection(a)
	case "reset":
		return "reset behind the request, " + describeConnection(a)
	case "full":
		return "turned away by " + describeServer(a)
	}
	return a.Outcome + " from " + describeServer(a)
}

// describeConnection describes how the connection was used before the attempt.
func describeConnection(a *core.AttemptTrace) string {
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

// describeServer describes the state of the attempt's server, as far as it was known.
func describeServer(a *core.AttemptTrace) string {
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
	case b.UptimeSeconds > 0 && b.UptimeSeconds < 60:
		return "a young server"
	}
	return "a server known as good"
}

// describeSlowAnswer describes why an answered attempt took too long.
func describeSlowAnswer(trace *core.Trace, a *core.AttemptTrace) string {
	switch {
	case a.Took < trace.Aim && a.Sent > trace.Aim/4:
		return "sent late"
	case a.Before.InFlight > 0:
		return fmt.Sprintf("slow answer beside %s in flight, from %s", describeCount(a.Before.InFlight), describeServer(a))
	}
	return "slow answer from " + describeServer(a)
}

// describeCount returns n as text, or "over 3", so that there are few different causes.
func describeCount(n int) string {
	if n > 3 {
		return "over 3"
	}
	return fmt.Sprint(n)
}

// noRetryReason returns why there was no attempt after the last one.
func noRetryReason(trace *core.Trace) string {
	last := &trace.Attempts[len(trace.Attempts)-1]
	mayHaveRun := false
	for n := range trace.Attempts {
		switch trace.Attempts[n].Outcome {
		case "full", "connect failed", "not sent":
		default:
			mayHaveRun = true
		}
	}
	switch end := last.Sent + last.Took; {
	case len(trace.Attempts) >= 5:
		return "all attempts used"
	case end >= trace.Aim:
		return "past its aim"
	case trace.Effect == "once" && mayHaveRun:
		return "may not run twice"
	case trace.StateEnd.RetryTokens < 1:
		return "no retries left in the budget"
	case trace.Effect == "keyed" && mayHaveRun:
		return "its window or group over"
	}
	return "no other server to be had"
}

// Group summarizes the traces with the same cause.
type Group struct {
	Cause   string         `json:"cause"`
	Calls   int            `json:"calls"`
	Worth   float64        `json:"worth"`
	Share   float64        `json:"share"` // fraction of the worth of all traces
	Classes map[string]int `json:"classes"`
	Example *core.Trace    `json:"example"`
}

// Groups returns the traces grouped by cause, in descending order of worth. If class is
// not empty, it only takes the traces of that class.
func (l *Log) Groups(class string) []Group {
	byCause := make(map[string]*Group)
	total := 0.0
	for n := range l.Traces {
		trace := &l.Traces[n]
		if class != "" && trace.Class != class {
			continue
		}
		c := Cause(trace)
		g := byCause[c]
		if g == nil {
			g = &Group{Cause: c, Classes: make(map[string]int), Example: trace}
			byCause[c] = g
		}
		g.Calls++
		g.Worth += trace.Worth
		g.Classes[trace.Class]++
		total += trace.Worth
	}
	var all []Group
	for _, g := range byCause {
		g.Share = g.Worth / max(total, 1e-9)
		all = append(all, *g)
	}
	slices.SortFunc(all, func(a, b Group) int { return cmp.Or(cmp.Compare(b.Worth, a.Worth), cmp.Compare(a.Cause, b.Cause)) })
	return all
}

// Row compares one cause in two logs.
type Row struct {
	Cause  string  `json:"cause"`
	A, B   int     // number of calls in each log
	WorthA float64 `json:"worth_a"`
	WorthB float64 `json:"worth_b"`
}

// Compare returns the causes of two logs, in descending order of the difference in worth.
// If class is not empty, it only takes the traces of that class.
func Compare(a, b *Log, class string) []Row {
	byCause := make(map[string]*Row)
	row := func(cause string) *Row {
		if byCause[cause] == nil {
			byCause[cause] = &Row{Cause: cause}
		}
		return byCause[cause]
	}
	for _, g := range a.Groups(class) {
		r := row(g.Cause)
		r.A, r.WorthA = g.Calls, g.Worth
	}
	for _, g := range b.Groups(class) {
		r := row(g.Cause)
		r.B, r.WorthB = g.Calls, g.Worth
	}
	var all []Row
	for _, r := range byCause {
		all = append(all, *r)
	}
	diff := func(r Row) float64 { return max(r.WorthA-r.WorthB, r.WorthB-r.WorthA) }
	slices.SortFunc(all, func(x, y Row) int { return cmp.Or(cmp.Compare(diff(y), diff(x)), cmp.Compare(x.Cause, y.Cause)) })
	return all
}

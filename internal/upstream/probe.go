package upstream

import (
	"io"
	"time"

	"chalkrack"
	"chalkrack/internal/message"
)

// probeSink receives the result of a probe.
type probeSink struct {
	onReport func(chalkrack.LoadReport)
}

var probeRequest = &message.Request{Method: "GET", Head: []byte("GET /_load HTTP/1.1\r\nHost: server\r\n")}

// Probe implements core.Transport. It requests the server's load report and calls onReport with
// it if it arrives within timeout; otherwise onReport is not called.
func (p *Pool) Probe(server string, timeout time.Duration, onReport func(chalkrack.LoadReport)) {
	a := &Attempt{Request: probeRequest, Server: server, Deadline: time.Now().Add(timeout), Sink: &probeSink{onReport}}
	time.AfterFunc(timeout, func() {
		a.Abandon()
		a.Close()
	})
	p.Start(a)
}

// Stream implements core.Sink. Load reports are too short to be streamed.
func (*probeSink) Stream(any, chalkrack.LoadReport) io.Writer { return nil }

// Stalled implements core.Sink. A probe ends at its timeout.
func (*probeSink) Stalled() {}

// Done implements core.Sink.
func (p *probeSink) Done(outcome chalkrack.Outcome, answer any, report chalkrack.LoadReport) {
	loadAnswer, _ := answer.(*message.Answer)
	if outcome != chalkrack.OK || loadAnswer == nil {
		return
	}
	if !report.HasInFlight && !report.HasUtil {
		report = ParseLoad(string(loadAnswer.Body))
	}
	p.onReport(report)
}

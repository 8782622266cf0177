package upstream

import (
	"io"
	"time"

	"chalkrack"
	"chalkrack/internal/message"
)

// probe is the Sink of a probe.
type probe struct {
	told func(chalkrack.Report)
}

var probeRequest = &message.Request{Method: "GET", Head: []byte("GET /_load HTTP/1.1\r\nHost: server\r\n")}

// Probe implements core.Transport: it asks for the load report.
func (p *Pool) Probe(server string, wait time.Duration, told func(chalkrack.Report)) {
	a := &Attempt{Request: probeRequest, Server: server, Deadline: time.Now().Add(wait), Sink: &probe{told}}
	time.AfterFunc(wait, func() {
		a.Abandon()
		a.Close()
	})
	p.Start(a)
}

// Stream implements core.Sink: no report is that long.
func (*probe) Stream(any, chalkrack.Report) io.Writer { return nil }

// Done implements core.Sink.
func (p *probe) Done(o chalkrack.Outcome, answer any, rep chalkrack.Report) {
	ans, _ := answer.(*message.Answer)
	if o != chalkrack.OK || ans == nil {
		return
	}
	if !rep.HasInFlight && !rep.HasUtil {
		rep = ParseLoad(string(ans.Body))
	}
	p.told(rep)
}

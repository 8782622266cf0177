package main

import (
	"fmt"
	"time"

	"chalkrack"
	"chalkrack/internal/settings"
	"chalkrack/internal/wire"
)

// instance is one balancer and its Host, which writes the balancer's actions to the reply.
type instance struct {
	id       string
	reply    *wire.Reply
	balancer *chalkrack.Balancer
	settings *settings.Settings
}

// handleEvent passes an event to the balancer. It returns an error for an event with an unknown
// kind of list or ending.
func (i *instance) handleEvent(e *wire.Event, d *drill) error {
	now, id := d.now, chalkrack.RequestID(e.ID)
	switch e.Kind {
	case wire.BackendsChanged:
		switch kind := string(e.UpdateKind); kind {
		case "patch":
			i.balancer.ServersChanged(now, d.lists[e.ListNumber])
		case "whole", "stale_copy":
			i.balancer.ServersListed(now, d.lists[e.ListNumber])
		case "broken":
			i.balancer.DiscoveryFailed(now)
		default:
			return fmt.Errorf("backendsChanged: unknown kind of list %q", kind)
		}
	case wire.Knock:
		i.balancer.Arrive(now, chalkrack.Request{
			ID:       id,
			Class:    i.settings.ClassIndex(e.Class),
			Tenant:   i.settings.TenantIndex(e.Tenant),
			Key:      string(e.Key),
			Deadline: microseconds(e.DeadlineUs),
		})
	case wire.HeadReceived:
		i.balancer.AnswerStarted(now, id, e.Copy)
	case wire.Finished:
		outcome, ok := outcomeByEnding[e.StatusCode]
		if !ok {
			return fmt.Errorf("finished: unknown ending %d", e.StatusCode)
		}
		i.balancer.AttemptDone(now, id, e.Copy, outcome, e.RequestEnded, loadReport(e.Load))
	case wire.Checked:
		i.balancer.Probed(now, string(e.Server), loadReport(e.Load))
	case wire.TimedOutClient:
		i.balancer.ClientGone(now, id)
	case wire.Wakeup:
		i.balancer.Timer(now, e.Cookie)
	}
	return nil
}

// outcomeByEnding maps the endings of attempts on the wire to outcomes.
var outcomeByEnding = map[int]chalkrack.Outcome{
	200: chalkrack.OK,
	502: chalkrack.ServerError,
	429: chalkrack.Full,
	408: chalkrack.TimedOut,
	521: chalkrack.ConnectFailed,
	520: chalkrack.Reset,
	444: chalkrack.Cancelled,
	409: chalkrack.NotSent,
}

func loadReport(load wire.LoadReport) chalkrack.LoadReport {
	return chalkrack.LoadReport{HasInFlight: load.HasBusyReqs, InFlight: load.BusyReqs, HasUtil: load.HasCPUShare, Util: load.CPUShare}
}

// Send implements chalkrack.Host.
func (i *instance) Send(id chalkrack.RequestID, server string, timeout time.Duration) {
	i.reply.Route(i.id, uint64(id), server, timeout.Microseconds())
}

// Cancel implements chalkrack.Host.
func (i *instance) Cancel(id chalkrack.RequestID, attempt int) {
	i.reply.AbortAttempt(i.id, uint64(id), attempt)
}

// Refuse implements chalkrack.Host.
func (i *instance) Refuse(id chalkrack.RequestID, retryAfter time.Duration) {
	i.reply.NotNow(i.id, uint64(id), retryAfter.Microseconds())
}

// Fail implements chalkrack.Host.
func (i *instance) Fail(id chalkrack.RequestID) { i.reply.DropRequest(i.id, uint64(id)) }

// SetTimer implements chalkrack.Host.
func (i *instance) SetTimer(cookie uint64, after time.Duration) {
	i.reply.SetTimer(i.id, cookie, after.Microseconds())
}

// CloseIdle implements chalkrack.Host.
func (i *instance) CloseIdle(server string) { i.reply.DropConns(i.id, server) }

// Probe implements chalkrack.Host.
func (i *instance) Probe(server string) { i.reply.Probe(i.id, server) }

// Subscribe implements chalkrack.Host.
func (i *instance) Subscribe() { i.reply.KeepInformed(i.id) }

// endpoints converts a list of hosts from the wire. An unknown health counts as serving.
func endpoints(hosts []wire.Host) []chalkrack.Endpoint {
	result := make([]chalkrack.Endpoint, len(hosts))
	for n, host := range hosts {
		state := chalkrack.Serving
		switch host.Health {
		case "DRAINING":
			state = chalkrack.Draining
		case "DELETED":
			state = chalkrack.Gone
		}
		result[n] = chalkrack.Endpoint{
			Name:    host.Server,
			Zone:    host.Zone,
			Group:   host.Group,
			Hint:    host.Hint,
			Started: microseconds(host.StartTimeUs),
			State:   state,
		}
	}
	return result
}

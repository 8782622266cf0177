package main

import (
	"context"
	"errors"
	"fmt"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"chalkrack/internal/admin"
	"chalkrack/internal/components/zones"
	"chalkrack/internal/evacuation"
)

// zoneOrderFlags are the flags of the commands that send an order for a zone.
type zoneOrderFlags struct {
	socketFlags
	Zone   string `arg:"" help:"The zone, or a region of [zones.regions]."`
	Reason string `required:"" help:"The reason, shown by all sidecars. At most 40 bytes."`
	Who    string `help:"Who asks; the current user by default. At most 16 bytes."`
}

type (
	zoneStatusCmd struct {
		socketFlags
		Changes bool `help:"Show each zone's last changes too."`
	}
	zoneLeaveCmd  struct{ zoneOrderFlags }
	zoneReturnCmd struct{ zoneOrderFlags }
	zoneHoldCmd   struct{ zoneOrderFlags }
	zoneAutoCmd   struct{ zoneOrderFlags }
)

type zoneCmd struct {
	Status zoneStatusCmd `cmd:"" help:"Show for each zone its stage, since when, the evidence, and an order that holds it."`
	Leave  zoneLeaveCmd  `cmd:"" help:"Order the whole fleet to leave a zone, until an order to return."`
	Return zoneReturnCmd `cmd:"" help:"Order the fleet to return to a zone, in stages."`
	Hold   zoneHoldCmd   `cmd:"" help:"Keep a zone in its stage, whatever the evidence is."`
	Auto   zoneAutoCmd   `cmd:"" help:"Let the evidence decide on a zone again."`

	Rehearse zoneRehearseCmd `cmd:"" help:"Simulate random faults against a fleet in virtual time, with the settings of a file."`
}

// Run sends the order that the command names.
func (c *zoneLeaveCmd) Run(streams *stdStreams) error  { return c.sendOrder(streams, "leave") }
func (c *zoneReturnCmd) Run(streams *stdStreams) error { return c.sendOrder(streams, "return") }
func (c *zoneHoldCmd) Run(streams *stdStreams) error   { return c.sendOrder(streams, "hold") }
func (c *zoneAutoCmd) Run(streams *stdStreams) error   { return c.sendOrder(streams, "auto") }

// sendOrder sends the order to the daemon and prints the zones after it.
func (c *zoneOrderFlags) sendOrder(streams *stdStreams, action string) error {
	who := c.Who
	if who == "" {
		if u, err := user.Current(); err == nil {
			who = u.Username[:min(len(u.Username), evacuation.MaxWhoBytes)]
		}
	}
	var view zones.View
	err := admin.Do(context.Background(), c.Socket, "zones/order", zones.Order{Zone: c.Zone, Action: action, Who: who, Reason: c.Reason}, &view)
	if err != nil {
		var refusal admin.RefusedError
		if errors.As(err, &refusal) {
			return refusal
		}
		return fmt.Errorf("%w: %w", errDaemonUnreachable, err)
	}
	return printZones(streams, &view, false)
}

// Run prints the zones.
func (c *zoneStatusCmd) Run(streams *stdStreams) error {
	var view zones.View
	if printed, err := c.fetchPage(streams, "zones", &view); printed || err != nil {
		return err
	}
	return printZones(streams, &view, c.Changes)
}

// printZones prints a line for each zone and, if wanted, the zones' last changes.
func printZones(streams *stdStreams, view *zones.View, changes bool) error {
	w := tabwriter.NewWriter(streams.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "heard\t%d of %d other sidecars recently\n", view.RecentPeers, view.Peers)
	fmt.Fprintln(w, "zone\tstage\tsince\tseen here\tfailing/fine\tservers\tnext\tby")
	for _, zone := range view.Zones {
		name, stage := zone.Zone, zone.Stage
		if zone.Region != "" {
			name += " (" + zone.Region + ")"
		}
		if zone.LeftLocally {
			stage = "left alone"
		} else if zone.InUse && zone.StageRate > 0 {
			stage += ", this sidecar returns first"
		}
		var results []string
		for _, k := range sortedKeys(zone.Results) {
			results = append(results, fmt.Sprintf("%.1f %s", zone.Results[k], k))
		}
		evidence := zone.Verdict
		if len(results) > 0 {
			evidence += ": " + strings.Join(results, ", ")
		}
		next := "-"
		if zone.NextStageIn > 0 {
			next = zone.NextStageIn.Round(100 * time.Millisecond).String()
		}
		decidedBy := "evidence"
		if zone.Order != nil && zone.Order.Action != evacuation.ActionAuto {
			decidedBy = fmt.Sprintf("order %d, %s: %s (%s)", zone.Order.Version, zone.Order.Action, zone.Order.Reason, zone.Order.Who)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d/%d\t%d\t%s\t%s\n", name, stage, zone.Since.Round(100*time.Millisecond), evidence, zone.Failing, zone.Fine, zone.Servers, next, decidedBy)
	}
	if err := w.Flush(); err != nil || !changes {
		return err
	}
	for _, zone := range view.Zones {
		for _, change := range zone.Changes {
			fmt.Fprintf(streams.out, "%s: %s to %s: %s\n", change.Zone, change.From, change.To, change.Reason)
		}
	}
	return nil
}

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
	"chalkrack/internal/evacuation"
	"chalkrack/internal/rooms/zones"
)

type zoneOrder struct {
	socketFlags
	Zone   string `arg:"" help:"The zone, or a region of [zones.regions]."`
	Reason string `required:"" help:"Why; all sidecars show it. 40 bytes at most."`
	Who    string `help:"Who asks; the user by default. 16 bytes at most."`
}

type (
	zoneStatusCmd struct {
		socketFlags
		Changes bool `help:"Show each zone's last changes too."`
	}
	zoneLeaveCmd  struct{ zoneOrder }
	zoneReturnCmd struct{ zoneOrder }
	zoneHoldCmd   struct{ zoneOrder }
	zoneAutoCmd   struct{ zoneOrder }
)

type zoneCmd struct {
	Status zoneStatusCmd `cmd:"" help:"For each zone its stage, what holds it, the evidence and since when."`
	Leave  zoneLeaveCmd  `cmd:"" help:"Have the whole fleet leave a zone, until it is told to return."`
	Return zoneReturnCmd `cmd:"" help:"Have the fleet return to a zone, in stages."`
	Hold   zoneHoldCmd   `cmd:"" help:"Keep a zone as it is, whatever the evidence says."`
	Auto   zoneAutoCmd   `cmd:"" help:"Leave a zone to evidence again."`

	Rehearse zoneRehearseCmd `cmd:"" help:"Play random faults against a fleet in virtual time, by the settings of a file."`
}

// Run gives the order.
func (c *zoneLeaveCmd) Run(s *streams) error  { return c.order(s, "leave") }
func (c *zoneReturnCmd) Run(s *streams) error { return c.order(s, "return") }
func (c *zoneHoldCmd) Run(s *streams) error   { return c.order(s, "hold") }
func (c *zoneAutoCmd) Run(s *streams) error   { return c.order(s, "auto") }

func (c *zoneOrder) order(s *streams, action string) error {
	who := c.Who
	if who == "" {
		if u, err := user.Current(); err == nil {
			who = u.Username[:min(len(u.Username), evacuation.MaxWhoBytes)]
		}
	}
	var v zones.View
	err := admin.Do(context.Background(), c.Socket, "zones/order", zones.Order{Zone: c.Zone, Action: action, Who: who, Reason: c.Reason}, &v)
	if err != nil {
		var no admin.RefusedError
		if errors.As(err, &no) {
			return no
		}
		return fmt.Errorf("%w: %w", errAway, err)
	}
	return zoneText(s, &v, false)
}

// Run shows the zones.
func (c *zoneStatusCmd) Run(s *streams) error {
	var v zones.View
	if done, err := c.ask(s, "zones", &v); done || err != nil {
		return err
	}
	return zoneText(s, &v, c.Changes)
}

func zoneText(s *streams, v *zones.View, changes bool) error {
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "heard\t%d of %d other sidecars lately\n", v.RecentPeers, v.Peers)
	fmt.Fprintln(w, "zone\tstage\tsince\tseen here\tfailing/fine\tservers\tnext\tby")
	for _, z := range v.Zones {
		name, stage := z.Zone, z.Stage
		if z.Region != "" {
			name += " (" + z.Region + ")"
		}
		if z.LeftLocally {
			stage = "left alone"
		} else if z.InUse && z.StageRate > 0 {
			stage += ", this one goes first"
		}
		var seen []string
		for _, k := range sortedKeys(z.Results) {
			seen = append(seen, fmt.Sprintf("%.1f %s", z.Results[k], k))
		}
		evidence := z.Verdict
		if len(seen) > 0 {
			evidence += ": " + strings.Join(seen, ", ")
		}
		next := "-"
		if z.NextStageIn > 0 {
			next = z.NextStageIn.Round(100 * time.Millisecond).String()
		}
		by := "evidence"
		if z.Order != nil && z.Order.Action != evacuation.ActionAuto {
			by = fmt.Sprintf("order %d, %s: %s (%s)", z.Order.Version, z.Order.Action, z.Order.Reason, z.Order.Who)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d/%d\t%d\t%s\t%s\n", name, stage, z.Since.Round(100*time.Millisecond), evidence, z.Failing, z.Fine, z.Servers, next, by)
	}
	if err := w.Flush(); err != nil || !changes {
		return err
	}
	for _, z := range v.Zones {
		for _, c := range z.Changes {
			fmt.Fprintf(s.out, "%s: %s to %s: %s\n", c.Zone, c.From, c.To, c.Reason)
		}
	}
	return nil
}

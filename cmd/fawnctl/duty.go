package main

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"chalkrack/internal/components/duties"
)

type dutyCmd struct {
	socketFlags
	Mine bool `help:"Show only the nodes that this sidecar watches."`
}

// Run prints the live sidecars, the counts of probes and notes, and for each node its state, the
// age of that finding and whether this sidecar or another made it.
func (c *dutyCmd) Run(streams *stdStreams) error {
	var view duties.View
	if printed, err := c.fetchPage(streams, "duty", &view); printed || err != nil {
		return err
	}
	w := tabwriter.NewWriter(streams.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "self\t%s\n", view.Self)
	fmt.Fprintf(w, "alive\t%d, including this one\n", view.Alive)
	if len(view.Suspects) > 0 {
		fmt.Fprintf(w, "suspected\t%s\n", strings.Join(view.Suspects, " "))
	}
	if len(view.Dead) > 0 {
		fmt.Fprintf(w, "dead\t%s\n", strings.Join(view.Dead, " "))
	}
	counts := view.Counts
	fmt.Fprintf(w, "probes\t%d, of them %d in place of other sidecars; %d deferred by the budget\n", counts.Probes, counts.Takeovers, counts.Deferred)
	fmt.Fprintf(w, "notes\t%d sent, %d received, %d not sent because of the budget, %d from unknown senders, %d unreadable\n", counts.Notes, counts.Received, counts.Dropped, counts.UnknownSender, view.Unread)
	fmt.Fprintln(w, "node\tstate\tage\tseen by\tplace")
	for _, node := range view.Servers {
		if c.Mine && !node.IsWatcher {
			continue
		}
		observer := "others"
		if node.IsOwn {
			observer = "this one"
		}
		if node.State == "unknown" {
			observer = "nobody"
		}
		place := fmt.Sprint(node.Rank)
		if node.IsWatcher {
			place += ", watches"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", node.Name, node.State, node.Age.Round(10*time.Millisecond), observer, place)
	}
	return w.Flush()
}

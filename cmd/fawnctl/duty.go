package main

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"chalkrack/internal/rooms/duties"
)

type dutyCmd struct {
	socketFlags
	Mine bool `help:"Only the nodes that are this sidecar's to watch."`
}

// Run shows who is alive, who watches what, and how old each finding is.
func (c *dutyCmd) Run(s *streams) error {
	var v duties.View
	if done, err := c.ask(s, "duty", &v); done || err != nil {
		return err
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "self\t%s\n", v.Self)
	fmt.Fprintf(w, "alive\t%d, this one too\n", v.Alive)
	if len(v.Suspects) > 0 {
		fmt.Fprintf(w, "suspected\t%s\n", strings.Join(v.Suspects, " "))
	}
	if len(v.Dead) > 0 {
		fmt.Fprintf(w, "dead\t%s\n", strings.Join(v.Dead, " "))
	}
	k := v.Counts
	fmt.Fprintf(w, "probes\t%d, of them %d in others' place; %d put off by the budget\n", k.Probes, k.Takeovers, k.Deferred)
	fmt.Fprintf(w, "notes\t%d sent, %d heard, %d not sent by the budget, %d of strangers, %d unreadable\n", k.Notes, k.Received, k.Dropped, k.UnknownSender, v.Unread)
	fmt.Fprintln(w, "node\tstate\tage\tseen by\tplace")
	for _, n := range v.Servers {
		if c.Mine && !n.IsWatcher {
			continue
		}
		by := "others"
		if n.IsOwn {
			by = "this one"
		}
		if n.State == "unknown" {
			by = "nobody"
		}
		place := fmt.Sprint(n.Rank)
		if n.IsWatcher {
			place += ", watches"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", n.Name, n.State, n.Age.Round(10*time.Millisecond), by, place)
	}
	return w.Flush()
}

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"chalkrack/internal/admin"
	"chalkrack/internal/change"
	"chalkrack/internal/config"
	"chalkrack/internal/rooms/changes"
)

type configCmd struct {
	Plan     planCmd     `cmd:"" help:"Compare a configuration with the one that runs: what would change, and what must not."`
	Apply    applyCmd    `cmd:"" help:"Put a configuration on trial in a running daemon."`
	Status   configState `cmd:"" help:"What runs, what is on trial, and how it does."`
	Rollback rollbackCmd `cmd:"" help:"End a trial at once, or go back to the configuration that was kept before."`
	History  historyCmd  `cmd:"" help:"What became of the last changes."`
}

type planCmd struct {
	Running         string `arg:"" help:"The platform's JSON that runs."`
	Next            string `arg:"" help:"The one that is to run."`
	RunningFeatures string `help:"The operators' own settings that run; none if left out."`
	NextFeatures    string `help:"Those that are to run; none if left out."`
	Held            int    `help:"Requests that are held now."`
	MemoryMB        int    `name:"memory-mb" help:"Memory that is in use now."`
	Sockets         int    `help:"Sockets that are open now."`
}

// proposed are the files that are to run; those left out stay as they are.
type proposed struct {
	Platform string `help:"The platform's JSON that is to run; as it is if left out."`
	Features string `help:"The operators' own settings that are to run; as they are if left out."`
}

func (c *proposed) proposal() (p changes.Proposal, err error) {
	if c.Platform != "" {
		text, err := os.ReadFile(c.Platform)
		if err != nil {
			return p, err
		}
		if !json.Valid(text) {
			return p, fmt.Errorf("%s: no JSON", c.Platform)
		}
		p.Platform = text
	}
	if c.Features != "" {
		text, err := os.ReadFile(c.Features)
		if err != nil {
			return p, err
		}
		own := string(text)
		p.Features = &own
	}
	return p, nil
}

// do asks a daemon for a deed: exit status 1 with all reasons if it does not do it, 3 if
// it can't be asked.
func (f *socketFlags) do(s *streams, deed string, with, v any) (done bool, err error) {
	var raw json.RawMessage
	if err := admin.Do(context.Background(), f.Socket, deed, with, &raw); err != nil {
		var refused admin.RefusedError
		if errors.As(err, &refused) {
			for line := range strings.Lines(string(refused)) {
				fmt.Fprintln(s.err, "refused:", strings.TrimSpace(line))
			}
			return false, errRefused
		}
		return false, fmt.Errorf("%w: %w", errAway, err)
	}
	if f.JSON {
		fmt.Fprintf(s.out, "%s\n", raw)
	}
	return f.JSON, json.Unmarshal(raw, v)
}

type applyCmd struct {
	socketFlags
	proposed
	Why  string `help:"The reason, for the history."`
	Wait bool   `help:"Wait for the verdict; exit status 1 if it is undone."`
}

// Run proposes it.
func (c *applyCmd) Run(s *streams) error {
	p, err := c.proposal()
	if err != nil {
		return err
	}
	p.Why = c.Why
	var out changes.Outcome
	done, err := c.do(s, "config/apply", p, &out)
	if err != nil {
		return err
	}
	if !done {
		if out.ID == 0 {
			fmt.Fprintln(s.out, "nothing changes")
		} else {
			fmt.Fprintf(s.out, "configuration %d is on trial, %d fields differ\n", out.ID, len(out.Changes))
		}
	}
	for c.Wait && out.ID != 0 {
		time.Sleep(waitEach)
		var st changes.Status
		if err := admin.Get(context.Background(), c.Socket, "config", &st); err != nil {
			return fmt.Errorf("%w: %w", errAway, err)
		}
		for _, e := range st.Events {
			if e.ID == out.ID && e.What != "applied" {
				fmt.Fprintf(s.out, "%s: %s\n", e.What, e.Why)
				if e.What != "kept" {
					return errUndone
				}
				return nil
			}
		}
	}
	return nil
}

// waitEach is how often a verdict is asked for.
const waitEach = 200 * time.Millisecond

var errUndone = errors.New("the change was undone")

type configState struct{ socketFlags }

// Run shows what runs and what is on trial.
func (c *configState) Run(s *streams) error {
	var st changes.Status
	if done, err := c.ask(s, "config", &st); done || err != nil {
		return err
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "runs\tconfiguration %d\n", st.Running)
	switch {
	case st.Alone:
		fmt.Fprintf(w, "trial\tconfiguration %d, alone since a start %.1f s ago; kept after %.0f s\n", st.Trial, st.Since, st.Bake)
	case st.Trial != 0:
		fmt.Fprintf(w, "trial\tconfiguration %d, for %.1f of %.0f s, %d calls; %d are needed for a verdict\n", st.Trial, st.Since, st.Bake, st.Calls, st.Needed)
	default:
		fmt.Fprintf(w, "trial\tnone\n")
	}
	if st.Pending {
		fmt.Fprintf(w, "waiting\tthe files hold another one, for the trial's end\n")
	}
	fmt.Fprintf(w, "memory\t%s\n", map[bool]string{true: "outlives a start", false: "ends with the process: no [config] folder"}[st.Lasting])
	if st.Problem != "" {
		fmt.Fprintf(w, "problem\t%s\n", st.Problem)
	}
	return w.Flush()
}

type historyCmd struct{ socketFlags }

// Run shows what became of changes, the oldest first.
func (c *historyCmd) Run(s *streams) error {
	var st changes.Status
	if done, err := c.ask(s, "config", &st); done || err != nil {
		return err
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, e := range st.Events {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", e.At.Format(time.DateTime), e.ID, e.What, e.Why)
	}
	return w.Flush()
}

type rollbackCmd struct{ socketFlags }

// Run goes back.
func (c *rollbackCmd) Run(s *streams) error {
	done, err := c.do(s, "config/rollback", struct{}{}, new(json.RawMessage))
	if !done && err == nil {
		fmt.Fprintln(s.out, "done: fawnctl config status has what runs")
	}
	return err
}

var errRefused = errors.New("the change must not be made while it runs")

// read checks a configuration alone, as a start does.
func read(platform, own string) (change.Document, error) {
	if own == "" {
		own = os.DevNull
	}
	c, err := config.Load(func(name string) string {
		return map[string]string{"BALANCER_CONFIG": platform, "FAWN_FEATURES": own}[name]
	})
	if err != nil {
		return change.Document{}, err
	}
	return c.Document(), nil
}

// Run prints the plan, and what is refused with all reasons.
func (c *planCmd) Run(s *streams) error {
	running, err := read(c.Running, c.RunningFeatures)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Running, err)
	}
	next, err := read(c.Next, c.NextFeatures)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Next, err)
	}
	plan, err := change.Compare(running, next, change.Usage{MemoryMB: c.MemoryMB, Sockets: c.Sockets, Held: c.Held})
	if err != nil {
		return err
	}
	if len(plan.Changes) == 0 {
		fmt.Fprintln(s.out, "nothing changes")
	}
	for _, ch := range plan.Changes {
		fmt.Fprintln(s.out, ch)
	}
	for _, r := range plan.Refusals {
		fmt.Fprintln(s.err, "refused:", r)
	}
	if len(plan.Refusals) > 0 {
		return errRefused
	}
	return nil
}

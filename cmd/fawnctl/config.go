package main

import (
	"errors"
	"fmt"
	"os"

	"chalkrack/internal/change"
	"chalkrack/internal/daemon"
)

type configCmd struct {
	Plan planCmd `cmd:"" help:"Compare a configuration with the one that runs: what would change, and what must not."`
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

var errRefused = errors.New("the change must not be made while it runs")

// read checks a configuration alone, as a start does.
func read(platform, own string) (change.Document, error) {
	if own == "" {
		own = os.DevNull
	}
	c, err := daemon.Load(func(name string) string {
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
	plan, err := change.Compare(running, next, change.Use{MemoryMB: c.MemoryMB, Sockets: c.Sockets, Held: c.Held})
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

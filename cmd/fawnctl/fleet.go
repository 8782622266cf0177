package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"chalkrack/internal/fleet"
	"chalkrack/internal/fleet/schedules"
)

type fleetRunCmd struct {
	Schedule string  `arg:"" help:"A schedule's file, or the name of a shipped schedule: see 'fawnctl fleet list'."`
	Binary   string  `default:"bin/fawnrock" help:"The daemon's binary."`
	Sidecars int     `help:"Number of sidecars, in place of the schedule's."`
	Servers  int     `help:"Number of servers in each zone, in place of the schedule's."`
	Rate     float64 `help:"Calls per second of each client, in place of the schedule's."`
	Seed     uint64  `help:"Random seed, in place of the schedule's."`
	Features string  `help:"File with the sidecars' settings, in place of the schedule's."`
	History  string  `help:"Write the run's history to this file." placeholder:"FILE"`
	HTML     string  `help:"Write a page with a lane for each process to this file." placeholder:"FILE"`
}

type fleetReportCmd struct {
	History string `arg:"" help:"A history file that 'fleet run --history' wrote."`
	HTML    string `help:"Write a page with a lane for each process to this file." placeholder:"FILE"`
}

type fleetListCmd struct{}

type fleetHuntCmd struct {
	fleetRunCmd
	From   uint64 `default:"1" help:"The first seed."`
	Count  int    `default:"10" help:"Number of seeds."`
	Faults int    `default:"4" help:"Maximum number of random faults, added to the schedule's own."`
	Worst  string `placeholder:"FILE" help:"Write the shrunk schedule of the first broken rule to this file."`
}

// fleetCmd has the commands that inject faults into several sidecar processes.
type fleetCmd struct {
	Run    fleetRunCmd    `cmd:"" help:"Start several sidecars with stand-in servers, inject a schedule's faults, and check the rules."`
	Report fleetReportCmd `cmd:"" help:"Show a run's history, and check the rules on it again."`
	Hunt   fleetHuntCmd   `cmd:"" help:"Add random faults to a schedule, seed by seed, and shrink the first schedule that breaks a rule."`
	List   fleetListCmd   `cmd:"" help:"List the shipped schedules."`
}

// errRuleBroken means that the history of a run breaks a rule; exit status 1.
var errRuleBroken = errors.New("a rule was broken")

// Run lists the shipped schedules, each with the comment in its first line.
func (c *fleetListCmd) Run(streams *stdStreams) error {
	for _, name := range schedules.Names() {
		text, err := schedules.Text(name)
		if err != nil {
			return err
		}
		first, _, _ := strings.Cut(string(text), "\n")
		fmt.Fprintf(streams.out, "%-16s %s\n", name, strings.TrimPrefix(first, "# "))
	}
	return nil
}

// Run tries one seed after another until a schedule breaks a rule, and shrinks that schedule.
func (c *fleetHuntCmd) Run(streams *stdStreams) error {
	schedule, binary, err := c.loadSchedule()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	breaksRule := func(candidate *fleet.Schedule) (bool, error) {
		history, err := fleet.Run(ctx, candidate, binary)
		if err != nil {
			return false, err
		}
		findings := fleet.Unexcused(fleet.Check(history))
		for n, f := range findings[:min(len(findings), 3)] {
			fmt.Fprintf(streams.out, "  %d of %d: %v\n", n+1, len(findings), f)
		}
		return len(findings) > 0, nil
	}
	for seed := c.From; seed < c.From+uint64(c.Count); seed++ {
		candidate := fleet.RandomSchedule(*schedule, seed, c.Faults)
		fmt.Fprintf(streams.out, "seed %d: %v\n", seed, candidate.Faults)
		broken, err := breaksRule(candidate)
		if err != nil {
			return err
		}
		if !broken {
			continue
		}
		if candidate, err = fleet.Shrink(candidate, breaksRule); err != nil {
			return err
		}
		fmt.Fprintf(streams.out, "shrunk to %v\n", candidate.Faults)
		if c.Worst != "" {
			text, err := candidate.Text()
			if err == nil {
				err = os.WriteFile(c.Worst, text, 0o644)
			}
			if err != nil {
				return err
			}
		}
		return errRuleBroken
	}
	return nil
}

// loadSchedule returns the schedule with the changes that the flags make, and the absolute path of
// the daemon's binary.
func (c *fleetRunCmd) loadSchedule() (schedule *fleet.Schedule, binary string, err error) {
	text, err := os.ReadFile(c.Schedule)
	if errors.Is(err, os.ErrNotExist) && !strings.ContainsAny(c.Schedule, "./") {
		text, err = schedules.Text(c.Schedule)
	}
	if err != nil {
		return nil, "", err
	}
	schedule, err = fleet.ParseSchedule(text)
	if err != nil {
		return nil, "", err
	}
	schedule.Scale(c.Sidecars, c.Servers, c.Rate)
	if c.Seed > 0 {
		schedule.Seed = c.Seed
	}
	if c.Features != "" {
		features, err := os.ReadFile(c.Features)
		if err != nil {
			return nil, "", err
		}
		schedule.Features = string(features)
	}
	if err := schedule.Validate(); err != nil {
		return nil, "", err
	}
	binary, err = filepath.Abs(c.Binary)
	if err != nil {
		return nil, "", err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, "", fmt.Errorf("--binary: %w", err)
	}
	return schedule, binary, nil
}

// Run runs a schedule, writes its history and prints the report.
func (c *fleetRunCmd) Run(streams *stdStreams) error {
	schedule, binary, err := c.loadSchedule()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	fmt.Fprintf(streams.err, "%s: %d sidecars, %v\n", schedule.Name, schedule.Sidecars, time.Duration(schedule.Length))
	history, err := fleet.Run(ctx, schedule, binary)
	if err != nil {
		return err
	}
	if c.History != "" {
		if err := writeFile(c.History, history.Write); err != nil {
			return err
		}
	}
	return printHistory(streams, history, c.HTML)
}

// Run prints the report of a recorded history.
func (c *fleetReportCmd) Run(streams *stdStreams) error {
	file, err := os.Open(c.History)
	if err != nil {
		return err
	}
	defer file.Close()
	history, err := fleet.ReadHistory(file)
	if err != nil {
		return err
	}
	return printHistory(streams, history, c.HTML)
}

// printHistory prints the report of a history and writes it as a page, if htmlPath is not empty. It
// returns errRuleBroken if the history breaks a rule.
func printHistory(streams *stdStreams, history *fleet.History, htmlPath string) error {
	if err := history.WriteReport(streams.out); err != nil {
		return err
	}
	if htmlPath != "" {
		if err := writeFile(htmlPath, history.WriteHTML); err != nil {
			return err
		}
	}
	if len(fleet.Unexcused(fleet.Check(history))) > 0 {
		return errRuleBroken
	}
	return nil
}

// writeFile creates a file and fills it with write.
func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}

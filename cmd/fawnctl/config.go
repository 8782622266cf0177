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
	"chalkrack/internal/components/changes"
	"chalkrack/internal/config"
)

type configCmd struct {
	Plan     configPlanCmd     `cmd:"" help:"Compare a configuration with the running one: list the changes, and those that are refused."`
	Apply    configApplyCmd    `cmd:"" help:"Apply a configuration on trial in a running daemon."`
	Status   configStatusCmd   `cmd:"" help:"Show the running configuration, the one on trial and the progress of the trial."`
	Rollback configRollbackCmd `cmd:"" help:"End a trial at once, or return to the configuration that was kept before."`
	History  configHistoryCmd  `cmd:"" help:"List the last changes and their outcomes."`
}

type configPlanCmd struct {
	Running         string `arg:"" help:"File with the platform's JSON that runs."`
	Next            string `arg:"" help:"File with the platform's JSON to compare with it."`
	RunningFeatures string `help:"File with the operators' settings that run; none by default."`
	NextFeatures    string `help:"File with the operators' settings to compare with them; none by default."`
	Held            int    `help:"Number of requests held now."`
	MemoryMB        int    `name:"memory-mb" help:"Memory in use now, in MB."`
	Sockets         int    `help:"Number of sockets open now."`
}

// proposalFlags name the files to apply. Settings whose file is not given stay unchanged.
type proposalFlags struct {
	Platform string `help:"File with the platform's JSON to apply; unchanged by default."`
	Features string `help:"File with the operators' settings to apply; unchanged by default."`
}

// readProposal reads the files and returns their texts. It checks that the platform's file is JSON,
// and leaves every other check to the daemon.
func (c *proposalFlags) readProposal() (proposal changes.Proposal, err error) {
	if c.Platform != "" {
		text, err := os.ReadFile(c.Platform)
		if err != nil {
			return proposal, err
		}
		if !json.Valid(text) {
			return proposal, fmt.Errorf("%s: not valid JSON", c.Platform)
		}
		proposal.Platform = text
	}
	if c.Features != "" {
		text, err := os.ReadFile(c.Features)
		if err != nil {
			return proposal, err
		}
		features := string(text)
		proposal.Features = &features
	}
	return proposal, nil
}

// postAction sends body to an action of the daemon's admin interface and decodes the answer into
// result. If the daemon refuses, it prints all reasons and returns errChangeRefused, exit status 1;
// if the daemon can't be reached, it returns errDaemonUnreachable, exit status 3. With --json it
// prints the answer unchanged and returns true for printed.
func (f *socketFlags) postAction(streams *stdStreams, action string, body, result any) (printed bool, err error) {
	var raw json.RawMessage
	if err := admin.Do(context.Background(), f.Socket, action, body, &raw); err != nil {
		var refused admin.RefusedError
		if errors.As(err, &refused) {
			for line := range strings.Lines(string(refused)) {
				fmt.Fprintln(streams.err, "refused:", strings.TrimSpace(line))
			}
			return false, errChangeRefused
		}
		return false, fmt.Errorf("%w: %w", errDaemonUnreachable, err)
	}
	if f.JSON {
		fmt.Fprintf(streams.out, "%s\n", raw)
	}
	return f.JSON, json.Unmarshal(raw, result)
}

type configApplyCmd struct {
	socketFlags
	proposalFlags
	Why  string `help:"The reason, recorded in the history."`
	Wait bool   `help:"Wait for the verdict; exit status 1 if the change is undone."`
}

// Run applies the configuration. With --wait it returns when the trial's verdict is known.
func (c *configApplyCmd) Run(streams *stdStreams) error {
	proposal, err := c.readProposal()
	if err != nil {
		return err
	}
	proposal.Why = c.Why
	var outcome changes.Outcome
	printed, err := c.postAction(streams, "config/apply", proposal, &outcome)
	if err != nil {
		return err
	}
	if !printed {
		if outcome.ID == 0 {
			fmt.Fprintln(streams.out, "nothing changes")
		} else {
			fmt.Fprintf(streams.out, "configuration %d is on trial, %d fields differ\n", outcome.ID, len(outcome.Changes))
		}
	}
	for c.Wait && outcome.ID != 0 {
		time.Sleep(verdictPollInterval)
		var status changes.Status
		if err := admin.Get(context.Background(), c.Socket, "config", &status); err != nil {
			return fmt.Errorf("%w: %w", errDaemonUnreachable, err)
		}
		for _, event := range status.Events {
			if event.ID == outcome.ID && event.What != "applied" {
				fmt.Fprintf(streams.out, "%s: %s\n", event.What, event.Why)
				if event.What != "kept" {
					return errChangeUndone
				}
				return nil
			}
		}
	}
	return nil
}

// verdictPollInterval is the time between two requests for the verdict.
const verdictPollInterval = 200 * time.Millisecond

// errChangeUndone is returned by 'config apply --wait' if the trial fails; exit status 1.
var errChangeUndone = errors.New("the change was undone")

type configStatusCmd struct{ socketFlags }

// Run prints the running configuration and the one on trial.
func (c *configStatusCmd) Run(streams *stdStreams) error {
	var status changes.Status
	if printed, err := c.fetchPage(streams, "config", &status); printed || err != nil {
		return err
	}
	w := tabwriter.NewWriter(streams.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "runs\tconfiguration %d\n", status.Running)
	switch {
	case status.Alone:
		fmt.Fprintf(w, "trial\tconfiguration %d, without another to compare it with since a start %.1f s ago; kept after %.0f s\n", status.Trial, status.Since, status.Bake)
	case status.Trial != 0:
		fmt.Fprintf(w, "trial\tconfiguration %d, for %.1f of %.0f s, %d calls; %d are needed for a verdict\n", status.Trial, status.Since, status.Bake, status.Calls, status.Needed)
	default:
		fmt.Fprintf(w, "trial\tnone\n")
	}
	if status.Pending {
		fmt.Fprintf(w, "waiting\ta SIGHUP arrived: the files are read again after the trial\n")
	}
	fmt.Fprintf(w, "memory\t%s\n", map[bool]string{true: "survives a restart", false: "ends with the process: no [config] folder"}[status.Lasting])
	if status.Problem != "" {
		fmt.Fprintf(w, "problem\t%s\n", status.Problem)
	}
	return w.Flush()
}

type configHistoryCmd struct{ socketFlags }

// Run lists the changes and their outcomes, the oldest first.
func (c *configHistoryCmd) Run(streams *stdStreams) error {
	var status changes.Status
	if printed, err := c.fetchPage(streams, "config", &status); printed || err != nil {
		return err
	}
	w := tabwriter.NewWriter(streams.out, 0, 0, 2, ' ', 0)
	for _, event := range status.Events {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", event.At.Format(time.DateTime), event.ID, event.What, event.Why)
	}
	return w.Flush()
}

type configRollbackCmd struct{ socketFlags }

// Run ends the trial, or returns to the configuration before.
func (c *configRollbackCmd) Run(streams *stdStreams) error {
	printed, err := c.postAction(streams, "config/rollback", struct{}{}, new(json.RawMessage))
	if !printed && err == nil {
		fmt.Fprintln(streams.out, "done: 'fawnctl config status' shows what runs")
	}
	return err
}

// errChangeRefused is returned after the reasons for a refusal were printed; exit status 1.
var errChangeRefused = errors.New("the change is not possible while the daemon runs")

// loadDocument loads and validates a configuration as the daemon does when it starts.
func loadDocument(platformFile, featuresFile string) (change.Document, error) {
	if featuresFile == "" {
		featuresFile = os.DevNull
	}
	c, err := config.Load(func(name string) string {
		return map[string]string{"BALANCER_CONFIG": platformFile, "FAWN_FEATURES": featuresFile}[name]
	})
	if err != nil {
		return change.Document{}, err
	}
	return c.Document(), nil
}

// Run prints the changes, and all reasons for refusing them.
func (c *configPlanCmd) Run(streams *stdStreams) error {
	running, err := loadDocument(c.Running, c.RunningFeatures)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Running, err)
	}
	next, err := loadDocument(c.Next, c.NextFeatures)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Next, err)
	}
	plan, err := change.Compare(running, next, change.Usage{MemoryMB: c.MemoryMB, Sockets: c.Sockets, Held: c.Held})
	if err != nil {
		return err
	}
	if len(plan.Changes) == 0 {
		fmt.Fprintln(streams.out, "nothing changes")
	}
	for _, ch := range plan.Changes {
		fmt.Fprintln(streams.out, ch)
	}
	for _, r := range plan.Refusals {
		fmt.Fprintln(streams.err, "refused:", r)
	}
	if len(plan.Refusals) > 0 {
		return errChangeRefused
	}
	return nil
}

package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pelletier/go-toml/v2"

	"chalkrack/internal/agreement"
	"chalkrack/internal/consensus"
)

// errCouncilUnreachable means that a call of the council failed without a refusal: the council has
// no majority, or no member can be reached. Exit status 3.
var errCouncilUnreachable = errors.New("the council can't be asked")

// councilTimeout bounds one call of the council, including the wait for a majority.
const councilTimeout = 10 * time.Second

// councilFlags are the flags of commands that call a council.
type councilFlags struct {
	Council string `required:"" help:"A member's settings file, or a file with only the key and the members."`
	JSON    bool   `name:"json" help:"Print JSON."`
}

type (
	councilStatusCmd struct{ councilFlags }
	councilAddCmd    struct {
		councilFlags
		ID   uint64 `arg:"" help:"The id that the new member logs while it waits."`
		Name string `arg:"" help:"The new member's name."`
		Addr string `arg:"" help:"The address where the new member listens."`
	}
	councilRemoveCmd struct {
		councilFlags
		ID uint64 `arg:"" help:"The member's id, as 'council status' prints it."`
	}
)

type councilCmd struct {
	Status councilStatusCmd `cmd:"" help:"Show for each member whether it leads, the end of its log and the version in force."`
	Add    councilAddCmd    `cmd:"" help:"Add a member that was started with join = true and waits."`
	Remove councilRemoveCmd `cmd:"" help:"Remove a member, which then has no vote."`
}

type (
	settingsShowCmd    struct{ councilFlags }
	settingsHistoryCmd struct{ councilFlags }
	settingsBoundCmd   struct{ councilFlags }
	settingsProposeCmd struct {
		councilFlags
		File   string        `arg:"" help:"TOML file with the tables [rules] and [floor], each with levels by key."`
		Base   uint64        `required:"" help:"The version in force that the file was written against, as 'settings show' prints it."`
		Reason string        `required:"" help:"The reason, recorded with the version."`
		Who    string        `help:"Who asks; the current user by default."`
		Key    string        `help:"Identifies the proposal: sent again under the same key it is the same proposal. Random by default."`
		Wait   time.Duration `default:"30s" help:"How long to wait until the proposal is settled, refused or withdrawn; 0 does not wait."`
	}
	settingsWithdrawCmd struct {
		councilFlags
		Version uint64 `arg:"" help:"The version of the pending proposal."`
		Reason  string `required:"" help:"The reason, recorded with the entry."`
		Who     string `help:"Who asks; the current user by default."`
	}
	settingsForgetCmd struct {
		councilFlags
		Sidecar string `arg:"" help:"A silent sidecar that is known not to run any more."`
		Reason  string `required:"" help:"The reason, recorded with the entry."`
		Who     string `help:"Who asks; the current user by default."`
	}
)

type settingsCmd struct {
	Show     settingsShowCmd     `cmd:"" help:"Show the version in force, the pending proposal, and the sidecars that it waits for."`
	Propose  settingsProposeCmd  `cmd:"" help:"Propose a version, and wait until each live sidecar acts on it."`
	Withdraw settingsWithdrawCmd `cmd:"" help:"Withdraw the pending proposal."`
	Forget   settingsForgetCmd   `cmd:"" help:"Remove a silent sidecar, so that no proposal waits for it."`
	History  settingsHistoryCmd  `cmd:"" help:"List the last proposals and their outcomes."`
	Bound    settingsBoundCmd    `cmd:"" help:"Show for how long two sidecars may act on contradictory settings."`
}

// clientConfig reads the council's key and members from the file that --council names.
func (c *councilFlags) clientConfig() (consensus.ClientConfig, error) {
	text, err := os.ReadFile(c.Council)
	if err != nil {
		return consensus.ClientConfig{}, err
	}
	cfg, err := consensus.ReadClientConfig(text)
	if err != nil {
		return cfg, fmt.Errorf("%s: %w", c.Council, err)
	}
	return cfg, nil
}

// callCouncil calls call with a client of the council, which finds the leader by itself. It returns
// a *consensus.Refusal unchanged, and wraps any other error of call in errCouncilUnreachable.
func (c *councilFlags) callCouncil(call func(context.Context, *consensus.Client) (consensus.Status, error)) (status consensus.Status, err error) {
	cfg, err := c.clientConfig()
	if err != nil {
		return status, err
	}
	client := cfg.NewClient()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), councilTimeout)
	defer cancel()
	if status, err = call(ctx, client); err == nil {
		return status, nil
	}
	var refusal *consensus.Refusal
	if errors.As(err, &refusal) {
		return status, refusal
	}
	return status, fmt.Errorf("%w: %w", errCouncilUnreachable, err)
}

// printJSON prints a value as indented JSON.
func (c *councilFlags) printJSON(streams *stdStreams, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err == nil {
		_, err = fmt.Fprintln(streams.out, string(text))
	}
	return err
}

// requesterName returns who or, if that is empty, the current user's name.
func requesterName(who string) string {
	if who != "" {
		return who
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "somebody"
}

// Run asks each member that the file names for its own status. It fails if none of them leads.
func (c *councilStatusCmd) Run(streams *stdStreams) error {
	cfg, err := c.clientConfig()
	if err != nil {
		return err
	}
	views, hasLeader := make(map[string]any), false
	w := tabwriter.NewWriter(streams.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "member\taddress\tleads\tlog\tin force\tid")
	for _, name := range sortedKeys(cfg.Members) {
		client := consensus.NewClient(cfg.Key, 0, map[string]string{name: cfg.Members[name]})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, err := client.Status(ctx)
		cancel()
		client.Close()
		if err != nil {
			views[name] = err.Error()
			fmt.Fprintf(w, "%s\t%s\t-\t-\t-\tno answer\n", name, cfg.Members[name])
			continue
		}
		views[name], hasLeader = status, hasLeader || status.IsLeader
		id := uint64(0)
		for memberID, endpoint := range status.Members {
			if endpoint.Name == status.Name {
				id = memberID
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%d\t%d\n", name, cfg.Members[name], status.IsLeader, status.Index, status.InForce.Version, id)
	}
	if c.JSON {
		err = c.printJSON(streams, views)
	} else {
		err = w.Flush()
	}
	if err == nil && !hasLeader {
		return errors.New("nobody leads: no proposal can be decided, and each sidecar goes over to the stricter settings before its lease ends")
	}
	return err
}

// Run adds the member.
func (c *councilAddCmd) Run(streams *stdStreams) error {
	return c.changeMember(streams, c.ID, consensus.Endpoint{Name: c.Name, Addr: c.Addr}, false)
}

// Run removes the member.
func (c *councilRemoveCmd) Run(streams *stdStreams) error {
	return c.changeMember(streams, c.ID, consensus.Endpoint{}, true)
}

// changeMember adds or removes a member, and returns once the council has accepted the change.
func (c *councilFlags) changeMember(streams *stdStreams, id uint64, endpoint consensus.Endpoint, remove bool) error {
	status, err := c.callCouncil(func(ctx context.Context, client *consensus.Client) (consensus.Status, error) {
		return client.ChangeMember(ctx, id, endpoint, remove)
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.out, "accepted; %d members until the change takes effect: see 'fawnctl council status'\n", len(status.Members))
	return nil
}

// latestStatus returns the leader's status, with everything committed before the call.
func (c *councilFlags) latestStatus() (consensus.Status, error) {
	return c.callCouncil(func(ctx context.Context, client *consensus.Client) (consensus.Status, error) {
		return client.ConfirmedStatus(ctx)
	})
}

// Run prints the version in force and the pending one.
func (c *settingsShowCmd) Run(streams *stdStreams) error {
	status, err := c.latestStatus()
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(streams, status)
	}
	return printSettings(streams, &status)
}

// printSettings prints the version in force, the pending proposal and the sidecars of a status.
func printSettings(streams *stdStreams, status *consensus.Status) error {
	live, silent := 0, []string{}
	for _, name := range sortedKeys(status.Sidecars) {
		if status.Sidecars[name].LeaseExpired {
			silent = append(silent, fmt.Sprintf("%s (acts on %d or stricter)", name, status.Sidecars[name].ActiveVersion))
		} else {
			live++
		}
	}
	w := tabwriter.NewWriter(streams.out, 0, 0, 2, ' ', 0)
	settled := "settled"
	if !status.IsSettled {
		settled = "not settled"
	}
	fmt.Fprintf(w, "in force\tversion %d, %s\n", status.InForce.Version, settled)
	if doc := status.InForce; doc.Version > 0 {
		fmt.Fprintf(w, "\tby %s: %s\n", doc.Who, doc.Reason)
		for _, key := range sortedKeys(doc.Rules) {
			fmt.Fprintf(w, "\t%s = %d\n", key, doc.Rules[key])
		}
		for _, key := range sortedKeys(doc.Floor) {
			fmt.Fprintf(w, "\t%s is at least %d in a sidecar whose settings may be out of date\n", key, doc.Floor[key])
		}
	}
	if status.Pending != nil {
		fmt.Fprintf(w, "on its way\tversion %d, by %s: %s\n", status.Pending.Version, status.Pending.Who, status.Pending.Reason)
	}
	if len(status.PendingSidecars) > 0 {
		fmt.Fprintf(w, "waits for\t%s\n", strings.Join(status.PendingSidecars, ", "))
	}
	fmt.Fprintf(w, "sidecars\t%d live, %d silent\n", live, len(silent))
	for _, name := range silent {
		fmt.Fprintf(w, "\t%s\n", name)
	}
	return w.Flush()
}

// Run proposes the file's settings, and waits until they are settled, refused or withdrawn, or
// until --wait has passed.
func (c *settingsProposeCmd) Run(streams *stdStreams) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var file struct {
		Rules agreement.Rules `toml:"rules"`
		Floor agreement.Rules `toml:"floor"`
	}
	decoder := toml.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	if c.Key == "" {
		c.Key = rand.Text()
	}
	doc := &agreement.Doc{Rules: file.Rules, Floor: file.Floor, Key: c.Key, Who: requesterName(c.Who), Reason: c.Reason}
	if err := doc.Validate(); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	status, err := c.callCouncil(func(ctx context.Context, client *consensus.Client) (consensus.Status, error) {
		return client.Apply(ctx, agreement.Entry{Kind: agreement.KindPropose, BaseVersion: c.Base, Doc: doc})
	})
	if err != nil {
		return err
	}
	lastWaiting := ""
	for deadline := time.Now().Add(c.Wait); ; time.Sleep(200 * time.Millisecond) {
		result := proposalResult(&status, c.Key)
		switch {
		case result.Outcome == agreement.OutcomeRefused || result.Outcome == agreement.OutcomeWithdrawn:
			return fmt.Errorf("version %d was %s by %s: %s", result.Version, result.Outcome, result.Who, result.Reason)
		case result.Outcome == agreement.OutcomeInForce && (status.IsSettled || status.InForce.Version > result.Version):
			fmt.Fprintf(streams.out, "version %d is in force and settled\n", result.Version)
			return nil
		case time.Now().After(deadline):
			return fmt.Errorf("version %d is not settled yet: waits for %s", result.Version, strings.Join(status.PendingSidecars, ", "))
		}
		if text := strings.Join(status.PendingSidecars, ", "); text != lastWaiting {
			lastWaiting = text
			fmt.Fprintf(streams.out, "version %d %s, waits for %s\n", result.Version, result.Outcome, text)
		}
		if status, err = c.latestStatus(); err != nil {
			return err
		}
	}
}

// proposalResult returns the result of the proposal with the key. Its Outcome is OutcomePreparing
// while the proposal is pending, and empty if the status does not contain the proposal.
func proposalResult(status *consensus.Status, key string) agreement.ProposalResult {
	for _, result := range status.Results {
		if result.Key == key {
			return result
		}
	}
	if status.Pending != nil && status.Pending.Key == key {
		return agreement.ProposalResult{Key: key, Version: status.Pending.Version, Outcome: agreement.OutcomePreparing}
	}
	return agreement.ProposalResult{Key: key}
}

// applyEntry submits an operator's entry to the council and prints the settings after it.
func (c *councilFlags) applyEntry(streams *stdStreams, entry agreement.Entry) error {
	status, err := c.callCouncil(func(ctx context.Context, client *consensus.Client) (consensus.Status, error) {
		return client.Apply(ctx, entry)
	})
	if err != nil {
		return err
	}
	return printSettings(streams, &status)
}

// Run withdraws the proposal.
func (c *settingsWithdrawCmd) Run(streams *stdStreams) error {
	return c.applyEntry(streams, agreement.Entry{Kind: agreement.KindWithdraw, Version: c.Version, Who: requesterName(c.Who), Reason: c.Reason})
}

// Run removes the sidecar from the council's records.
func (c *settingsForgetCmd) Run(streams *stdStreams) error {
	return c.applyEntry(streams, agreement.Entry{Kind: agreement.KindRemove, Sidecar: c.Sidecar, Who: requesterName(c.Who), Reason: c.Reason})
}

// Run lists the last proposals and their outcomes.
func (c *settingsHistoryCmd) Run(streams *stdStreams) error {
	status, err := c.latestStatus()
	if err != nil || c.JSON {
		return errors.Join(err, c.printJSON(streams, status.Results))
	}
	w := tabwriter.NewWriter(streams.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "version\tbecame\tby\twhy")
	for _, result := range status.Results {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", result.Version, result.Outcome, result.Who, result.Reason)
	}
	return w.Flush()
}

// Run prints the longest time after which no sidecar acts on settings laxer than those in force.
func (c *settingsBoundCmd) Run(streams *stdStreams) error {
	status, err := c.latestStatus()
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(streams, map[string]any{"bound_ns": status.MaxStaleness})
	}
	fmt.Fprintf(streams.out, "%v after a version comes into force, no sidecar acts on a laxer one any more\n", status.MaxStaleness.Round(time.Millisecond))
	return nil
}

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

	"chalkrack/internal/agreed"
	"chalkrack/internal/council"
)

// errNoCouncil is of a council that has no majority, or can't be reached.
var errNoCouncil = errors.New("the council can't be asked")

// councilWait is how long a command waits for a council that has a majority.
const councilWait = 10 * time.Second

type councilFlags struct {
	Council string `required:"" help:"A member's file, or one with its key and members alone."`
	JSON    bool   `name:"json" help:"As JSON."`
}

type (
	councilStatusCmd struct{ councilFlags }
	councilAddCmd    struct {
		councilFlags
		ID   uint64 `arg:"" help:"The id that the new member's log says as it waits."`
		Name string `arg:"" help:"Its name."`
		Addr string `arg:"" help:"Where it listens."`
	}
	councilRemoveCmd struct {
		councilFlags
		ID uint64 `arg:"" help:"The member's id, as the status has it."`
	}
)

type councilCmd struct {
	Status councilStatusCmd `cmd:"" help:"Each member's view: who leads, how far its log is."`
	Add    councilAddCmd    `cmd:"" help:"Add a member that waits with join = true."`
	Remove councilRemoveCmd `cmd:"" help:"Remove a member: it has no vote from then on."`
}

type (
	settingsShowCmd    struct{ councilFlags }
	settingsHistoryCmd struct{ councilFlags }
	settingsBoundCmd   struct{ councilFlags }
	settingsProposeCmd struct {
		councilFlags
		File   string        `arg:"" help:"TOML with [rules] and [floor]: a level by key."`
		Base   uint64        `required:"" help:"The version that the file was written against, as 'show' has it."`
		Reason string        `required:"" help:"Why; it stays with the version."`
		Who    string        `help:"Who asks; the user by default."`
		Key    string        `help:"Sent again under the same key it is the same proposal. One is drawn by default."`
		Wait   time.Duration `default:"30s" help:"How long to wait until it is settled, refused or withdrawn; 0: not at all."`
	}
	settingsWithdrawCmd struct {
		councilFlags
		Version uint64 `arg:"" help:"Of the proposal that is on its way."`
		Reason  string `required:"" help:"Why."`
		Who     string `help:"Who asks; the user by default."`
	}
	settingsForgetCmd struct {
		councilFlags
		Sidecar string `arg:"" help:"A sidecar that is silent, and is known to be no more."`
		Reason  string `required:"" help:"Why."`
		Who     string `help:"Who asks; the user by default."`
	}
)

type settingsCmd struct {
	Show     settingsShowCmd     `cmd:"" help:"What is in force and what is on its way, and whom that waits for."`
	Propose  settingsProposeCmd  `cmd:"" help:"Propose a version; wait until each live sidecar acts on it."`
	Withdraw settingsWithdrawCmd `cmd:"" help:"Withdraw what is on its way."`
	Forget   settingsForgetCmd   `cmd:"" help:"Say that a silent sidecar is no more, so that nothing waits for it."`
	History  settingsHistoryCmd  `cmd:"" help:"What became of the last proposals."`
	Bound    settingsBoundCmd    `cmd:"" help:"For how long two sidecars may contradict each other."`
}

// reach is the council of the flags.
func (c *councilFlags) reach() (council.ClientConfig, error) {
	text, err := os.ReadFile(c.Council)
	if err != nil {
		return council.ClientConfig{}, err
	}
	r, err := council.ReadClientConfig(text)
	if err != nil {
		return r, fmt.Errorf("%s: %w", c.Council, err)
	}
	return r, nil
}

// with calls the council, whoever leads it.
func (c *councilFlags) with(do func(context.Context, *council.Client) (council.Status, error)) (st council.Status, err error) {
	r, err := c.reach()
	if err != nil {
		return st, err
	}
	client := r.NewClient()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), councilWait)
	defer cancel()
	if st, err = do(ctx, client); err == nil {
		return st, nil
	}
	var no *council.Refusal
	if errors.As(err, &no) {
		return st, no
	}
	return st, fmt.Errorf("%w: %w", errNoCouncil, err)
}

func (c *councilFlags) print(s *streams, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err == nil {
		_, err = fmt.Fprintln(s.out, string(text))
	}
	return err
}

func orUser(who string) string {
	if who != "" {
		return who
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "somebody"
}

// Run asks each member of the file for itself.
func (c *councilStatusCmd) Run(s *streams) error {
	r, err := c.reach()
	if err != nil {
		return err
	}
	all, leads := make(map[string]any), false
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "member\taddress\tleads\tlog\tin force\tid")
	for _, name := range sortedKeys(r.Members) {
		one := council.NewClient(r.Key, 0, map[string]string{name: r.Members[name]})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		st, err := one.Status(ctx)
		cancel()
		one.Close()
		if err != nil {
			all[name] = err.Error()
			fmt.Fprintf(w, "%s\t%s\t-\t-\t-\tno answer\n", name, r.Members[name])
			continue
		}
		all[name], leads = st, leads || st.IsLeader
		id := uint64(0)
		for n, p := range st.Members {
			if p.Name == st.Name {
				id = n
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%d\t%d\n", name, r.Members[name], st.IsLeader, st.Index, st.InForce.Version, id)
	}
	if c.JSON {
		err = c.print(s, all)
	} else {
		err = w.Flush()
	}
	if err == nil && !leads {
		return errors.New("nobody leads: nothing can be agreed on, and sidecars go to the stricter before their leases end")
	}
	return err
}

// Run adds the member.
func (c *councilAddCmd) Run(s *streams) error {
	return c.change(s, c.ID, council.Endpoint{Name: c.Name, Addr: c.Addr}, false)
}

// Run removes it.
func (c *councilRemoveCmd) Run(s *streams) error { return c.change(s, c.ID, council.Endpoint{}, true) }

func (c *councilFlags) change(s *streams, id uint64, p council.Endpoint, remove bool) error {
	st, err := c.with(func(ctx context.Context, client *council.Client) (council.Status, error) {
		return client.ChangeMember(ctx, id, p, remove)
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "on its way; %d members until it holds: 'fawnctl council status' shows it\n", len(st.Members))
	return nil
}

// sure is what the council knows, nothing missing.
func (c *councilFlags) sure() (council.Status, error) {
	return c.with(func(ctx context.Context, client *council.Client) (council.Status, error) { return client.Latest(ctx) })
}

// Run shows what is in force.
func (c *settingsShowCmd) Run(s *streams) error {
	st, err := c.sure()
	if err != nil {
		return err
	}
	if c.JSON {
		return c.print(s, st)
	}
	return settingsText(s, &st)
}

func settingsText(s *streams, st *council.Status) error {
	live, silent := 0, []string{}
	for _, name := range sortedKeys(st.Sidecars) {
		if st.Sidecars[name].LeaseExpired {
			silent = append(silent, fmt.Sprintf("%s (acts on %d or stricter)", name, st.Sidecars[name].ActiveVersion))
		} else {
			live++
		}
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	settled := "settled"
	if !st.IsSettled {
		settled = "not settled"
	}
	fmt.Fprintf(w, "in force\tversion %d, %s\n", st.InForce.Version, settled)
	if d := st.InForce; d.Version > 0 {
		fmt.Fprintf(w, "\tby %s: %s\n", d.Who, d.Reason)
		for _, k := range sortedKeys(d.Rules) {
			fmt.Fprintf(w, "\t%s = %d\n", k, d.Rules[k])
		}
		for _, k := range sortedKeys(d.Floor) {
			fmt.Fprintf(w, "\t%s is %d at least where a sidecar may be stale\n", k, d.Floor[k])
		}
	}
	if st.Pending != nil {
		fmt.Fprintf(w, "on its way\tversion %d, by %s: %s\n", st.Pending.Version, st.Pending.Who, st.Pending.Reason)
	}
	if len(st.PendingSidecars) > 0 {
		fmt.Fprintf(w, "waits for\t%s\n", strings.Join(st.PendingSidecars, ", "))
	}
	fmt.Fprintf(w, "sidecars\t%d live, %d silent\n", live, len(silent))
	for _, name := range silent {
		fmt.Fprintf(w, "\t%s\n", name)
	}
	return w.Flush()
}

// Run proposes the file, and waits for what becomes of it.
func (c *settingsProposeCmd) Run(s *streams) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var file struct {
		Rules agreed.Rules `toml:"rules"`
		Floor agreed.Rules `toml:"floor"`
	}
	d := toml.NewDecoder(strings.NewReader(string(text)))
	d.DisallowUnknownFields()
	if err := d.Decode(&file); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	if c.Key == "" {
		c.Key = rand.Text()
	}
	doc := &agreed.Doc{Rules: file.Rules, Floor: file.Floor, Key: c.Key, Who: orUser(c.Who), Reason: c.Reason}
	if err := doc.Validate(); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	st, err := c.with(func(ctx context.Context, client *council.Client) (council.Status, error) {
		return client.Apply(ctx, agreed.Entry{Kind: agreed.KindPropose, BaseVersion: c.Base, Doc: doc})
	})
	if err != nil {
		return err
	}
	waits := ""
	for end := time.Now().Add(c.Wait); ; time.Sleep(200 * time.Millisecond) {
		done := ending(&st, c.Key)
		switch {
		case done.Outcome == agreed.OutcomeRefused || done.Outcome == agreed.OutcomeWithdrawn:
			return fmt.Errorf("version %d was %s by %s: %s", done.Version, done.Outcome, done.Who, done.Reason)
		case done.Outcome == agreed.OutcomeInForce && (st.IsSettled || st.InForce.Version > done.Version):
			fmt.Fprintf(s.out, "version %d is in force and settled\n", done.Version)
			return nil
		case time.Now().After(end):
			return fmt.Errorf("version %d is not settled yet: waits for %s", done.Version, strings.Join(st.PendingSidecars, ", "))
		}
		if text := strings.Join(st.PendingSidecars, ", "); text != waits {
			waits = text
			fmt.Fprintf(s.out, "version %d %s, waits for %s\n", done.Version, done.Outcome, text)
		}
		if st, err = c.sure(); err != nil {
			return err
		}
	}
}

// ending is what is known of a proposal.
func ending(st *council.Status, key string) agreed.ProposalResult {
	for _, e := range st.Results {
		if e.Key == key {
			return e
		}
	}
	if st.Pending != nil && st.Pending.Key == key {
		return agreed.ProposalResult{Key: key, Version: st.Pending.Version, Outcome: agreed.OutcomePreparing}
	}
	return agreed.ProposalResult{Key: key}
}

func (c *councilFlags) enter(s *streams, e agreed.Entry) error {
	st, err := c.with(func(ctx context.Context, client *council.Client) (council.Status, error) { return client.Apply(ctx, e) })
	if err != nil {
		return err
	}
	return settingsText(s, &st)
}

// Run withdraws the proposal.
func (c *settingsWithdrawCmd) Run(s *streams) error {
	return c.enter(s, agreed.Entry{Kind: agreed.KindWithdraw, Version: c.Version, Who: orUser(c.Who), Reason: c.Reason})
}

// Run has the sidecar forgotten.
func (c *settingsForgetCmd) Run(s *streams) error {
	return c.enter(s, agreed.Entry{Kind: agreed.KindRemove, Sidecar: c.Sidecar, Who: orUser(c.Who), Reason: c.Reason})
}

// Run shows the last proposals.
func (c *settingsHistoryCmd) Run(s *streams) error {
	st, err := c.sure()
	if err != nil || c.JSON {
		return errors.Join(err, c.print(s, st.Results))
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "version\tbecame\tby\twhy")
	for _, e := range st.Results {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", e.Version, e.Outcome, e.Who, e.Reason)
	}
	return w.Flush()
}

// Run shows T.
func (c *settingsBoundCmd) Run(s *streams) error {
	st, err := c.sure()
	if err != nil {
		return err
	}
	if c.JSON {
		return c.print(s, map[string]any{"bound_ns": st.MaxStaleness})
	}
	fmt.Fprintf(s.out, "%v after a version comes into force nothing runs any more by a laxer one\n", st.MaxStaleness.Round(time.Millisecond))
	return nil
}

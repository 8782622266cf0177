package main

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/pelletier/go-toml/v2"

	"chalkrack/internal/durable"
	"chalkrack/internal/plan"
	"chalkrack/internal/plan/picture"
	"chalkrack/internal/weights"
)

// capacityPlanCmd is the plan command. An error ends it with exit status 1, 2, 3 or 4.
type capacityPlanCmd struct {
	Fleet   string        `arg:"" help:"The fleet's file (TOML): nodes, classes, prices and limits."`
	Lose    []string      `placeholder:"WHAT" help:"Plan without the nodes of zone=Z, kind=K or node=N. May be repeated."`
	WhatIf  []string      `name:"what-if" placeholder:"CHANGE" help:"Change the fleet before planning: rate:CLASS=X, speed:PLACE=X, price:PLACE=X, cores:PLACE=X, add:NODE=COUNT; X is a number, or *1.5 for a multiple. May be repeated."`
	Diff    string        `placeholder:"OTHER" help:"Plan the fleet of this file too, and show the differences."`
	Losses  bool          `help:"Check the plan against the loss of each zone and node, and the worst case of its intervals."`
	Robust  bool          `help:"With choose = true: choose nodes that survive these losses, and show what that costs."`
	Explain bool          `help:"Show for each node why it has its share."`
	JSON    bool          `help:"Print the plan as JSON."`
	SVG     string        `placeholder:"FILE" help:"Draw the load of each node to this file."`
	Time    time.Duration `default:"1m" help:"How long the search may take; after that the best plan found counts, with its gap."`
	Weights string        `placeholder:"FILE" help:"Write the weights for daemons to this file, signed with --key."`
	Key     string        `placeholder:"FILE" help:"File with a private key, as 'fawnctl keygen' writes it."`
	Valid   time.Duration `default:"24h" help:"How long the weights are valid."`
}

// Errors of the plan command that have their own exit statuses: 1, 2 and 4, in this order.
var (
	errNotAllServed        = errors.New("not all can be served")
	errContradictoryLimits = errors.New("the limits contradict each other")
	errNoPlanInTime        = errors.New("no plan was found in time")
)

// readFleet reads and validates a fleet's file of at most 8 MiB. All its errors wrap errUnreadable.
func readFleet(path string) (*plan.Fleet, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreadable, err)
	}
	defer file.Close()
	var fleet plan.Fleet
	if err := toml.NewDecoder(io.LimitReader(file, 8<<20)).DisallowUnknownFields().Decode(&fleet); err != nil {
		var strictErr *toml.StrictMissingError
		var decodeErr *toml.DecodeError
		switch {
		case errors.As(err, &strictErr):
			return nil, fmt.Errorf("%w: %s: %s", errUnreadable, path, strictErr.String())
		case errors.As(err, &decodeErr):
			row, _ := decodeErr.Position()
			return nil, fmt.Errorf("%w: %s:%d: %w", errUnreadable, path, row, err)
		}
		return nil, fmt.Errorf("%w: %s: %w", errUnreadable, path, err)
	}
	if err := fleet.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", errUnreadable, path, err)
	}
	return &fleet, nil
}

// removeNodes applies one --lose to the fleet.
func removeNodes(fleet *plan.Fleet, selector string) error {
	kind, name, _ := strings.Cut(selector, "=")
	remaining := slices.DeleteFunc(slices.Clone(fleet.Nodes), func(d plan.Node) bool {
		return kind == "zone" && d.Zone == name || kind == "kind" && d.Kind == name || kind == "node" && d.Name == name
	})
	if len(remaining) == len(fleet.Nodes) {
		return fmt.Errorf("--lose: the fleet has no %q: expected zone=Z, kind=K or node=N", selector)
	}
	// Lost nodes stay in the fleet without cores, because limits may name them.
	for n := range fleet.Nodes {
		if !slices.ContainsFunc(remaining, func(d plan.Node) bool { return d.Name == fleet.Nodes[n].Name }) {
			fleet.Nodes[n].Cores, fleet.Nodes[n].CurrentShare = 0, 0
		}
	}
	return nil
}

// applyWhatIf applies one --what-if to the fleet.
func applyWhatIf(fleet *plan.Fleet, change string) error {
	field, value, hasValue := strings.Cut(change, "=")
	property, place, hasPlace := strings.Cut(field, ":")
	isFactor := strings.HasPrefix(value, "*")
	number, err := strconv.ParseFloat(strings.TrimPrefix(value, "*"), 64)
	if !hasValue || !hasPlace || err != nil || !(number >= 0) {
		return fmt.Errorf("--what-if: %q must be PROPERTY:PLACE=NUMBER with a number of at least 0", change)
	}
	newValue := func(old float64) float64 {
		if isFactor {
			return old * number
		}
		return number
	}
	found := false
	if property == "rate" {
		for n := range fleet.Classes {
			if class := &fleet.Classes[n]; class.Name == place || place == "*" {
				class.Rate, found = newValue(class.Rate), true
				class.BusyRate = max(class.BusyRate, 0)
				if class.BusyRate > 0 {
					class.BusyRate = max(newValue(class.BusyRate), class.Rate)
				}
			}
		}
	}
	var added []plan.Node
	for n := range fleet.Nodes {
		node := &fleet.Nodes[n]
		if node.Name != place && "zone:"+node.Zone != place && "kind:"+node.Kind != place && place != "*" {
			continue
		}
		switch property {
		case "speed":
			node.Speed, node.SlowSpeed, found = newValue(node.Speed), min(node.SlowSpeed, newValue(node.Speed)), true
		case "price":
			node.Price, found = newValue(node.Price), true
		case "cores":
			node.Cores, found = int(newValue(float64(node.Cores))), true
		case "add":
			for k := range int(min(number, plan.MaxNodes)) {
				extra := *node
				extra.Name, extra.CurrentShare = fmt.Sprintf("%s+%d", node.Name, k+1), 0
				added = append(added, extra)
			}
			found = true
		}
	}
	fleet.Nodes = append(fleet.Nodes, added...)
	if !found {
		return fmt.Errorf("--what-if: nothing in the fleet matches %q", field)
	}
	return nil
}

// Run computes and prints the plan, and writes the files that the flags name. It returns
// errNotAllServed, errContradictoryLimits or errNoPlanInTime where the plan has such a result.
func (c *capacityPlanCmd) Run(streams *stdStreams) error {
	fleet, err := readFleet(c.Fleet)
	if err != nil {
		return err
	}
	for _, w := range c.WhatIf {
		if err := applyWhatIf(fleet, w); err != nil {
			return fmt.Errorf("%w: %w", errUnreadable, err)
		}
	}
	for _, l := range c.Lose {
		if err := removeNodes(fleet, l); err != nil {
			return fmt.Errorf("%w: %w", errUnreadable, err)
		}
	}
	if c.Robust && !fleet.Choose {
		return fmt.Errorf("%w: --robust chooses nodes: the fleet must have choose = true", errUnreadable)
	}
	if (c.Weights == "") != (c.Key == "") {
		return fmt.Errorf("%w: --weights and --key go together", errUnreadable)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.Time)
	defer cancel()
	options := plan.Options{Stop: func() bool { return ctx.Err() != nil }, Losses: c.Losses, Robust: c.Robust, Gains: true}
	if isTerminal(streams.err) {
		began := time.Now()
		options.Progress = func(search plan.Search) {
			fmt.Fprintf(streams.err, "\r%s: %d steps, best %.6g late, %.6g worth lost, %.6g an hour ", time.Since(began).Round(time.Second), search.Steps, search.Best[0], search.Best[1], search.Best[2])
		}
	}
	began := time.Now()
	result, err := plan.Solve(fleet, options)
	elapsed := time.Since(began)
	if errors.Is(err, plan.ErrStopped) {
		return fmt.Errorf("%w: after %s: set a longer --time", errNoPlanInTime, elapsed.Round(time.Millisecond))
	}
	if err != nil {
		return err
	}
	if c.JSON {
		err = json.NewEncoder(streams.out).Encode(result)
	} else {
		err = printPlan(streams.out, result, c.Explain, elapsed)
	}
	if err != nil {
		return err
	}
	if c.Diff != "" {
		if err := c.printDiff(streams, result, options); err != nil {
			return err
		}
	}
	if result.Status == plan.Contradictory {
		return errContradictoryLimits
	}
	if c.SVG != "" {
		w, err := os.Create(c.SVG)
		if err != nil {
			return err
		}
		if err := errors.Join(picture.SVG(w, result), w.Close()); err != nil {
			return err
		}
	}
	if c.Weights != "" {
		if err := c.writeWeights(result); err != nil {
			return err
		}
	}
	if result.Status == plan.Short {
		return errNotAllServed
	}
	return nil
}

// printPlan prints the plan as a table; explainNodes adds the reasons for each node's share.
func printPlan(out io.Writer, result *plan.Plan, explainNodes bool, elapsed time.Duration) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s\tworked out in %s\n", result.Status, elapsed.Round(time.Millisecond))
	if result.Status == plan.Contradictory {
		for n, conflict := range result.Conflicts {
			fmt.Fprintf(w, "contradiction %d\tremove any one of these and the others can be met:\n", n+1)
			for _, l := range conflict {
				fmt.Fprintf(w, "\t%s\n", l)
			}
		}
		return w.Flush()
	}
	fmt.Fprintf(w, "work\t%.4g s a second; %.4g can be done\n", result.Demand, result.Capacity)
	for _, name := range sortedKeys(result.Served) {
		fmt.Fprintf(w, "served\t%s\t%.2f %%\n", name, 100*result.Served[name])
	}
	fmt.Fprintf(w, "cost\t%.4g an hour; %.1f %% of the work leaves its zone\n", result.Values["cost"], 100*result.Crossing)
	if moved, ok := result.Values["moves"]; ok {
		fmt.Fprintf(w, "moved\t%.1f %% of the work\n", 100*moved)
	}
	for _, m := range result.Missing {
		fmt.Fprintf(w, "not served\t%.4g a second of %s from %s\n", m.Rate, m.Class, m.Zone)
	}
	for _, b := range result.Binding {
		fmt.Fprintf(w, "binds\t%s\n", b)
	}
	for _, g := range result.Gains {
		fmt.Fprintf(w, "one more\t%s in %s: %.4g of worth a second (at most %.4g by its dual price)\n", g.Kind, g.Zone, g.Actual, g.DualBound)
	}
	for _, l := range result.Losses {
		verdict := "held"
		if !l.Survived {
			verdict = fmt.Sprintf("short: %.4g of worth a second", l.WorthLost)
			for _, name := range sortedKeys(l.Served) {
				verdict += fmt.Sprintf(", %s %.1f %%", name, 100*l.Served[name])
			}
		}
		fmt.Fprintf(w, "without\t%s: %s\n", l.Name, verdict)
	}
	if len(result.Skipped) > 0 {
		fmt.Fprintf(w, "left\t%s: --time ended before these were computed\n", strings.Join(result.Skipped, ", "))
	}
	if r := result.Robust; r != nil {
		fmt.Fprintf(w, "robust\t%.4g an hour, %.4g without\n", r.CostWith, r.CostWithout)
		for _, l := range r.Problems {
			fmt.Fprintf(w, "not survived\t%s\n", l)
		}
	}
	if search := result.Search; search != nil {
		state := "proven"
		if search.Stopped {
			state = fmt.Sprintf("ended early, gap %.2g %%", 100*search.Gap)
		}
		fmt.Fprintf(w, "search\t%d steps, %d cuts, %s\n", search.Steps, search.Cuts, state)
	}
	fmt.Fprintln(w, "node\tzone\tkind\tload\tof\tbusy\tshare")
	for _, d := range result.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.3g\t%.3g\t%.0f %%\t%.2f %%\n", d.Name, d.Zone, d.Kind, d.Load, d.Capacity, 100*d.Busy, 100*d.Share)
		if explainNodes {
			for _, why := range d.Reasons {
				fmt.Fprintf(w, "\t%s\n", why)
			}
		}
	}
	return w.Flush()
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](m map[string]V) (all []string) {
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// printDiff plans the fleet of --diff and prints where it differs from result.
func (c *capacityPlanCmd) printDiff(streams *stdStreams, result *plan.Plan, options plan.Options) error {
	fleet, err := readFleet(c.Diff)
	if err != nil {
		return err
	}
	other, err := plan.Solve(fleet, options)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(streams.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "against\t%s\n", c.Diff)
	fmt.Fprintf(w, "status\t%s\t%s\n", result.Status, other.Status)
	for _, name := range sortedKeys(result.Values) {
		if a, b := result.Values[name], other.Values[name]; a != b {
			fmt.Fprintf(w, "%s\t%.6g\t%.6g\n", name, a, b)
		}
	}
	shares := make(map[string][2]float64)
	for n, planned := range []*plan.Plan{result, other} {
		for _, d := range planned.Nodes {
			pair := shares[d.Name]
			pair[n] = d.Share
			shares[d.Name] = pair
		}
	}
	moved := 0.0
	for _, name := range sortedKeys(shares) {
		pair := shares[name]
		if d := pair[1] - pair[0]; d > 5e-4 || d < -5e-4 {
			fmt.Fprintf(w, "%s\t%.2f %%\t%.2f %%\n", name, 100*pair[0], 100*pair[1])
			moved += max(d, 0)
		}
	}
	fmt.Fprintf(w, "moved\t%.2f %% of the work\n", 100*moved)
	return w.Flush()
}

// writeWeights writes the plan's weights to the file for daemons, signed with the key.
func (c *capacityPlanCmd) writeWeights(result *plan.Plan) error {
	text, err := os.ReadFile(c.Key)
	if err != nil {
		return err
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return fmt.Errorf("--key: %s: must be %d bytes as base64", c.Key, ed25519.SeedSize)
	}
	now := time.Now().UTC().Truncate(time.Second)
	signedPlan := &weights.Plan{Version: 1, Made: now, Until: now.Add(c.Valid), Weights: make(map[string]map[string]float64)}
	for _, d := range result.Nodes {
		for zone, weight := range d.Weights {
			if signedPlan.Weights[zone] == nil {
				signedPlan.Weights[zone] = make(map[string]float64)
			}
			signedPlan.Weights[zone][d.Name] = weight
		}
	}
	for _, d := range result.Nodes { // nodes without a share have weight 0, so that daemons know them
		for zone := range signedPlan.Weights {
			if _, ok := signedPlan.Weights[zone][d.Name]; !ok {
				signedPlan.Weights[zone][d.Name] = 0
			}
		}
	}
	data, err := weights.EncodePlan(signedPlan, ed25519.NewKeyFromSeed(seed))
	if err != nil {
		return err
	}
	return durable.Replace(c.Weights, data)
}

type keygenCmd struct {
	Out string `arg:"" help:"Write the private key to this file, which must not exist; the public key is printed."`
}

// Run generates a key pair for signing weights.
func (c *keygenCmd) Run(streams *stdStreams) error {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(c.Out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(file, base64.StdEncoding.EncodeToString(private.Seed()))
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	_, err = fmt.Fprintln(streams.out, base64.StdEncoding.EncodeToString(public))
	return err
}

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

type fleetCmd struct {
	Fleet   string        `arg:"" help:"The fleet: nodes, classes, prices, limits (TOML)."`
	Lose    []string      `placeholder:"WHAT" help:"Plan without zone=Z, kind=K or node=N. May be repeated."`
	WhatIf  []string      `name:"what-if" placeholder:"CHANGE" help:"Change the fleet first: rate:CLASS=X, speed:PLACE=X, price:PLACE=X, cores:PLACE=X, add:NODE=COUNT; X is a number, or *1.5 for a multiple. May be repeated."`
	Diff    string        `placeholder:"OTHER" help:"Plan that fleet too, and show what differs."`
	Losses  bool          `help:"Hold the plan against the loss of each zone and node, and the worst of its intervals."`
	Robust  bool          `help:"With choose = true: choose nodes that bear these losses, and tell what that costs."`
	Explain bool          `help:"Say of each node why it has its part."`
	JSON    bool          `help:"Print the plan as JSON."`
	SVG     string        `placeholder:"FILE" help:"Draw the load of each node."`
	Time    time.Duration `default:"1m" help:"How long it may search; then the best found counts, with its gap."`
	Weights string        `placeholder:"FILE" help:"Write the weights for daemons, signed with --key."`
	Key     string        `placeholder:"FILE" help:"A private key, as 'fawnctl keygen' writes it."`
	Valid   time.Duration `default:"24h" help:"How long the weights hold."`
}

// What a plan found, by its exit status: 1 and 2.
var (
	errShort         = errors.New("not all can be served")
	errContradictory = errors.New("the limits contradict each other")
	errLeft          = errors.New("left before an answer was found") // 4
)

func readFleet(path string) (*plan.Fleet, error) {
	r, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreadable, err)
	}
	defer r.Close()
	var f plan.Fleet
	if err := toml.NewDecoder(io.LimitReader(r, 8<<20)).DisallowUnknownFields().Decode(&f); err != nil {
		var strict *toml.StrictMissingError
		var decode *toml.DecodeError
		switch {
		case errors.As(err, &strict):
			return nil, fmt.Errorf("%w: %s: %s", errUnreadable, path, strict.String())
		case errors.As(err, &decode):
			row, _ := decode.Position()
			return nil, fmt.Errorf("%w: %s:%d: %w", errUnreadable, path, row, err)
		}
		return nil, fmt.Errorf("%w: %s: %w", errUnreadable, path, err)
	}
	if err := f.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", errUnreadable, path, err)
	}
	return &f, nil
}

// lose takes nodes away.
func lose(f *plan.Fleet, what string) error {
	kind, name, _ := strings.Cut(what, "=")
	left := slices.DeleteFunc(slices.Clone(f.Nodes), func(d plan.Node) bool {
		return kind == "zone" && d.Zone == name || kind == "kind" && d.Kind == name || kind == "node" && d.Name == name
	})
	if len(left) == len(f.Nodes) {
		return fmt.Errorf("--lose: %q is no zone=, kind= or node= of the fleet", what)
	}
	// The places that are lost stay as nodes without cores: limits may name them.
	for n := range f.Nodes {
		if !slices.ContainsFunc(left, func(d plan.Node) bool { return d.Name == f.Nodes[n].Name }) {
			f.Nodes[n].Cores, f.Nodes[n].Today = 0, 0
		}
	}
	return nil
}

// whatIf makes one --what-if.
func whatIf(f *plan.Fleet, text string) error {
	field, value, ok := strings.Cut(text, "=")
	what, place, ok2 := strings.Cut(field, ":")
	factor := strings.HasPrefix(value, "*")
	x, err := strconv.ParseFloat(strings.TrimPrefix(value, "*"), 64)
	if !ok || !ok2 || err != nil || !(x >= 0) {
		return fmt.Errorf("--what-if: %q is no WHAT:PLACE=NUMBER", text)
	}
	set := func(was float64) float64 {
		if factor {
			return was * x
		}
		return x
	}
	found := false
	if what == "rate" {
		for n := range f.Classes {
			if c := &f.Classes[n]; c.Name == place || place == "*" {
				c.Rate, found = set(c.Rate), true
				c.BusyRate = max(c.BusyRate, 0)
				if c.BusyRate > 0 {
					c.BusyRate = max(set(c.BusyRate), c.Rate)
				}
			}
		}
	}
	var added []plan.Node
	for n := range f.Nodes {
		d := &f.Nodes[n]
		if d.Name != place && "zone:"+d.Zone != place && "kind:"+d.Kind != place && place != "*" {
			continue
		}
		switch what {
		case "speed":
			d.Speed, d.SlowSpeed, found = set(d.Speed), min(d.SlowSpeed, set(d.Speed)), true
		case "price":
			d.Price, found = set(d.Price), true
		case "cores":
			d.Cores, found = int(set(float64(d.Cores))), true
		case "add":
			for k := range int(min(x, plan.NodesMost)) {
				more := *d
				more.Name, more.Today = fmt.Sprintf("%s+%d", d.Name, k+1), 0
				added = append(added, more)
			}
			found = true
		}
	}
	f.Nodes = append(f.Nodes, added...)
	if !found {
		return fmt.Errorf("--what-if: nothing of the fleet is %q", field)
	}
	return nil
}

// Run plans.
func (c *fleetCmd) Run(s *streams) error {
	f, err := readFleet(c.Fleet)
	if err != nil {
		return err
	}
	for _, w := range c.WhatIf {
		if err := whatIf(f, w); err != nil {
			return fmt.Errorf("%w: %w", errUnreadable, err)
		}
	}
	for _, l := range c.Lose {
		if err := lose(f, l); err != nil {
			return fmt.Errorf("%w: %w", errUnreadable, err)
		}
	}
	if c.Robust && !f.Choose {
		return fmt.Errorf("%w: --robust chooses nodes: the fleet must say choose = true", errUnreadable)
	}
	if (c.Weights == "") != (c.Key == "") {
		return fmt.Errorf("%w: --weights and --key go together", errUnreadable)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.Time)
	defer cancel()
	o := plan.Options{Stop: func() bool { return ctx.Err() != nil }, Losses: c.Losses, Robust: c.Robust, Gains: true}
	if terminal(s.err) {
		began := time.Now()
		o.Progress = func(at plan.Search) {
			fmt.Fprintf(s.err, "\r%s: %d steps, best %.6g late, %.6g worth lost, %.6g an hour ", time.Since(began).Round(time.Second), at.Steps, at.Best[0], at.Best[1], at.Best[2])
		}
	}
	began := time.Now()
	p, err := plan.Solve(f, o)
	took := time.Since(began)
	if errors.Is(err, plan.ErrLeft) {
		return fmt.Errorf("%w: after %s: give it more --time", errLeft, took.Round(time.Millisecond))
	}
	if err != nil {
		return err
	}
	if c.JSON {
		err = json.NewEncoder(s.out).Encode(p)
	} else {
		err = planText(s.out, p, c.Explain, took)
	}
	if err != nil {
		return err
	}
	if c.Diff != "" {
		if err := c.compare(s, p, o); err != nil {
			return err
		}
	}
	if p.Status == plan.Contradictory {
		return errContradictory
	}
	if c.SVG != "" {
		w, err := os.Create(c.SVG)
		if err != nil {
			return err
		}
		if err := errors.Join(picture.SVG(w, p), w.Close()); err != nil {
			return err
		}
	}
	if c.Weights != "" {
		if err := c.write(p); err != nil {
			return err
		}
	}
	if p.Status == plan.Short {
		return errShort
	}
	return nil
}

// planText is a plan for people.
func planText(out io.Writer, p *plan.Plan, explain bool, took time.Duration) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s\tworked out in %s\n", p.Status, took.Round(time.Millisecond))
	if p.Status == plan.Contradictory {
		for n, set := range p.Conflicts {
			fmt.Fprintf(w, "contradiction %d\ttake any one of these away and the others can be met:\n", n+1)
			for _, l := range set {
				fmt.Fprintf(w, "\t%s\n", l)
			}
		}
		return w.Flush()
	}
	fmt.Fprintf(w, "work\t%.4g s a second; %.4g can be done\n", p.Demand, p.Capacity)
	for _, name := range sortedKeys(p.Served) {
		fmt.Fprintf(w, "served\t%s\t%.2f %%\n", name, 100*p.Served[name])
	}
	fmt.Fprintf(w, "cost\t%.4g an hour; %.1f %% of the work leaves its zone\n", p.Values["cost"], 100*p.Crossing)
	if moved, ok := p.Values["moves"]; ok {
		fmt.Fprintf(w, "moved\t%.1f %% of the work\n", 100*moved)
	}
	for _, m := range p.Missing {
		fmt.Fprintf(w, "not served\t%.4g a second of %s from %s\n", m.Rate, m.Class, m.Zone)
	}
	for _, b := range p.Binding {
		fmt.Fprintf(w, "binds\t%s\n", b)
	}
	for _, g := range p.Gains {
		fmt.Fprintf(w, "one more\t%s in %s: %.4g of worth a second (its price promised %.4g)\n", g.Kind, g.Zone, g.Again, g.Dual)
	}
	for _, l := range p.Losses {
		verdict := "held"
		if !l.Held {
			verdict = fmt.Sprintf("short: %.4g of worth a second", l.Worth)
			for _, name := range sortedKeys(l.Served) {
				verdict += fmt.Sprintf(", %s %.1f %%", name, 100*l.Served[name])
			}
		}
		fmt.Fprintf(w, "without\t%s: %s\n", l.What, verdict)
	}
	if len(p.Left) > 0 {
		fmt.Fprintf(w, "left\t%s: there was no --time for the rest\n", strings.Join(p.Left, ", "))
	}
	if r := p.Robust; r != nil {
		fmt.Fprintf(w, "robust\t%.4g an hour, %.4g without\n", r.With, r.Without)
		for _, l := range r.Weak {
			fmt.Fprintf(w, "not borne\t%s\n", l)
		}
	}
	if s := p.Search; s != nil {
		state := "proven"
		if s.Left {
			state = fmt.Sprintf("left early, gap %.2g %%", 100*s.Gap)
		}
		fmt.Fprintf(w, "search\t%d steps, %d cuts, %s\n", s.Steps, s.Cuts, state)
	}
	fmt.Fprintln(w, "node\tzone\tkind\tload\tof\tbusy\tshare")
	for _, d := range p.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.3g\t%.3g\t%.0f %%\t%.2f %%\n", d.Name, d.Zone, d.Kind, d.Load, d.Capacity, 100*d.Busy, 100*d.Share)
		if explain {
			for _, why := range d.Why {
				fmt.Fprintf(w, "\t%s\n", why)
			}
		}
	}
	return w.Flush()
}

func sortedKeys[V any](m map[string]V) (all []string) {
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// compare plans another fleet and shows what differs.
func (c *fleetCmd) compare(s *streams, p *plan.Plan, o plan.Options) error {
	f, err := readFleet(c.Diff)
	if err != nil {
		return err
	}
	other, err := plan.Solve(f, o)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "against\t%s\n", c.Diff)
	fmt.Fprintf(w, "status\t%s\t%s\n", p.Status, other.Status)
	for _, name := range sortedKeys(p.Values) {
		if a, b := p.Values[name], other.Values[name]; a != b {
			fmt.Fprintf(w, "%s\t%.6g\t%.6g\n", name, a, b)
		}
	}
	shares := make(map[string][2]float64)
	for n, q := range []*plan.Plan{p, other} {
		for _, d := range q.Nodes {
			x := shares[d.Name]
			x[n] = d.Share
			shares[d.Name] = x
		}
	}
	moved := 0.0
	for _, name := range sortedKeys(shares) {
		x := shares[name]
		if d := x[1] - x[0]; d > 5e-4 || d < -5e-4 {
			fmt.Fprintf(w, "%s\t%.2f %%\t%.2f %%\n", name, 100*x[0], 100*x[1])
			moved += max(d, 0)
		}
	}
	fmt.Fprintf(w, "moved\t%.2f %% of the work\n", 100*moved)
	return w.Flush()
}

// write writes the file for daemons.
func (c *fleetCmd) write(p *plan.Plan) error {
	text, err := os.ReadFile(c.Key)
	if err != nil {
		return err
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return fmt.Errorf("--key: %s: must be %d bytes as base64", c.Key, ed25519.SeedSize)
	}
	now := time.Now().UTC().Truncate(time.Second)
	w := &weights.Plan{Version: 1, Made: now, Until: now.Add(c.Valid), Weights: make(map[string]map[string]float64)}
	for _, d := range p.Nodes {
		for zone, x := range d.Weights {
			if w.Weights[zone] == nil {
				w.Weights[zone] = make(map[string]float64)
			}
			w.Weights[zone][d.Name] = x
		}
	}
	for _, d := range p.Nodes { // those that get nothing are known all the same
		for zone := range w.Weights {
			if _, ok := w.Weights[zone][d.Name]; !ok {
				w.Weights[zone][d.Name] = 0
			}
		}
	}
	data, err := weights.EncodePlan(w, ed25519.NewKeyFromSeed(seed))
	if err != nil {
		return err
	}
	return durable.Replace(c.Weights, data)
}

type keygenCmd struct {
	Out string `arg:"" help:"Where the private key goes; its public half is printed."`
}

// Run makes a key for signing weights.
func (c *keygenCmd) Run(s *streams) error {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(c.Out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(f, base64.StdEncoding.EncodeToString(private.Seed()))
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.out, base64.StdEncoding.EncodeToString(public))
	return err
}

// Command fawnctl is the tool for people beside the sidecar: it checks settings and
// shows what the sidecar does.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"chalkrack/internal/demo"
	"chalkrack/internal/features"
)

type cli struct {
	Check    checkCmd     `cmd:"" help:"Check files of the operators' own settings (deploy/features.toml)."`
	Demo     demoCmd      `cmd:"" help:"Run the daemon before stand-in servers and clients, and watch."`
	Config   configCmd    `cmd:"" help:"Changes of the configuration."`
	Radius   radiusCmd    `cmd:"" help:"RADIUS, as a terminal speaks it."`
	Status   stateCmd     `cmd:"" help:"What state a running daemon is in."`
	Explain  explainCmd   `cmd:"" help:"Group the traces of calls that were not served in time by their causes."`
	Load     loadCmd      `cmd:"" help:"Send load at the times of a schedule, and measure."`
	Rehearse rehearseCmd  `cmd:"" help:"Play a scenario with a daemon and stand-in servers, and judge it by the rules."`
	Import   importCmd    `cmd:"" help:"Make settings of other programs' configurations."`
	Level    levelCmd     `cmd:"" help:"How much of its service a running daemon gives, since when and why."`
	Operate  operateCmd   `cmd:"" help:"Ask a running sidecar for its figures, take servers out and back, drain it."`
	Duty     dutyCmd      `cmd:"" help:"Who is alive and who watches what, where probing is shared."`
	Zone     zoneCmd      `cmd:"" help:"Zones that the fleet has left, and orders to leave or return."`
	Council  councilCmd   `cmd:"" help:"The processes that agree on the fleet's settings: who leads, who is a member."`
	Settings settingsCmd  `cmd:"" help:"What is in force at a council, what is on its way, and proposals."`
	Plan     fleetCmd     `cmd:"" help:"Work out what a fleet can carry, and where, or why it can't."`
	Keygen   keygenCmd    `cmd:"" help:"Make a key that signs a plan's weights."`
	Fleet    processesCmd `cmd:"" help:"Play faults against several sidecars at once, and check what they did."`
	Bodies   bodiesCmd    `cmd:"" help:"Where a running daemon keeps request bodies, and what became of them."`
}

// streams are what a command reads and writes.
type streams struct {
	in       io.Reader
	out, err io.Writer
}

type checkCmd struct {
	Files []string `arg:"" name:"file" help:"The files."`
}

var errBad = errors.New("not all is well")

// Run says what is wrong with each file, a line a complaint.
func (c *checkCmd) Run(s *streams) error {
	bad := false
	for _, path := range c.Files {
		_, err := features.Read(path)
		var problems features.Problems
		switch {
		case err == nil:
			fmt.Fprintf(s.out, "%s: good\n", path)
			continue
		case errors.As(err, &problems):
			for _, p := range problems {
				fmt.Fprintln(s.err, p)
			}
		default:
			fmt.Fprintln(s.err, err)
		}
		bad = true
	}
	if bad {
		return errBad
	}
	return nil
}

type demoCmd struct {
	Servers int           `default:"4" help:"How many servers."`
	Rate    float64       `default:"100" help:"Calls a second."`
	For     time.Duration `default:"20s" help:"How long it runs."`
	Seed    uint64        `default:"1" help:"Of all chance in it."`
	Script  string        `help:"What happens to servers: '2s freeze 3; 4s thaw 3', or @FILE. Verbs: freeze, thaw, kill, restart, drain, undrain."`
	NoKeys  bool          `help:"Read no keys from standard input."`
	Radius  bool          `help:"Show counter terminals over RADIUS in place of HTTP calls."`
	Log     bool          `help:"Show the daemon's log."`
}

// Run runs a demonstration.
func (c *demoCmd) Run(s *streams) error {
	text := c.Script
	if path, ok := strings.CutPrefix(text, "@"); ok {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		text = string(data)
	}
	steps, err := demo.ParseScript(text, c.Servers)
	if err != nil {
		return fmt.Errorf("--script: %w", err)
	}
	if !c.Log {
		slog.SetDefault(slog.New(slog.DiscardHandler))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cfg := demo.Config{Servers: c.Servers, Rate: c.Rate, For: c.For, Seed: c.Seed, Radius: c.Radius, Script: steps, Out: s.out, Live: terminal(s.out)}
	if !c.NoKeys && terminal(s.in) {
		cfg.Keys = s.in
	}
	return demo.Run(ctx, cfg)
}

// terminal says whether a stream is one that somebody watches.
func terminal(stream any) bool {
	f, ok := stream.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0 && info.Name() != "null"
}

// run is the program; it returns its exit status.
func run(args []string, s *streams) (status int) {
	parser, err := kong.New(&cli{}, kong.Name("fawnctl"), kong.Description("The tool for people beside the sidecar."),
		kong.Writers(s.out, s.err), kong.Bind(s), kong.UsageOnError(), kong.Exit(func(code int) { panic(exit(code)) }))
	if err != nil {
		fmt.Fprintln(s.err, "fawnctl:", err)
		return 1
	}
	defer func() { // --help ends the program from within
		if p := recover(); p != nil {
			code, ok := p.(exit)
			if !ok {
				panic(p)
			}
			status = int(code)
		}
	}()
	ctx, err := parser.Parse(args)
	if err == nil {
		if err = ctx.Run(); err == nil {
			return 0
		}
		switch {
		case errors.Is(err, errBad):
			return 1
		case errors.Is(err, errBroken):
			fmt.Fprintln(s.err, "fawnctl:", err)
			return 1
		case errors.Is(err, errRehearsal):
			fmt.Fprintln(s.err, "fawnctl:", err)
			return 1
		case errors.Is(err, errLosses):
			return 1
		case errors.Is(err, errShort):
			fmt.Fprintln(s.err, "fawnctl:", err)
			return 1
		case errors.Is(err, errLeft):
			fmt.Fprintln(s.err, "fawnctl:", err)
			return 4
		case errors.Is(err, errContradictory):
			fmt.Fprintln(s.err, "fawnctl:", err)
			return 2
		case errors.Is(err, errDangers):
			fmt.Fprintln(s.err, "fawnctl:", err)
			return 2
		case errors.Is(err, errUnreadable):
			fmt.Fprintln(s.err, "fawnctl:", err)
			return 3
		case errors.Is(err, errLimit):
			return 2
		case errors.Is(err, errAway), errors.Is(err, errNoCouncil):
			fmt.Fprintln(s.err, "fawnctl:", err)
			return 3
		}
	}
	fmt.Fprintln(s.err, "fawnctl:", err)
	return 1
}

type exit int

func main() { os.Exit(run(os.Args[1:], &streams{os.Stdin, os.Stdout, os.Stderr})) }

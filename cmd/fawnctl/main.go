// Command fawnctl is the operators' command-line tool. It checks and converts settings, shows and
// controls running daemons and councils, plans capacity, generates load, and rehearses faults
// against stand-in servers.
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

// cli is the tree of commands. kong derives the names of commands and flags from the names of
// fields that have no name tag.
type cli struct {
	Check    checkCmd        `cmd:"" help:"Check settings files of the operators (deploy/features.toml)."`
	Demo     demoCmd         `cmd:"" help:"Run the daemon with stand-in servers and clients, and show how calls are answered."`
	Config   configCmd       `cmd:"" help:"Compare, apply and roll back configurations."`
	Radius   radiusCmd       `cmd:"" help:"Send RADIUS requests as a terminal does."`
	Status   daemonStatusCmd `cmd:"" help:"Show the state of a running daemon."`
	Explain  explainCmd      `cmd:"" help:"Group the traces of calls that were not served in time by cause."`
	Load     loadCmd         `cmd:"" help:"Send load on a schedule and measure the answers."`
	Rehearse rehearseCmd     `cmd:"" help:"Run a scenario with a daemon and stand-in servers, and check its rules."`
	Import   importCmd       `cmd:"" help:"Convert configurations of other programs to settings."`
	Level    levelCmd        `cmd:"" help:"Show or pin the service level of a running daemon, with the reasons for it."`
	Operate  operateCmd      `cmd:"" help:"Call a running sidecar: show its statistics, disable and enable servers, drain it."`
	Duty     dutyCmd         `cmd:"" help:"Show which sidecars are alive and which nodes each one watches, where probing is shared."`
	Zone     zoneCmd         `cmd:"" help:"Show the zones that the fleet has left, and order it to leave a zone or return to it."`
	Council  councilCmd      `cmd:"" help:"Show and change the members of the council, which agrees on the fleet's settings."`
	Settings settingsCmd     `cmd:"" help:"Show, propose and withdraw the settings that a council agrees on."`
	Plan     capacityPlanCmd `cmd:"" help:"Compute what load a fleet can carry and on which nodes, or why it can't carry it."`
	Keygen   keygenCmd       `cmd:"" help:"Generate a key for signing a plan's weights."`
	Fleet    fleetCmd        `cmd:"" help:"Inject faults into several sidecars at once, and check the rules on what they did."`
	Bodies   bodiesCmd       `cmd:"" help:"Show where a running daemon keeps request bodies, and how many were retried or failed."`
}

// stdStreams holds the standard streams of a command. Tests replace them.
type stdStreams struct {
	in       io.Reader
	out, err io.Writer
}

type checkCmd struct {
	Files []string `arg:"" name:"file" help:"The files to check."`
}

// errCheckFailed is returned by commands that have printed the failed checks themselves; exit
// status 1.
var errCheckFailed = errors.New("a check failed")

// Run prints one line for each problem of each file.
func (c *checkCmd) Run(streams *stdStreams) error {
	failed := false
	for _, path := range c.Files {
		_, err := features.Read(path)
		var problems features.Problems
		switch {
		case err == nil:
			fmt.Fprintf(streams.out, "%s: good\n", path)
			continue
		case errors.As(err, &problems):
			for _, p := range problems {
				fmt.Fprintln(streams.err, p)
			}
		default:
			fmt.Fprintln(streams.err, err)
		}
		failed = true
	}
	if failed {
		return errCheckFailed
	}
	return nil
}

type demoCmd struct {
	Servers int           `default:"4" help:"Number of servers."`
	Rate    float64       `default:"100" help:"Calls per second."`
	For     time.Duration `default:"20s" help:"How long the demo runs."`
	Seed    uint64        `default:"1" help:"Seed of all random choices."`
	Script  string        `help:"Actions on servers and their times: '2s freeze 3; 4s thaw 3', or @FILE. Verbs: freeze, thaw, kill, restart, drain, undrain."`
	NoKeys  bool          `help:"Read no keys from standard input."`
	Radius  bool          `help:"Simulate counter terminals that send RADIUS requests in place of HTTP calls."`
	Log     bool          `help:"Show the daemon's log."`
}

// Run runs the demo until its end, SIGINT or SIGTERM.
func (c *demoCmd) Run(streams *stdStreams) error {
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
	cfg := demo.Config{Servers: c.Servers, CallsPerSecond: c.Rate, Duration: c.For, Seed: c.Seed, Radius: c.Radius, Script: steps, Out: streams.out, IsTerminal: isTerminal(streams.out)}
	if !c.NoKeys && isTerminal(streams.in) {
		cfg.Keys = streams.in
	}
	return demo.Run(ctx, cfg)
}

// isTerminal reports whether a stream is a character device other than /dev/null.
func isTerminal(stream any) bool {
	f, ok := stream.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0 && info.Name() != "null"
}

// run parses the arguments, runs the command and returns the exit status.
func run(args []string, streams *stdStreams) (status int) {
	parser, err := kong.New(&cli{}, kong.Name("fawnctl"), kong.Description("Command-line tool for operators of the sidecar."),
		kong.Writers(streams.out, streams.err), kong.Bind(streams), kong.UsageOnError(), kong.Exit(func(code int) { panic(exitCode(code)) }))
	if err != nil {
		fmt.Fprintln(streams.err, "fawnctl:", err)
		return 1
	}
	defer func() { // kong calls its Exit function for --help, which panics
		if p := recover(); p != nil {
			code, ok := p.(exitCode)
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
		case errors.Is(err, errCheckFailed):
			return 1
		case errors.Is(err, errRuleBroken):
			fmt.Fprintln(streams.err, "fawnctl:", err)
			return 1
		case errors.Is(err, errRehearsal):
			fmt.Fprintln(streams.err, "fawnctl:", err)
			return 1
		case errors.Is(err, errPartialImport):
			return 1
		case errors.Is(err, errNotAllServed):
			fmt.Fprintln(streams.err, "fawnctl:", err)
			return 1
		case errors.Is(err, errNoPlanInTime):
			fmt.Fprintln(streams.err, "fawnctl:", err)
			return 4
		case errors.Is(err, errContradictoryLimits):
			fmt.Fprintln(streams.err, "fawnctl:", err)
			return 2
		case errors.Is(err, errDangerousDirectives):
			fmt.Fprintln(streams.err, "fawnctl:", err)
			return 2
		case errors.Is(err, errUnreadable):
			fmt.Fprintln(streams.err, "fawnctl:", err)
			return 3
		case errors.Is(err, errGeneratorLimited):
			return 2
		case errors.Is(err, errDaemonUnreachable), errors.Is(err, errCouncilUnreachable):
			fmt.Fprintln(streams.err, "fawnctl:", err)
			return 3
		}
	}
	fmt.Fprintln(streams.err, "fawnctl:", err)
	return 1
}

// exitCode is the value of the panic that ends the program from inside kong.
type exitCode int

func main() { os.Exit(run(os.Args[1:], &stdStreams{os.Stdin, os.Stdout, os.Stderr})) }

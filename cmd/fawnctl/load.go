package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	tea "charm.land/bubbletea/v2"

	"chalkrack/client"
	"chalkrack/internal/load"
	"chalkrack/internal/load/protocol"
	"chalkrack/internal/load/trace"
	"chalkrack/internal/rehearse"
)

type loadCmd struct {
	Run    loadRunCmd    `cmd:"" help:"Send a scenario's load to an address, and report."`
	Import loadImportCmd `cmd:"" help:"Convert recorded traffic to a trace, for a scenario to replay."`
}

// errGeneratorLimited means that the generator, not the target, limited the run, so that the run's
// figures say nothing about the target; exit status 2. The report contains the reason.
var errGeneratorLimited = errors.New("the generator was the limit")

// reportFlags are the flags of commands that write a load report.
type reportFlags struct {
	JSON string `placeholder:"FILE" help:"Write the report as JSON to this file; - for standard output."`
	HTML string `placeholder:"FILE" help:"Write the report as one HTML page to this file."`
	Live bool   `help:"Show a live view; q ends the run and writes the whole report."`
}

// writeReport writes the report in the formats that the flags name. It returns errCheckFailed if a
// rule of the scenario was broken, and errGeneratorLimited if the generator limited the run.
func (f *reportFlags) writeReport(streams *stdStreams, report *load.Report) error {
	if f.JSON != "-" {
		if err := report.WriteText(streams.out); err != nil {
			return err
		}
	}
	files := map[string]func(io.Writer) error{f.HTML: report.WriteHTML, f.JSON: func(file io.Writer) error { return json.NewEncoder(file).Encode(report) }}
	for path, write := range files {
		switch path {
		case "":
		case "-":
			if err := write(streams.out); err != nil {
				return err
			}
		default:
			file, err := os.Create(path)
			if err != nil {
				return err
			}
			err = write(file)
			if closeErr := file.Close(); err == nil {
				err = closeErr
			}
			if err != nil {
				return err
			}
		}
	}
	for _, rule := range report.Judged {
		if !rule.Kept {
			return errCheckFailed
		}
	}
	if !report.FiguresHold {
		return errGeneratorLimited
	}
	return nil
}

// runWithProgress calls runLoad with a function that shows progress and one that shows a note: in
// the live view or as lines, where progress is limited to one line in 10 s unless standard error is
// a terminal. SIGINT, SIGTERM and q in the live view cancel the context of runLoad.
func (f *reportFlags) runWithProgress(streams *stdStreams, name string, runLoad func(context.Context, func(load.Progress), func(string)) (*load.Report, error)) (*load.Report, error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if !f.Live {
		lastPrinted := time.Now()
		progress := func(p load.Progress) {
			if !isTerminal(streams.err) && time.Since(lastPrinted) < 10*time.Second {
				return
			}
			lastPrinted = time.Now()
			fmt.Fprintf(streams.err, "%s\n", p.Line())
		}
		return runLoad(ctx, progress, func(text string) { fmt.Fprintln(streams.err, "  *", text) })
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	view := &loadView{name: name, cancel: cancel}
	program := tea.NewProgram(view, tea.WithInput(streams.in), tea.WithOutput(streams.out), tea.WithoutSignalHandler())
	var report *load.Report
	var err error
	var wg sync.WaitGroup
	wg.Go(func() {
		report, err = runLoad(ctx, func(p load.Progress) { program.Send(p) }, func(text string) { program.Send(noteMsg(text)) })
		program.Quit()
	})
	_, viewErr := program.Run()
	cancel()
	wg.Wait()
	return report, errors.Join(err, viewErr)
}

// noteMsg is a note for the live view.
type noteMsg string

// loadView is the live view of a run.
type loadView struct {
	name       string
	cancel     func()
	progress   load.Progress
	p99History []float64
	notes      []string
	ending     bool
}

// Init implements tea.Model.
func (m *loadView) Init() tea.Cmd { return nil }

// maxSparkBars limits the seconds, and maxNotes the notes, that the view keeps.
const (
	maxSparkBars = 60
	maxNotes     = 5
)

// Update implements tea.Model.
func (m *loadView) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.KeyPressMsg:
		switch msg.String() {
		case "q", "esc", "ctrl+c":
			m.ending = true
			m.cancel() // runWithProgress quits the view once the run has ended
		}
	case load.Progress:
		m.progress = msg
		if m.p99History = append(m.p99History, msg.LastSecond.P99); len(m.p99History) > maxSparkBars {
			m.p99History = m.p99History[1:]
		}
	case noteMsg:
		if m.notes = append(m.notes, string(msg)); len(m.notes) > maxNotes {
			m.notes = m.notes[1:]
		}
	}
	return m, nil
}

// sparkline draws the values as a line of bars; the largest value has the tallest bar.
func sparkline(values []float64) string {
	maxValue := 0.0
	for _, v := range values {
		maxValue = max(maxValue, v)
	}
	var b strings.Builder
	for _, v := range values {
		b.WriteRune([]rune("▁▂▃▄▅▆▇█")[int(v/max(maxValue, 1e-9)*7.999/1.0001)])
	}
	return b.String()
}

// View implements tea.Model.
func (m *loadView) View() tea.View {
	var b strings.Builder
	progress := m.progress
	fmt.Fprintf(&b, "%s\n\n%s\n\n", m.name, progress.Line())
	second := progress.LastSecond
	fmt.Fprintf(&b, "second %d: %d due, %d sent, %d dropped; %d served (%d late), %d refused, %d failed, %d without answer\n",
		second.Second, second.Due, second.Sent, second.Dropped, second.Served, second.Late, second.Refused, second.Failed, second.NoAnswer)
	fmt.Fprintf(&b, "latency p50 %.1f ms, p99 %.1f ms, max %.1f ms; sends left late by %.2f ms at p99; %.2f cores\n", second.P50, second.P99, second.Max, second.SendDelayP99, second.CPU)
	fmt.Fprintf(&b, "p99 %s\n\n", sparkline(m.p99History))
	for _, n := range m.notes {
		fmt.Fprintf(&b, "  * %s\n", n)
	}
	if m.ending {
		b.WriteString("\nending: waiting for outstanding calls\n")
	} else {
		b.WriteString("\nq ends the run and writes the whole report\n")
	}
	v := tea.NewView(b.String())
	v.AltScreen = true
	return v
}

type loadRunCmd struct {
	Scenario   string `arg:"" help:"A scenario's file, or the name of a scenario in the library."`
	Target     string `required:"" help:"Address to send to; it must be loopback unless --not-loopback is set. With plugin it is the address of discovery, with radius that of access."`
	Protocol   string `enum:"http1,plugin,radius" default:"http1" help:"How calls are sent: http1, plugin (by the plug-in in this process, to servers that discovery lists) or radius."`
	Daemon     string `help:"With plugin: address of the daemon that carries the calls while it is available."`
	Accounting string `help:"With radius: address for calls that carry a key."`
	SecretFile string `help:"With radius: file with the shared secret; FAWN_RADIUS_SECRET by default."`
	Realm      string `help:"With radius: realm at the end of user names."`
	Allow      bool   `name:"not-loopback" help:"Allow addresses that are not loopback."`
	reportFlags
}

// newProtocol returns the protocol that --protocol names, and a function that closes it. It returns
// an error for an address that is not loopback, unless --not-loopback is set.
func (c *loadRunCmd) newProtocol(classes []load.Class) (p load.Protocol, closeProtocol func(), err error) {
	addresses := []struct{ flag, addr string }{{"--target", c.Target}, {"--daemon", c.Daemon}, {"--accounting", c.Accounting}}
	for _, a := range addresses {
		if a.addr != "" && !c.Allow {
			if err := requireLoopback(a.addr); err != nil {
				return nil, nil, fmt.Errorf("%s: %w", a.flag, err)
			}
		}
	}
	switch c.Protocol {
	case "plugin":
		p, err := protocol.NewPlugin(client.Config{Discovery: c.Target, Daemon: c.Daemon}, classes)
		if err != nil {
			return nil, nil, err
		}
		return p, p.Close, nil
	case "radius":
		r := &protocol.RADIUS{Realm: c.Realm}
		if r.Access, err = netip.ParseAddrPort(c.Target); err != nil {
			return nil, nil, fmt.Errorf("--target: %w", err)
		}
		if r.Accounting, err = netip.ParseAddrPort(c.Accounting); err != nil {
			return nil, nil, fmt.Errorf("--accounting: %w", err)
		}
		secret, err := readSecret(c.SecretFile, "FAWN_RADIUS_SECRET")
		if err != nil {
			return nil, nil, fmt.Errorf("--secret-file: %w", err)
		}
		if secret == "" {
			return nil, nil, errNoSecret
		}
		r.Secret = []byte(secret)
		return r, func() {}, nil
	}
	return &load.HTTP1{Addr: c.Target}, func() {}, nil
}

// requireLoopback returns an error unless addr is a loopback address with a port.
func requireLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%s is not a loopback address: --not-loopback allows it", addr)
	}
	return nil
}

// Run sends the scenario's load and writes the report.
func (c *loadRunCmd) Run(streams *stdStreams) error {
	scenario, err := rehearse.ReadScenario(c.Scenario)
	if err != nil {
		return err
	}
	callProtocol, closeProtocol, err := c.newProtocol(scenario.Classes)
	if err != nil {
		return err
	}
	defer closeProtocol()
	report, err := c.runWithProgress(streams, scenario.Name, func(ctx context.Context, view func(load.Progress), _ func(string)) (*load.Report, error) {
		cfg, closeScenario, err := scenario.Configure(load.Config{Protocol: callProtocol, View: view})
		if err != nil {
			return nil, err
		}
		defer closeScenario()
		return load.Run(ctx, cfg)
	})
	if err != nil {
		return err
	}
	report.Name = scenario.Name
	return c.writeReport(streams, report)
}

type loadImportCmd struct {
	File    string            `arg:"" help:"The recording; - for standard input."`
	Out     string            `required:"" help:"Write the trace to this file."`
	Form    string            `required:"" enum:"json,csv,haproxy,combined" help:"Format of the recording: json (lines), csv, haproxy or combined (access logs)."`
	Columns map[string]string `help:"Column or field of each value: at=ts;class=kind;path=...;key=...;body=..."`
	Class   map[string]string `help:"Class by the prefix of the path: /api/act=activate;..."`
	JSON    bool              `help:"Print the summary as JSON."`
}

// Run converts the recording and prints how many of its lines were used, and why others were left
// out.
func (c *loadImportCmd) Run(streams *stdStreams) error {
	in := streams.in
	if c.File != "-" {
		f, err := os.Open(c.File)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	out, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	summary, err := trace.Import(in, out, trace.Options{Format: c.Form, Columns: c.Columns, Prefixes: c.Class})
	if closeErr := out.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(streams.out).Encode(summary)
	}
	fmt.Fprintf(streams.out, "%d of %d lines taken, over %v from %s\n", summary.Taken, summary.Lines, summary.Span.Round(time.Millisecond), summary.First.Format(time.RFC3339))
	for reason, count := range summary.LeftOut {
		fmt.Fprintf(streams.out, "left out: %d with %s\n", count, reason)
	}
	return nil
}

type rehearseCmd struct {
	Scenario string `arg:"" optional:"" help:"A scenario's file, or the name of a scenario in the library; the library is listed by default."`
	By       string `enum:"daemon,plugin,both" default:"daemon" help:"What handles the calls: the daemon, the plug-in in the clients' process, or both (the plug-in through the daemon)."`
	List     bool   `help:"List the library."`
	Log      bool   `help:"Show the daemon's log."`
	reportFlags
}

// Run runs the scenario with a daemon and stand-in servers, and writes the report with the verdict
// on each rule.
func (c *rehearseCmd) Run(streams *stdStreams) error {
	if c.List || c.Scenario == "" {
		for _, name := range rehearse.ScenarioNames() {
			scenario, err := rehearse.ReadScenario(name)
			if err != nil {
				return err
			}
			fmt.Fprintf(streams.out, "%-18s %s (%v)\n", name, scenario.About, time.Duration(scenario.Length))
		}
		return nil
	}
	scenario, err := rehearse.ReadScenario(c.Scenario)
	if err != nil {
		return err
	}
	if !c.Log {
		slog.SetDefault(slog.New(slog.DiscardHandler))
	}
	report, err := c.runWithProgress(streams, scenario.Name, func(ctx context.Context, view func(load.Progress), note func(string)) (*load.Report, error) {
		return rehearse.Run(ctx, scenario, rehearse.CallPath(c.By), view, note)
	})
	if err != nil {
		return err
	}
	return c.writeReport(streams, report)
}

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
	Run    loadRunCmd    `cmd:"" help:"Send the load of a scenario to an address."`
	Import loadImportCmd `cmd:"" help:"Make a trace of recorded traffic, for a scenario to replay."`
}

// errLimit is for a run whose figures do not hold: exit status 2.
var errLimit = errors.New("the generator was the limit")

type reportFlags struct {
	JSON string `placeholder:"FILE" help:"Write the report as JSON; - for standard output."`
	HTML string `placeholder:"FILE" help:"Write the report as one HTML page."`
	Live bool   `help:"Show a live view; q ends the run, with a whole report."`
}

// write writes a report as asked, and says by its error what it found.
func (f *reportFlags) write(s *streams, rep *load.Report) error {
	if f.JSON != "-" {
		if err := rep.WriteText(s.out); err != nil {
			return err
		}
	}
	files := map[string]func(io.Writer) error{f.HTML: rep.WriteHTML, f.JSON: func(w io.Writer) error { return json.NewEncoder(w).Encode(rep) }}
	for path, write := range files {
		switch path {
		case "":
		case "-":
			if err := write(s.out); err != nil {
				return err
			}
		default:
			w, err := os.Create(path)
			if err != nil {
				return err
			}
			err = write(w)
			if cerr := w.Close(); err == nil {
				err = cerr
			}
			if err != nil {
				return err
			}
		}
	}
	for _, j := range rep.Judged {
		if !j.Kept {
			return errBad
		}
	}
	if !rep.Holds {
		return errLimit
	}
	return nil
}

// watched runs do with the view that is asked for; its context ends with SIGINT, SIGTERM
// or q.
func (f *reportFlags) watched(s *streams, name string, do func(context.Context, func(load.Progress), func(string)) (*load.Report, error)) (*load.Report, error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if !f.Live {
		last := time.Now()
		progress := func(p load.Progress) {
			if !terminal(s.err) && time.Since(last) < 10*time.Second {
				return
			}
			last = time.Now()
			fmt.Fprintf(s.err, "%s\n", p.Line())
		}
		return do(ctx, progress, func(text string) { fmt.Fprintln(s.err, "  *", text) })
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m := &loadView{name: name, cancel: cancel}
	p := tea.NewProgram(m, tea.WithInput(s.in), tea.WithOutput(s.out), tea.WithoutSignalHandler())
	var rep *load.Report
	var err error
	var wg sync.WaitGroup
	wg.Go(func() {
		rep, err = do(ctx, func(g load.Progress) { p.Send(g) }, func(text string) { p.Send(noted(text)) })
		p.Quit()
	})
	_, verr := p.Run()
	cancel()
	wg.Wait()
	return rep, errors.Join(err, verr)
}

type noted string

// loadView is the live view of a run.
type loadView struct {
	name   string
	cancel func()
	now    load.Progress
	p99    []float64
	notes  []string
	ending bool
}

// Init implements tea.Model.
func (m *loadView) Init() tea.Cmd { return nil }

// sparksMost and notesMost bound what the view keeps.
const (
	sparksMost = 60
	notesMost  = 5
)

// Update implements tea.Model.
func (m *loadView) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.KeyPressMsg:
		switch msg.String() {
		case "q", "esc", "ctrl+c":
			m.ending = true
			m.cancel() // the run ends, and then the view
		}
	case load.Progress:
		m.now = msg
		if m.p99 = append(m.p99, msg.Last.P99); len(m.p99) > sparksMost {
			m.p99 = m.p99[1:]
		}
	case noted:
		if m.notes = append(m.notes, string(msg)); len(m.notes) > notesMost {
			m.notes = m.notes[1:]
		}
	}
	return m, nil
}

// sparks draws values as a line of bars.
func sparks(values []float64) string {
	top := 0.0
	for _, v := range values {
		top = max(top, v)
	}
	var b strings.Builder
	for _, v := range values {
		b.WriteRune([]rune("▁▂▃▄▅▆▇█")[int(v/max(top, 1e-9)*7.999/1.0001)])
	}
	return b.String()
}

// View implements tea.Model.
func (m *loadView) View() tea.View {
	var b strings.Builder
	p := m.now
	fmt.Fprintf(&b, "%s\n\n%s\n\n", m.name, p.Line())
	l := p.Last
	fmt.Fprintf(&b, "second %d: %d due, %d sent, %d dropped; %d served (%d late), %d refused, %d failed, %d without answer\n",
		l.Second, l.Due, l.Sent, l.Dropped, l.Served, l.Late, l.Refused, l.Failed, l.None)
	fmt.Fprintf(&b, "latency p50 %.1f ms, p99 %.1f ms, most %.1f ms; sends left late by %.2f ms at p99; %.2f cores\n", l.P50, l.P99, l.Most, l.LagP99, l.CPU)
	fmt.Fprintf(&b, "p99 %s\n\n", sparks(m.p99))
	for _, n := range m.notes {
		fmt.Fprintf(&b, "  * %s\n", n)
	}
	if m.ending {
		b.WriteString("\nending: calls under way are waited for\n")
	} else {
		b.WriteString("\nq ends it, with a whole report\n")
	}
	v := tea.NewView(b.String())
	v.AltScreen = true
	return v
}

type loadRunCmd struct {
	Scenario   string `arg:"" help:"A scenario's file, or the name of one of the library."`
	Target     string `required:"" help:"The address to send to: loopback, unless --not-loopback allows others. For the plug-in that of discovery, for RADIUS that of access."`
	Protocol   string `enum:"http1,plugin,radius" default:"http1" help:"How calls go: http1, plugin (in this process, to servers that discovery names) or radius."`
	Daemon     string `help:"With the plug-in: the daemon that its calls go by while it is there."`
	Accounting string `help:"With RADIUS: the address for what carries a key."`
	SecretFile string `help:"With RADIUS: a file with the secret; without it FAWN_RADIUS_SECRET is taken."`
	Realm      string `help:"With RADIUS: the realm behind users' names."`
	Allow      bool   `name:"not-loopback" help:"Allow a target that is not on this machine."`
	reportFlags
}

// protocol is the way that was asked for; end closes it.
func (c *loadRunCmd) protocol(classes []load.Class) (p load.Protocol, end func(), err error) {
	addresses := []struct{ flag, addr string }{{"--target", c.Target}, {"--daemon", c.Daemon}, {"--accounting", c.Accounting}}
	for _, a := range addresses {
		if a.addr != "" && !c.Allow {
			if err := loopback(a.addr); err != nil {
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
		secret, err := hidden(c.SecretFile, "FAWN_RADIUS_SECRET")
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

// loopback says whether an address is one of this machine's own.
func loopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%s is not a loopback address: --not-loopback allows it", addr)
	}
	return nil
}

// Run sends a scenario's load.
func (c *loadRunCmd) Run(s *streams) error {
	sc, err := rehearse.Read(c.Scenario)
	if err != nil {
		return err
	}
	way, closeWay, err := c.protocol(sc.Classes)
	if err != nil {
		return err
	}
	defer closeWay()
	rep, err := c.watched(s, sc.Name, func(ctx context.Context, view func(load.Progress), _ func(string)) (*load.Report, error) {
		cfg, end, err := sc.Run(load.Config{Protocol: way, View: view})
		if err != nil {
			return nil, err
		}
		defer end()
		return load.Run(ctx, cfg)
	})
	if err != nil {
		return err
	}
	rep.Name = sc.Name
	return c.write(s, rep)
}

type loadImportCmd struct {
	File    string            `arg:"" help:"The recording; - for standard input."`
	Out     string            `required:"" help:"Where the trace goes."`
	Form    string            `required:"" enum:"json,csv,haproxy,combined" help:"What it is: json (lines), csv, haproxy or combined (access logs)."`
	Columns map[string]string `help:"Which column or field holds what: at=ts;class=kind;path=...;key=...;body=..."`
	Class   map[string]string `help:"The class of paths that begin so: /api/act=activate;..."`
	JSON    bool              `help:"Say what became of it as JSON."`
}

// Run makes a trace.
func (c *loadImportCmd) Run(s *streams) error {
	in := s.in
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
	note, err := trace.Import(in, out, trace.Options{Form: c.Form, Columns: c.Columns, Prefixes: c.Class})
	if cerr := out.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(s.out).Encode(note)
	}
	fmt.Fprintf(s.out, "%d of %d lines taken, over %v from %s\n", note.Taken, note.Lines, note.Span.Round(time.Millisecond), note.First.Format(time.RFC3339))
	for why, n := range note.LeftOut {
		fmt.Fprintf(s.out, "left out: %d with %s\n", n, why)
	}
	return nil
}

type rehearseCmd struct {
	Scenario string `arg:"" optional:"" help:"The name of one of the library, or a file."`
	By       string `enum:"daemon,plugin,both" default:"daemon" help:"Who decides: the daemon, the plug-in in the clients' process, or the plug-in by way of the daemon."`
	List     bool   `help:"List the library."`
	Log      bool   `help:"Show the daemon's log."`
	reportFlags
}

// Run plays a scenario with a daemon and stand-in servers, and judges it.
func (c *rehearseCmd) Run(s *streams) error {
	if c.List || c.Scenario == "" {
		for _, name := range rehearse.Names() {
			sc, err := rehearse.Read(name)
			if err != nil {
				return err
			}
			fmt.Fprintf(s.out, "%-18s %s (%v)\n", name, sc.About, time.Duration(sc.Length))
		}
		return nil
	}
	sc, err := rehearse.Read(c.Scenario)
	if err != nil {
		return err
	}
	if !c.Log {
		slog.SetDefault(slog.New(slog.DiscardHandler))
	}
	rep, err := c.watched(s, sc.Name, func(ctx context.Context, view func(load.Progress), note func(string)) (*load.Report, error) {
		return rehearse.Run(ctx, sc, rehearse.By(c.By), view, note)
	})
	if err != nil {
		return err
	}
	return c.write(s, rep)
}

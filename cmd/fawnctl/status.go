package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	tea "charm.land/bubbletea/v2"

	"chalkrack/internal/admin"
	"chalkrack/internal/body"
	"chalkrack/internal/daemon"
	"chalkrack/internal/weights"
)

type socketFlags struct {
	Socket string `required:"" env:"FAWN_SOCKET" help:"The daemon's socket for operators ([admin] socket in its features file)."`
	JSON   bool   `help:"Print what the daemon says, as JSON."`
}

// errAway is for a daemon that can't be asked: exit status 3.
var errAway = errors.New("the daemon can't be asked")

// ask gets a page; with --json it is printed as it came, and done says so.
func (f *socketFlags) ask(s *streams, page string, v any) (done bool, err error) {
	var raw json.RawMessage
	if err := admin.Get(context.Background(), f.Socket, page, &raw); err != nil {
		return false, fmt.Errorf("%w: %w", errAway, err)
	}
	if f.JSON {
		_, err := fmt.Fprintf(s.out, "%s\n", raw)
		return true, err
	}
	return false, json.Unmarshal(raw, v)
}

type stateCmd struct{ socketFlags }

// Run shows the state of a daemon.
func (c *stateCmd) Run(s *streams) error {
	var st daemon.Status
	if done, err := c.ask(s, "status", &st); done || err != nil {
		return err
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "process\t%d, since %s\n", st.PID, st.StartTime.Format(time.DateTime))
	fmt.Fprintf(w, "listens\t%s, ready: %v\n", st.Listen, st.Ready)
	fmt.Fprintf(w, "calls held\t%d\n", st.HeldCalls)
	fmt.Fprintf(w, "connections\t%d of clients, %d to servers\n", st.ClientConns, st.Servers)
	fmt.Fprintf(w, "limits\t%d MB, %d sockets\n", st.MemoryMB, st.Sockets)
	if st.BodyMemory != nil {
		fmt.Fprintf(w, "bodies\t%s in memory, disk %s\n", amount(*st.BodyMemory), st.DiskState)
	} else {
		fmt.Fprintf(w, "bodies\t[bodies] is off\n")
	}
	var plan weights.View
	if err := admin.Get(context.Background(), c.Socket, "weights", &plan); err == nil {
		why := ""
		if plan.Reason != weights.None {
			why = ": " + string(plan.Reason)
		}
		fmt.Fprintf(w, "weights\thold %.2f%s; of %s, until %s; %d servers known, %d not\n", plan.Hold, why, plan.Made.Format(time.DateTime), plan.Until.Format(time.DateTime), plan.KnownNodes, plan.UnknownNodes)
	}
	return w.Flush()
}

type bodiesCmd struct {
	socketFlags
	Watch bool          `help:"Show it live; q ends it."`
	Every time.Duration `default:"1s" help:"How often --watch asks."`
}

// Run shows where bodies are kept and what became of them.
func (c *bodiesCmd) Run(s *streams) error {
	if c.Watch && !c.JSON {
		if c.Every < 50*time.Millisecond {
			return fmt.Errorf("--every: must be 50ms at least, not %v", c.Every)
		}
		m := &watch{flags: &c.socketFlags, every: c.Every}
		p := tea.NewProgram(m, tea.WithInput(s.in), tea.WithOutput(s.out))
		if _, err := p.Run(); err != nil {
			return err
		}
		return m.err
	}
	var v body.View
	if done, err := c.ask(s, "bodies", &v); done || err != nil {
		return err
	}
	_, err := io.WriteString(s.out, bodiesText(&v, nil, 0))
	return err
}

// size is a number of bytes as people read it.
func size(n int64) string {
	switch {
	case n >= 10<<30:
		return fmt.Sprintf("%d GiB", n>>30)
	case n >= 10<<20:
		return fmt.Sprintf("%d MiB", n>>20)
	case n >= 10<<10:
		return fmt.Sprintf("%d KiB", n>>10)
	}
	return fmt.Sprintf("%d B", n)
}

func amount(a body.Amount) string {
	return fmt.Sprintf("%s of %s (most %s)", size(a.Now), size(a.Limit), size(a.Max))
}

// bar is an amount as a picture, with a mark at the most that it was.
func bar(a body.Amount, width int) string {
	if a.Limit <= 0 {
		return strings.Repeat("-", width)
	}
	at := func(n int64) int { return min(int(n*int64(width)/a.Limit), width) }
	b := []byte(strings.Repeat("#", at(a.Now)) + strings.Repeat(".", width-at(a.Now)))
	if m := at(a.Max); m > at(a.Now) {
		b[m-1] = '|'
	}
	return string(b)
}

// bodiesText is the state as a page; with the one before, and the time between, it
// shows what came meanwhile.
func bodiesText(v, before *body.View, between time.Duration) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "memory\t%s\t%s\n", bar(v.Memory, 30), amount(v.Memory))
	if v.DiskState != "off" {
		fmt.Fprintf(w, "files\t%s\t%s\n", bar(v.Disk, 30), amount(v.Disk))
		fmt.Fprintf(w, "open\t%s\t%d of %d (most %d)\n", bar(v.Files, 30), v.Files.Now, v.Files.Limit, v.Files.Max)
	}
	fmt.Fprintf(w, "passing\t%s\t%d of %d (most %d)\n", bar(v.Streams, 30), v.Streams.Now, v.Streams.Limit, v.Streams.Max)
	w.Flush()
	switch {
	case v.DiskState == "off":
		b.WriteString("disk: no files are set\n")
	default:
		fmt.Fprintf(&b, "disk: %s since %s, changed %d times\n", v.DiskState, v.DiskSince.Format(time.DateTime), v.DiskChanges)
	}
	if v.Tight {
		b.WriteString("memory is tight: nothing is borrowed, long bodies move to files\n")
	}
	b.WriteByte('\n')
	fmt.Fprintln(w, "class\tin memory\tin a file\tnot kept\tno room\tmoved\tretried from memory\tfrom a file\trefused, not kept\tfailed, not kept\theld\ton disk")
	for n, c := range v.Classes {
		rate := ""
		if before != nil && n < len(before.Classes) && between > 0 {
			o := before.Classes[n]
			came := c.Memory + c.File + c.NotKept + c.Refused - o.Memory - o.File - o.NotKept - o.Refused
			rate = fmt.Sprintf(" (%.0f/s)", float64(came)/between.Seconds())
		}
		fmt.Fprintf(w, "%s%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", c.Class, rate, c.Memory, c.File, c.NotKept, c.Refused, c.Moved,
			c.RetriedMemory, c.RetriedFile, c.UnkeptRefused, c.UnkeptFailed, size(c.Bytes), size(c.DiskBytes))
	}
	w.Flush()
	return b.String()
}

// watch is the live view: it asks, shows, waits, and asks again.
type watch struct {
	flags  *socketFlags
	every  time.Duration
	now    *body.View
	before *body.View
	at     time.Time // of now
	took   time.Duration
	err    error // of the last question
}

type asked struct {
	v   *body.View
	err error
	at  time.Time
}

type again struct{}

func (m *watch) question() tea.Msg {
	a := asked{v: new(body.View), at: time.Now()}
	_, a.err = m.flags.ask(nil, "bodies", a.v)
	return a
}

// Init implements tea.Model.
func (m *watch) Init() tea.Cmd { return m.question }

// Update implements tea.Model.
func (m *watch) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.KeyPressMsg:
		switch msg.String() {
		case "q", "esc", "ctrl+c":
			return m, tea.Quit
		}
	case asked:
		if m.err = msg.err; msg.err == nil {
			m.before, m.took = m.now, msg.at.Sub(m.at)
			m.now, m.at = msg.v, msg.at
		}
		return m, tea.Tick(m.every, func(time.Time) tea.Msg { return again{} })
	case again:
		return m, m.question
	}
	return m, nil
}

// View implements tea.Model.
func (m *watch) View() tea.View {
	text := "asking " + m.flags.Socket + "\n"
	if m.now != nil {
		text = bodiesText(m.now, m.before, m.took)
	}
	if m.err != nil {
		text += "\n" + m.err.Error() + "\n"
	}
	v := tea.NewView(text + "\nq ends\n")
	v.AltScreen = true
	return v
}
